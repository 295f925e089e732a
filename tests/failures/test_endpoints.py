"""Runners that respond late or are about to leave."""

import asyncio

import pytest

from tests.failures.cells import cell, run_scenario


@pytest.mark.row(5)
def test_late_response_is_not_matched_to_another_request():
    """A late response must not be matched to the next request on the connection.

    Some responses arrive after their callers have timed out.  If one were taken for
    the next response, a user would receive the data of another team.
    """

    async def scenario():
        async with cell(runners=1, entries=1) as c:

            async def ask(n: int) -> tuple[int, int, object]:
                late = n % 3 == 0
                ms, deadline = (400, 150) if late else (5, 5000)
                path = f"/r/logbook/quote?n={n}&ms={ms}"
                headers = {"X-Deadline-Ms": str(deadline)}
                return (n, *await c.request(c.entries[0], "GET", path, headers=headers))

            responses = []
            for start in range(0, 60, 6):
                batch = range(start, start + 6)
                responses += await asyncio.gather(*(ask(n) for n in batch))
            served = [(n, data) for n, status, data in responses if status == 200]
            assert len(served) >= 20
            assert [n for n, data in served if data["n"] != str(n)] == []

    run_scenario(scenario)


@pytest.mark.row(8)
def test_leaving_runner_gets_no_new_work():
    """A runner that the instance list marks as leaving receives no new requests.

    Requests that it received would be cut when it is removed.
    """

    async def scenario():
        async with cell(runners=2, entries=2) as c:
            leaving = c.runners[0]
            leaving.list_entry["leaving"] = True
            await c.cluster.update_instances(leaving)
            # The list lags and is polled, so requests may arrive until it is read.
            await asyncio.sleep(2.0)
            before = len((await c.fetch(leaving, "/admin/runs"))["spans"])
            for n in range(40):
                entry = c.entries[n % 2]
                status, _ = await c.request(entry, "GET", f"/r/logbook/quote?n={n}")
                assert status == 200
            after = len((await c.fetch(leaving, "/admin/runs"))["spans"])
            assert after == before

    run_scenario(scenario)


@pytest.mark.row(8)
def test_runner_that_announces_leaving_gets_no_requests_from_any_instance():
    """A runner announces in its responses that it takes no new work.

    One instance receives the announcement.  All instances must stop sending it
    requests, long before the instance list marks it as leaving.
    """

    async def scenario():
        async with cell(runners=2, entries=2) as c:
            await c.set_faults(c.runners[0], leaving=True)
            # Sent concurrently, so that both runners receive some.
            quotes = (
                c.request(c.entries[0], "GET", f"/r/logbook/quote?n={n}&ms=100")
                for n in range(12)
            )
            await asyncio.gather(*quotes)
            await asyncio.sleep(2.0)
            before = len((await c.fetch(c.runners[0], "/admin/runs"))["spans"])
            assert before > 0
            for n in range(30):
                entry = c.entries[n % 2]
                status, _ = await c.request(entry, "GET", f"/r/logbook/quote?n={n}")
                assert status == 200
            after = len((await c.fetch(c.runners[0], "/admin/runs"))["spans"])
            assert after == before

    run_scenario(scenario)
