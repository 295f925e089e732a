"""Tests that keyed requests run at most once if the log or instances fail."""

import asyncio
from unittest import mock

import pytest

from firhook.errors import (
    LogUnavailableError,
    OnceInProgressError,
    OnceMismatchError,
    OnceUnknownError,
)
from firhook.events import Append
from firhook.model import OnceClaimed, OnceDone, OnceReleased, decode_envelope
from firhook.platform.clients import EndpointResponse
from firhook.queries import (
    OnceBegin,
    OnceFinish,
    OnceLost,
    OnceRelease,
    OnceSending,
)
from firhook.roles import _once
from firhook.state import OnceState
from tests.fakelog import FakeLog, until
from tests.roles.instance import Instance, running
from tests.state.test_config import feed

CHARGE = OnceBegin("renewal-1", "lisboa", "body")
PAID = EndpointResponse(200, (("Content-Type", "text/plain"),), b"paid")


def bodies(log: FakeLog) -> list[object]:
    """Return the records of the claims' stream."""
    return [decode_envelope(p).body for p in log.streams.get("once", [])]


def run_two(scenario) -> None:
    """Run a scenario with two instances on one log, and short deadlines."""

    async def run():
        log, cell = FakeLog(), {}
        a, b = Instance("a", log, cell), Instance("b", log, cell)
        async with running(a, b):
            await scenario(log, a, b)

    short = {"_CLAIM_DEADLINE_S": 0.5, "_STORE_DEADLINE_S": 0.3, "_STORE_RETRY_S": 0.1}
    with mock.patch.multiple(_once, **short):
        asyncio.run(run())


def test_repeat_through_another_instance_gets_the_stored_outcome():
    """A caller's connection breaks after its charge was run."""

    async def scenario(log, a, b):
        assert await a.bus.ask(CHARGE) is None
        a.bus.publish(OnceSending(CHARGE.key))
        with pytest.raises(OnceInProgressError):
            await b.bus.ask(CHARGE)
        await a.bus.ask(OnceFinish(CHARGE.key, PAID))
        repeat = await b.bus.ask(CHARGE)
        assert (repeat.status, repeat.body) == (200, b"paid")
        with pytest.raises(OnceMismatchError):
            await b.bus.ask(OnceBegin(CHARGE.key, "lisboa", "another body"))

    run_two(scenario)


def test_abandoned_claim_is_released_when_it_lands():
    """The claim's append times out, and its caller gets "not run".

    The claim lands later.  If it stayed, an instance that never ran the charge
    would block it forever.
    """

    async def scenario(log, a, b):
        log.append_outcome = "drop"
        with pytest.raises(LogUnavailableError) as caught:
            await a.bus.ask(CHARGE)
        assert caught.value.ran == "no"
        late = next(p for stream, p in log.sent if stream == "once")
        log.add_records("once", *late)
        log.append_outcome = "ok"
        await until(lambda: OnceReleased(CHARGE.key, "a#1", 1) in bodies(log))
        await until(lambda: not b.states.once.entries)
        assert await b.bus.ask(CHARGE) is None

    run_two(scenario)


def test_claim_that_was_never_sent_is_released_on_its_holders_answer(monkeypatch):
    """The holder abandoned the claim, but its release does not reach the log."""

    async def scenario(log, a, b):
        claim = OnceClaimed(CHARGE.key, "lisboa", "body", "a#1", 99)
        monkeypatch.setattr(a.once, "_release_unsent_claim", lambda claim: None)
        log.write("once", "a#0", 1, claim)
        await until(lambda: b.states.once.entries)
        with pytest.raises(OnceInProgressError) as caught:
            await b.bus.ask(CHARGE)
        assert caught.value.ran == "no"
        await until(lambda: not b.states.once.entries)
        assert await b.bus.ask(CHARGE) is None

    run_two(scenario)


def test_claim_of_a_vanished_holder_is_never_run_again():
    """The holder dies after its claim, and it is unknown whether it sent."""

    async def scenario(log, a, b):
        assert await a.bus.ask(CHARGE) is None
        await until(lambda: b.states.once.entries)
        del b.cell["a"]
        for _ in range(2):
            with pytest.raises(OnceUnknownError) as caught:
                await b.bus.ask(CHARGE)
            assert caught.value.ran == "unknown"

    run_two(scenario)


def test_restarted_holder_does_not_answer_for_its_earlier_incarnation():
    """A new process of the same name does not know what the old one sent.

    If it answered "never sent", a charge that the old process sent would run
    again.
    """

    async def scenario(log, a, b):
        old = OnceClaimed(CHARGE.key, "lisboa", "body", "a#0", 1)
        log.write("once", "a#0", 1, old)
        await until(lambda: b.states.once.entries)
        with pytest.raises(OnceUnknownError):
            await b.bus.ask(CHARGE)
        assert OnceReleased(CHARGE.key, "a#0", 1) not in bodies(log)

    run_two(scenario)


def test_holder_without_gossip_is_asked_directly():
    """Gossip is lost, but the holder still answers a direct inquiry."""

    async def scenario(log, a, b):
        assert await a.bus.ask(CHARGE) is None
        await until(lambda: b.states.once.entries)
        assert b.last_gossip == {}
        with pytest.raises(OnceInProgressError):
            await b.bus.ask(CHARGE)

    run_two(scenario)


