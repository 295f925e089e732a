"""No team exceeds its upper limit, whatever fails."""

import asyncio
import signal

import pytest

from tests.failures.cells import Cell, cell, peak_load, run_scenario

QUOTE = "/r/logbook/quote?ms=300"
LIMIT = 6


async def flood(c: Cell, seconds: float) -> list[int]:
    """Send far more requests than the limit allows; return their statuses."""
    statuses: list[int] = []
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds

    async def client(i: int) -> None:
        while loop.time() < end:
            entry = c.entries[i % len(c.entries)]
            statuses.append((await c.request(entry, "GET", QUOTE))[0])
            await asyncio.sleep(0.01)

    await asyncio.gather(*(client(i) for i in range(24)))
    return statuses


async def assert_limit_kept(c: Cell) -> None:
    """Check the concurrency at the runners, by the machine's monotonic clock."""
    spans = [
        (started_at, ended_at, 1.0)
        for _, started_at, ended_at in await c.request_spans()
    ]
    assert spans
    assert peak_load(spans) <= LIMIT


@pytest.mark.row(4)
def test_team_stays_within_its_limit_over_two_zones():
    """A team sends far more requests than its limit to every instance."""

    async def scenario():
        async with cell(("lisboa", "porto"), runners=2, limit=LIMIT) as c:
            statuses = await flood(c, 4.0)
            assert 200 in statuses
            await assert_limit_kept(c)

    run_scenario(scenario)


@pytest.mark.row(4)
@pytest.mark.proof
@pytest.mark.parametrize("how", ["kill", "pause", "cut"])
def test_team_stays_within_its_limit_while_the_lead_fails(how):
    """The lead that lends shares of the limit is killed, paused or cut off.

    The next lead does not know which shares are lent.  If it lent them again, the
    team would exceed its limit at the cost of other teams.
    """

    async def scenario():
        zones = ("lisboa", "porto")
        async with cell(zones, runners=2, limit=LIMIT, links=True) as c:
            flooding = asyncio.create_task(flood(c, 14.0))
            await asyncio.sleep(3.0)
            lead = await c.find_lead("porto")
            if how == "cut":
                c.cluster.cut_zone("porto")
                await asyncio.sleep(5.0)
                c.cluster.heal_zone("porto")
            else:
                lead.kill(signal.SIGSTOP if how == "pause" else signal.SIGKILL)
                await asyncio.sleep(5.0)
                lead.kill(signal.SIGCONT)
            statuses = await flooding
            assert 200 in statuses
            await assert_limit_kept(c)

    run_scenario(scenario)
