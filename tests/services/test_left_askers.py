"""Failures of work whose asker has left reach the log, and no one else."""

import asyncio
import gc

import pytest

from firhook.clock import boot_time
from firhook.errors import LogOutcomeUnknownError
from firhook.platform.store import CELL_TOPIC, KeyedRecord
from firhook.services._events import AppendRecord, StoreLatency
from standins.model import ModelCell, ModelRequest, pause, run_virtual

JOB = b'{"specification":"x","steps":[{"count":1,"millicpus":1000}]}'


def play_unheard(play):
    """Run a play in virtual time; return what the loop found that nobody heard."""
    unheard = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: unheard.append(context))
        await play()
        gc.collect()

    run_virtual(run())
    return unheard


async def silent_store(cell, found, lasts_s):
    """Have a store that took calls until now answer none, for a while."""
    name = found.instance.settings.name
    cell.store.mode[name] = "silent"
    await pause(lasts_s)
    del cell.store.mode[name]


def abandoned(caplog):
    """Return key and outcome of each append whose asker left."""
    return [
        (record.key, record.outcome)
        for record in caplog.records
        if record.message == "append.abandoned"
    ]


def test_append_for_a_peer_that_waits_no_longer_leaves_no_unheard_failure(caplog):
    """An instance without a store hands a job on to a lead whose store goes silent.

    The caller is told that nobody knows.  What the lead learnt after that was an
    error without a reader.
    """
    job = f"{7:016x}"

    async def play():
        cell = ModelCell(instances=3)
        await cell.begin()
        lead = cell.lead()
        other = next(i for i in cell.instances.values() if i is not lead)
        cell.store.mode[other.instance.settings.name] = "busy"
        await pause(1.0)
        silence = asyncio.create_task(silent_store(cell, lead, 3.0))
        await pause(0.01)
        status, _ = await other.call(ModelRequest("POST", f"/plan/{job}", JOB))
        assert status == 504
        await silence
        await pause(2.0)

    assert play_unheard(play) == []
    told = [r.key for r in caplog.records if r.message == "relay.unknown"]
    assert told == [f"job/{job}"]


@pytest.mark.parametrize(
    ("mode", "leaves_after_s", "outcome"),
    [("silent", 0.3, "unknown"), ("busy", 0.005, "not_sent")],
)
def test_append_whose_asker_left_is_tried_no_more_and_logged(
    caplog, mode, leaves_after_s, outcome
):
    """An instance is stopped while it appends for a caller."""
    record = KeyedRecord("cancel/x", b"\x01")

    async def play():
        cell = ModelCell(instances=1, workers=0)
        await cell.begin()
        found = cell.lead()
        bus = found.instance.bus
        cell.store.mode["*"] = mode
        asking = asyncio.create_task(bus.ask(AppendRecord(record, boot_time() + 1.5)))
        await pause(leaves_after_s)
        asking.cancel()
        await asyncio.wait({asking})
        assert asking.cancelled()
        await pause(1.0)
        cell.store.mode.clear()
        await pause(3.0)
        parts = [cell.store.partition(CELL_TOPIC, number) for number in range(4)]
        assert not any("cancel/x" in part.newest for part in parts)

    assert play_unheard(play) == []
    assert abandoned(caplog) == [("cancel/x", outcome)]


def test_asker_that_leaves_as_its_append_fails_loses_no_failure(caplog):
    """Both happen in one step of the loop, as at the stop of a busy instance."""

    async def play():
        cell = ModelCell(instances=1, workers=0)
        await cell.begin()
        bus = cell.lead().instance.bus
        follower = cell.lead().instance.services["follower"]
        cell.store.mode["*"] = "silent"
        record = KeyedRecord("cancel/x", b"\x01")
        asking = asyncio.create_task(bus.ask(AppendRecord(record, boot_time() + 9.0)))
        while not follower._own_appends.pending:
            await asyncio.sleep(0)
        follower._own_appends.pending[0].fail(LogOutcomeUnknownError("silent"))
        asking.cancel()
        await asyncio.wait({asking})
        assert asking.cancelled()

    assert play_unheard(play) == []
    [(key, outcome)] = abandoned(caplog)
    assert key == "cancel/x"
    assert outcome.startswith("LogUnavailableError")


def test_offer_of_the_lead_that_fails_is_logged(caplog):
    """A lead that is told to stop offers the cell, which fails otherwise than
    by a peer that does not answer.
    """

    async def play():
        cell = ModelCell(instances=2, workers=0)
        await cell.begin()
        lead = cell.lead().lead

        async def fail(query):
            raise RuntimeError("on purpose")

        lead.bus._handlers[StoreLatency] = fail
        lead._start_offer("stopping", boot_time())
        await pause(0.1)

    assert play_unheard(play) == []
    [failed] = [r for r in caplog.records if r.message == "lead.offer_failed"]
    assert "on purpose" in failed.error
