"""Non-idempotent requests run at most once, and refusals are true."""

import asyncio

import pytest

from tests.failures.cells import Cell, cell, run_scenario

CHARGE = "/r/logbook/entries"


def charge(key: str, body: str) -> dict:
    """Return the arguments of a charge with an idempotency key."""
    return {"headers": {"Idempotency-Key": key}, "data": body}


@pytest.mark.row(7)
def test_keyed_charge_sent_through_two_instances_runs_once():
    """A caller's connection breaks, and it repeats its charge.

    The load balancer sends the repetition to another instance.  The charge must run
    once, and the caller must receive its outcome.
    """

    async def scenario():
        async with cell(runners=1) as c:
            kw = charge("k1", "entry 1")
            first = await c.request_when_caught_up(c.entries[0], "POST", CHARGE, **kw)
            again = await c.request_when_caught_up(c.entries[1], "POST", CHARGE, **kw)
            assert first == again
            assert first[0] == 200
            assert await c.run_counts() == {"entry 1": 1}

    run_scenario(scenario)


async def send_until_settled(c: Cell, entries: list, n: int, refused: list) -> None:
    """Send a charge through one instance after another until it succeeds."""
    for i in range(8):
        entry = entries[(n + i) % len(entries)]
        kw = charge(f"key {n}", f"charge {n}")
        status, data = await c.request(entry, "POST", CHARGE + "?ms=150", **kw)
        if status == 200:
            return
        if status and data["ran"] == "no":
            refused.append((n, i))
        await asyncio.sleep(0.4)


@pytest.mark.row(7)
@pytest.mark.proof
def test_charges_repeated_while_instances_are_killed_run_at_most_once():
    """An instance is killed while it processes charges, and callers repeat them.

    Each charge must run once, so that no customer is charged twice.
    """

    async def scenario():
        async with cell(entries=3, runners=2) as c:
            sending = [
                asyncio.create_task(send_until_settled(c, c.entries, n, []))
                for n in range(40)
            ]
            await asyncio.sleep(0.25)
            c.entries[2].kill()
            await asyncio.gather(*sending)
            counts = await c.run_counts()
            assert counts
            assert set(counts.values()) == {1}

    run_scenario(scenario)


@pytest.mark.row(6)
@pytest.mark.proof
@pytest.mark.parametrize("fault", ["down", "lose-answers", "hang"])
def test_refusal_as_not_run_is_true_while_the_log_fails(fault):
    """The platform's log is down, hangs or loses its responses during charges.

    A caller that receives ``ran: no`` makes the charge in another way.  If it had
    run nevertheless, the customer would pay twice.
    """

    async def scenario():
        async with cell(runners=1) as c:
            refusals = {}

            async def send_charge(n: int) -> None:
                kw = charge(f"key {n}", f"charge {n}")
                entry = c.entries[n % 2]
                status, data = await c.request(entry, "POST", CHARGE, **kw)
                if status != 200 and status:
                    refusals[n] = data["ran"]
                    # The instance cannot know of attempts through others.
                    assert data["ran"] != "no" or data["earlier_attempts"] == "unknown"

            await c.set_log_faults(log=fault)
            await asyncio.gather(*(send_charge(n) for n in range(10)))
            await c.set_log_faults(log="ok")
            # Pending appends may succeed now and must not start a run.
            await asyncio.sleep(3.0)
            counts = await c.run_counts()
            assert max(counts.values(), default=1) == 1
            not_run = [n for n, ran in refusals.items() if ran == "no"]
            assert [n for n in not_run if f"charge {n}" in counts] == []

    run_scenario(scenario)


@pytest.mark.row(7)
def test_charge_whose_response_is_lost_is_not_sent_again():
    """The runner makes a charge and closes the connection without a response.

    firhook cannot know whether the charge was made.  It must report ``ran: unknown``
    and must not try another runner.
    """

    async def scenario():
        async with cell(runners=2) as c:
            for runner in c.runners:
                await c.set_faults(runner, fail_after=True)
            kw = charge("k1", "entry 1")
            status, data = await c.request_when_caught_up(
                c.entries[0], "POST", CHARGE, **kw
            )
            assert (status, data["ran"]) == (502, "unknown"), data
            status, data = await c.request(c.entries[1], "POST", CHARGE, **kw)
            assert (status, data["ran"]) != (200, "no")
            assert await c.run_counts() == {"entry 1": 1}

    run_scenario(scenario)