def test_lost_response_of_the_runner_leaves_the_outcome_unknown():
    """The runner's connection breaks after the charge was sent to it."""

    async def scenario(log, a, b):
        assert await a.bus.ask(CHARGE) is None
        a.bus.publish(OnceSending(CHARGE.key))
        a.bus.publish(OnceLost(CHARGE.key))
        for instance in (a, b):
            with pytest.raises(OnceUnknownError):
                await instance.bus.ask(CHARGE)

    run_two(scenario)


def test_request_that_did_not_run_releases_its_key():
    """No runner is reachable, and the caller gets "not run"."""

    async def scenario(log, a, b):
        assert await a.bus.ask(CHARGE) is None
        a.bus.publish(OnceSending(CHARGE.key))
        await a.bus.ask(OnceRelease(CHARGE.key))
        await until(lambda: b.states.once.entries == {} and len(bodies(log)) == 2)
        assert await b.bus.ask(CHARGE) is None

    run_two(scenario)


def test_outcome_survives_an_outage_of_the_log():
    """The log fails between the claim and the outcome.

    The caller gets its response at once.  A repeat gets it from the same
    instance, and from every instance once the log has recovered.
    """

    async def scenario(log, a, b):
        assert await a.bus.ask(CHARGE) is None
        log.append_outcome = "refuse"
        await asyncio.wait_for(a.bus.ask(OnceFinish(CHARGE.key, PAID)), 1)
        assert (await a.bus.ask(CHARGE)).body == b"paid"
        with pytest.raises(OnceInProgressError):
            await b.bus.ask(CHARGE)
        await asyncio.sleep(2 * _once._STORE_DEADLINE_S)
        log.append_outcome = "ok"
        await until(lambda: b.states.once.entries[CHARGE.key].done)
        assert (await b.bus.ask(CHARGE)).body == b"paid"

    run_two(scenario)


def test_outcomes_held_back_by_an_outage_are_bounded(monkeypatch):
    """During a long outage, responses pile up in a process of 64 MB."""
    monkeypatch.setattr(_once, "MAX_PENDING_OUTCOME_BYTES", 6)

    async def scenario(log, a, b):
        other = OnceBegin("renewal-2", "lisboa", "body")
        for begin in (CHARGE, other):
            assert await a.bus.ask(begin) is None
            a.bus.publish(OnceSending(begin.key))
        log.append_outcome = "refuse"
        await a.bus.ask(OnceFinish(CHARGE.key, PAID))
        await a.bus.ask(OnceFinish(other.key, PAID))
        with pytest.raises(OnceUnknownError):
            await a.bus.ask(other)
        log.append_outcome = "ok"

    run_two(scenario)


def test_long_response_is_repeated_as_its_status_only():
    """A body of 100 kB would be kept in the memory of every instance."""

    async def scenario(log, a, b):
        long = EndpointResponse(201, (("Content-Type", "text/plain"),), b"x" * 100_000)
        assert await a.bus.ask(CHARGE) is None
        await a.bus.ask(OnceFinish(CHARGE.key, long))
        await until(lambda: b.states.once.entries[CHARGE.key].done)
        repeat = await b.bus.ask(CHARGE)
        assert repeat.status == 201
        assert ("X-Repeated", "status-only") in repeat.headers
        assert b"once.body_not_kept" in repeat.body

    run_two(scenario)


def test_late_release_does_not_free_a_later_claim():
    """A release is appended twice, the second time after the key's next claim.

    If it released that claim, a third caller would run the charge again.
    """
    state = OnceState()
    first = OnceClaimed("k", "lisboa", "body", "a#1", 1)
    second = OnceClaimed("k", "lisboa", "body", "a#1", 2)
    release = OnceReleased("k", "a#1", 1)
    feed(state, first, release, second)
    feed(state, release)
    assert state.entries["k"].nonce == 2


def test_memory_is_bounded_and_bodies_are_dropped_before_keys(monkeypatch):
    """Without a limit, old charges would fill the memory of every instance."""
    monkeypatch.setattr(OnceState, "MAX_ENTRIES", 3)
    monkeypatch.setattr(OnceState, "MAX_DATA", 10)
    state = OnceState()
    for i in range(5):
        feed(state, OnceClaimed(f"k{i}", "lisboa", "body", "a#1", i))
        feed(state, OnceDone(f"k{i}", 200, "text/plain", "123456", True, "a#1", i))
    assert list(state.entries) == ["k2", "k3", "k4"]
    assert [e.whole for e in state.entries.values()] == [False, False, True]
    other = OnceState()
    other.from_text(state.next_offset, state.to_text())
    feed(state, OnceClaimed("k9", "lisboa", "body", "a#1", 9))
    feed(other, OnceClaimed("k9", "lisboa", "body", "a#1", 9))
    assert other.to_text() == state.to_text()


def test_claim_while_the_log_is_out_is_refused_as_not_run():
    """A keyed charge arrives while the platform's log is down.

    It is refused, and its claim must not be in the log after the outage.
    """

    async def scenario(log, a, b):
        log.append_outcome = "refuse"
        with pytest.raises(LogUnavailableError) as caught:
            await a.bus.ask(CHARGE)
        assert caught.value.ran == "no"
        log.append_outcome = "ok"
        await a.bus.ask(Append("once", OnceReleased("x", "a#1")))
        assert bodies(log) == [OnceReleased("x", "a#1")]

    run_two(scenario)
