"""Tests of the config role: concurrent changes, withdrawn keys, cut-off zones."""

import asyncio

import pytest

from firhook.errors import (
    ConfigConflictError,
    KeyRefusedError,
    ListInvalidError,
    NotReadyError,
    ZoneStaleError,
)
from firhook.model import Row
from firhook.queries import (
    Authenticate,
    ChangeRows,
    CheckFresh,
    GiveKey,
    WithdrawKey,
)
from tests.fakelog import FakeLog, until
from tests.roles.instance import OPERATOR, Instance, running

PLAN = Row("plans", "small", {"share": "1", "limit": "4"})
TEAM = Row("teams", "lisboa", {"plan": "small"})
SHORT = {"key_stale_s": 0.5, "key_stale_max_s": 900.0, "member_timeout_s": 60.0}


def run_two(scenario, **changed) -> None:
    """Run a scenario with two instances that read the same log."""

    async def run():
        log, cell = FakeLog(), {}
        a, b = Instance("a", log, cell, **changed), Instance("b", log, cell, **changed)
        async with running(a, b):
            await a.bus.ask(ChangeRows(0, (PLAN, TEAM), "root"))
            await until(lambda: b.states.config.version == 1)
            await scenario(log, a, b)

    asyncio.run(run())


def cut_off(instance: Instance) -> None:
    """Disconnect an instance from the log, but not from its peers."""
    log = FakeLog(reads_fail=True, append_outcome="refuse")
    for client in instance.journal.clients.values():
        client._service = log


def test_concurrent_changes_give_one_change_and_one_conflict_that_names_it():
    """Two operators change version 1 of the lists at two instances at once.

    One change is in force everywhere.  The author of the other gets a conflict
    that names the rows changed first.
    """

    async def scenario(log, a, b):
        one = ChangeRows(1, (Row("teams", "porto", {"plan": "small"}),), "one")
        two = ChangeRows(1, (Row("teams", "braga", {"plan": "small"}),), "two")
        tasks = [a.bus.ask(one), b.bus.ask(two)]
        results = await asyncio.gather(*tasks, return_exceptions=True)
        lost = [r for r in results if isinstance(r, ConfigConflictError)]
        assert [r for r in results if r == 2] == [2]
        assert len(lost) == 1
        assert lost[0].extra["version"] == 2
        assert len(lost[0].extra["changed"]) == 1
        await until(lambda: a.states.config.rows == b.states.config.rows)

    run_two(scenario)


def test_change_on_a_version_read_elsewhere_is_refused_if_it_is_not_valid():
    """The change is based on a version that this instance has not read yet."""

    async def scenario(log, a, b):
        bad = Row("teams", "porto", {"plan": "huge"})
        client = b.journal.clients["config"]
        service = client._service
        cut_off(b)
        await asyncio.sleep(0.2)
        await a.bus.ask(ChangeRows(1, (TEAM,), "root"))
        task = asyncio.create_task(b.bus.ask(ChangeRows(2, (bad,), "root")))
        await asyncio.sleep(0.1)
        client._service = service
        with pytest.raises(ListInvalidError):
            await task

    run_two(scenario)


def test_withdrawn_key_is_refused_by_record_and_by_gossip():
    """A leaked key is withdrawn while one instance cannot reach the log.

    Instances that read the record refuse the key; the other one learns of the
    withdrawal from a peer's gossip.
    """

    async def scenario(log, a, b):
        given = await a.bus.ask(GiveKey("lisboa"))
        shown = Authenticate(f"Bearer {given.key}")
        await until(lambda: given.key_id in b.states.config.key_ids)
        assert (await b.bus.ask(shown)).team == "lisboa"
        cut_off(b)
        await asyncio.sleep(0.2)
        await a.bus.ask(WithdrawKey(given.key_id))
        with pytest.raises(KeyRefusedError):
            await a.bus.ask(shown)
        assert (await b.bus.ask(shown)).team == "lisboa"
        await b.receive_gossip("a")
        with pytest.raises(KeyRefusedError):
            await b.bus.ask(shown)

    run_two(scenario)


def test_instance_cut_off_from_the_log_catches_up_from_a_peer():
    """The lists change while a zone reaches its peers but not the log.

    The change takes effect there as well, and the zone's view is fresh again.
    """

    async def scenario(log, a, b):
        given = await a.bus.ask(GiveKey("lisboa"))
        shown = Authenticate(f"Bearer {given.key}")
        await until(lambda: given.key_id in b.states.config.key_ids)
        cut_off(b)
        await until(lambda: b.journal.clients["config"].age_s > 0.5)
        with pytest.raises(ZoneStaleError) as caught:
            await b.bus.ask(CheckFresh(idempotent=False))
        assert caught.value.retry_after_s
        assert caught.value.ran == "no"
        assert (await b.bus.ask(shown)).team == "lisboa"
        await a.bus.ask(ChangeRows(1, (TEAM,), "root"))
        await b.receive_gossip("a")
        await until(lambda: b.states.config.version == 2)
        await b.receive_gossip("a")
        await b.bus.ask(CheckFresh(idempotent=False))

    run_two(scenario, **SHORT)


def test_strict_zone_refuses_every_key_once_it_is_stale():
    """With ``stale = refuse``, a withdrawn key must never work."""

    async def scenario(log, a, b):
        given = await a.bus.ask(GiveKey("lisboa"))
        await until(lambda: given.key_id in b.states.config.key_ids)
        cut_off(b)
        await until(lambda: b.journal.clients["config"].age_s > 0.5)
        with pytest.raises(ZoneStaleError):
            await b.bus.ask(Authenticate(f"Bearer {given.key}"))
        who = await b.bus.ask(Authenticate(f"Bearer {OPERATOR}"))
        assert who.is_operator

    run_two(scenario, stale="refuse", **SHORT)


def test_keys_are_refused_as_not_ready_until_the_lists_are_read():
    """An instance that just started cannot tell an unknown key from a valid one.

    "Not ready" makes the caller retry; "refused" would send it to an operator.
    """

    async def scenario():
        a = Instance("a", FakeLog(reads_fail=True), {})
        async with running(a, ready=False):
            with pytest.raises(NotReadyError) as caught:
                await a.bus.ask(Authenticate("Bearer fk_any"))
            assert caught.value.retry_after_s

    asyncio.run(scenario())
