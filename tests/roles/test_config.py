"""Racing operators, withdrawn keys and zones that are cut off."""

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
from tests.roles.mini import OPERATOR, Mini, running

PLAN = Row("plans", "small", {"share": "1", "limit": "4"})
TEAM = Row("teams", "lisboa", {"plan": "small"})
SHORT = {"key_stale_s": 0.5, "key_stale_max_s": 900.0, "member_timeout_s": 60.0}


def run_two(scenario, **changed) -> None:
    """Run a scenario with two instances on one log each of its own view."""

    async def run():
        log, cell = FakeLog(), {}
        a, b = Mini("a", log, cell, **changed), Mini("b", log, cell, **changed)
        async with running(a, b):
            await a.bus.ask(ChangeRows(0, (PLAN, TEAM), "root"))
            await until(lambda: b.states.config.version == 1)
            await scenario(log, a, b)

    asyncio.run(run())


def cut_off(mini: Mini) -> None:
    """Cut an instance off from the log, but not from its peers."""
    log = FakeLog(out=True, append_fate="refuse")
    for lane in mini.journal.lanes.values():
        lane._service = log


def test_racing_operators_get_one_change_and_one_conflict_that_names_it():
    """Two operators change the lists at two instances at the same moment.

    Both made their change from version 1.  One is in force everywhere, the
    other's author is told which rows came first.
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
    """An operator read the lists at an instance that is ahead of this one."""

    async def scenario(log, a, b):
        bad = Row("teams", "porto", {"plan": "huge"})
        lane = b.journal.lanes["config"]
        service = lane._service
        cut_off(b)
        await asyncio.sleep(0.2)
        await a.bus.ask(ChangeRows(1, (TEAM,), "root"))
        task = asyncio.create_task(b.bus.ask(ChangeRows(2, (bad,), "root")))
        await asyncio.sleep(0.1)
        lane._service = service
        with pytest.raises(ListInvalidError):
            await task

    run_two(scenario)


def test_withdrawn_key_is_refused_by_record_and_by_a_peers_word():
    """A key leaks and is withdrawn while one instance cannot reach the log.

    Those that can read the record refuse it; the one that cannot hears of it
    from a peer.
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
        await b.hear("a")
        with pytest.raises(KeyRefusedError):
            await b.bus.ask(shown)

    run_two(scenario)


def test_cut_instance_catches_up_from_a_peer_and_is_fresh_again():
    """A zone loses the log but not its peers, and the lists change meanwhile.

    The change is in force there, too, and its callers notice nothing.
    """

    async def scenario(log, a, b):
        given = await a.bus.ask(GiveKey("lisboa"))
        shown = Authenticate(f"Bearer {given.key}")
        await until(lambda: given.key_id in b.states.config.key_ids)
        cut_off(b)
        await until(lambda: b.journal.lanes["config"].age_s > 0.5)
        with pytest.raises(ZoneStaleError) as caught:
            await b.bus.ask(CheckFresh(idempotent=False))
        assert caught.value.retry_after_s
        assert caught.value.ran == "no"
        assert (await b.bus.ask(shown)).team == "lisboa"
        await a.bus.ask(ChangeRows(1, (TEAM,), "root"))
        await b.hear("a")
        await until(lambda: b.states.config.version == 2)
        await b.hear("a")
        await b.bus.ask(CheckFresh(idempotent=False))

    run_two(scenario, **SHORT)


def test_strict_zone_refuses_every_key_once_it_is_stale():
    """The operators chose that a withdrawn key must never work."""

    async def scenario(log, a, b):
        given = await a.bus.ask(GiveKey("lisboa"))
        await until(lambda: given.key_id in b.states.config.key_ids)
        cut_off(b)
        await until(lambda: b.journal.lanes["config"].age_s > 0.5)
        with pytest.raises(ZoneStaleError):
            await b.bus.ask(Authenticate(f"Bearer {given.key}"))
        who = await b.bus.ask(Authenticate(f"Bearer {OPERATOR}"))
        assert who.is_operator

    run_two(scenario, stale="refuse", **SHORT)


def test_keys_are_refused_as_not_ready_until_the_lists_are_whole():
    """An instance has just started and cannot tell an unknown key from a good one.

    "Refused" would send the caller to an operator; "come back" is true.
    """

    async def scenario():
        a = Mini("a", FakeLog(out=True), {})
        async with running(a, ready=False):
            with pytest.raises(NotReadyError) as caught:
                await a.bus.ask(Authenticate("Bearer fk_any"))
            assert caught.value.retry_after_s

    asyncio.run(scenario())
