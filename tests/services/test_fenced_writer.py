"""Appends of the lead, over the model's store."""

import asyncio

import pytest

from firhook.errors import LogFencedError
from firhook.platform.store import CELL_TOPIC, KeyedRecord, encode_keyed_record
from firhook.services._fenced_writer import FencedWriter
from standins.model import ModelStore, pause, run_virtual


def record(name):
    return encode_keyed_record(KeyedRecord(name, b"x"))


def stored(store):
    """Return the keys on all partitions of the cell's topic."""
    return [
        content[1 : 1 + content[0]].decode()
        for (topic, _), part in sorted(store.partitions.items())
        if topic == CELL_TOPIC
        for content in part.records
    ]


def test_confirmation_concurrent_with_appends_loses_no_record():
    """An append's answer is lost while a confirmation is sent under the same number.

    If the two were not serialized, the store would take the next append for a repeat
    of the lost one.  Its records would be lost, and a task that is done would run
    again under the next lead.
    """

    async def scenario():
        store = ModelStore(seed=3)
        writer = FencedWriter(store.client("i"), 1000, lambda sent_at: None)
        await writer.set_epoch()
        store.lost_share = 0.4
        confirming = asyncio.create_task(confirm_repeatedly(writer))
        names = [f"r{i}" for i in range(40)]
        for name in names:
            await writer.append([record(name)])
        confirming.cancel()
        assert set(names) <= set(stored(store))

    async def confirm_repeatedly(writer):
        while True:
            await writer.confirm_epoch([])
            await pause(0.01)

    run_virtual(scenario())


def test_append_without_an_answer_is_stored_once():
    async def scenario():
        store = ModelStore(seed=5)
        writer = FencedWriter(store.client("i"), 1000, lambda sent_at: None)
        await writer.set_epoch()
        store.lost_share = 0.5
        for i in range(10):
            await writer.append([record(f"r{i}")])
        store.lost_share = 0.0
        await pause(2.0)
        await writer.append([record("last")])
        for part in store.partitions.values():
            keys = [c[1 : 1 + c[0]] for c in part.records]
            assert len(keys) == len(set(keys))

    run_virtual(scenario())


def test_appends_of_an_old_lead_are_refused_on_every_partition():
    async def scenario():
        store = ModelStore()
        old = FencedWriter(store.client("old"), 1000, lambda sent_at: None)
        new = FencedWriter(store.client("new"), 2000, lambda sent_at: None)
        await old.set_epoch()
        await new.set_epoch()
        for away in (set(), {0}, {0, 2}, {0, 2, 1}):
            store.down_partitions = away
            with pytest.raises(LogFencedError):
                await old.append([record("late")])
        assert stored(store) == []

    run_virtual(scenario())


def test_only_an_answered_append_confirms_the_epoch():
    async def scenario():
        store = ModelStore()
        confirmed_at = []
        writer = FencedWriter(store.client("i"), 1000, confirmed_at.append)
        await writer.set_epoch()
        confirmed_at.clear()
        store.mode["i"] = "silent"
        await writer.confirm_epoch([])
        assert confirmed_at == []
        store.mode["i"] = "up"
        await writer.confirm_epoch([])
        assert len(confirmed_at) == 1

    run_virtual(scenario())


def test_append_to_one_partition_is_not_mistaken_for_the_repeat_of_a_lost_one():
    async def scenario():
        store = ModelStore(seed=3)
        writer = FencedWriter(store.client("i"), 1000, lambda sent_at: None)
        await writer.set_epoch()
        store.lost_share = 1.0
        assert await writer.append_to(2, [record("first")]) is None
        store.lost_share = 0.0
        assert await writer.append_to(2, [record("second")]) is None
        await pause(1.1)
        assert await writer.append_to(2, [record("third")]) == 1
        assert stored(store) == ["first", "third"]
        newer = FencedWriter(store.client("j"), 1001, lambda sent_at: None)
        await newer.set_epoch()
        with pytest.raises(LogFencedError):
            await writer.append_to(2, [record("fourth")])

    run_virtual(scenario())


def test_refused_repeat_does_not_swallow_the_next_append():
    """An append's answer is lost, and its repeat is refused temporarily."""

    async def scenario():
        store = ModelStore()
        writer = FencedWriter(store.client("i"), 1000, lambda sent_at: None)
        await writer.set_epoch()
        store.lost_share = 1.0
        await writer.confirm_epoch([record("first")])
        store.lost_share, store.mode["*"] = 0.0, "busy"
        await pause(1.1)
        await writer.confirm_epoch([record("proof")])
        store.mode.clear()
        await pause(1.1)
        await writer.append([record("next")])
        assert "next" in stored(store)

    run_virtual(scenario())
