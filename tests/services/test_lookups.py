"""Answers to callers by an instance that has not read all jobs yet."""

import asyncio

import pytest

from standins.model import ModelCell, ModelRequest, now, pause, run_virtual
from tests.services.scenarios import step

#: The documented limit of the age of a count, in seconds.
MAX_COUNT_AGE_S = 2.0


async def cell_with_a_slow_reader(workers=1):
    """Return a cell and an instance that has just started to read its jobs."""
    cell = ModelCell(instances=4, workers=workers)
    await cell.begin()
    cell.jobs = [await cell.submit([step(8)], work_s=30.0) for _ in range(4)]
    behind = next(n for n in cell.instances if n != cell.lead_name())
    cell.kill(behind)
    cell.store.partition_read_s[behind, 1] = 12.0
    await cell.restart(behind)
    cell.disable_pushes(behind)
    await pause(1.0)
    return cell, cell.instances[behind]


@pytest.mark.parametrize("lead", [True, False])
def test_count_comes_from_a_peer_while_the_instance_still_reads_the_jobs(lead):
    """The count comes from a peer with and without a lead to ask."""

    async def scenario():
        cell, found = await cell_with_a_slow_reader()
        if not lead:
            cell.kill(cell.lead_name())
        began = now()
        status, body = await found.call(ModelRequest("GET", "/plan/"))
        assert (status, body["pending"]) == (200, 3)
        assert now() - began <= 1.0

    run_virtual(scenario())


def test_count_is_refused_while_no_instance_can_answer():
    async def scenario():
        cell, found = await cell_with_a_slow_reader()
        name = found.instance.settings.name
        cell.cut_links += [{name, other} for other in cell.instances if other != name]
        began = now()
        status, body = await found.call(ModelRequest("GET", "/plan/"))
        assert (status, body["ran"]) == (503, "no")
        assert body["retry_after"] > 0
        assert now() - began <= 1.0

    run_virtual(scenario())


def test_job_is_found_at_once_by_an_instance_that_still_reads_the_jobs():
    """A caller that waits for the read to end gets no answer in time."""

    async def scenario():
        cell, found = await cell_with_a_slow_reader()
        for job, _ in cell.jobs:
            began = now()
            state = await cell.status(job, found)
            assert state == await cell.status(job, cell.lead())
            assert now() - began < 0.1
        assert await cell.status("00000000000000ff", found) == "410"

    run_virtual(scenario())


def test_status_is_answered_by_an_instance_that_just_started_and_has_no_peer():
    """All instances start at once, and a caller asks before the log is read."""

    async def scenario():
        cell = ModelCell(instances=1)
        await cell.begin()
        job, _ = await cell.submit([step(1)], work_s=30.0)
        cell.kill("i0")
        cell.store.partition_read_s["i0", 1] = 0.2
        await cell.restart("i0")
        await pause(0.1)
        asked = [
            cell.status(j, cell.instances["i0"]) for j in (job, "00000000000000ff")
        ]
        assert (await asyncio.gather(*asked))[1] == "410"
        assert await cell.status(job, cell.instances["i0"]) in ("queued", "running")

    run_virtual(scenario())


def test_job_of_another_team_is_not_disclosed_through_a_peer():
    async def scenario():
        cell, found = await cell_with_a_slow_reader()
        teams = [
            {"name": "a", "api_keys": ["key-of-a"], "weight": 1, "upper_limit": {}},
            {"name": "b", "api_keys": ["key-of-b"], "weight": 1, "upper_limit": {}},
        ]
        cell.configure(2, tenants=teams)
        await pause(2.5)
        path = f"/plan/{cell.jobs[0][0]}"
        status, _ = await found.call(ModelRequest("GET", path, key="key-of-b"))
        assert status == 410
        status, _ = await found.call(ModelRequest("GET", path))
        assert status == 200

    run_virtual(scenario())


def test_job_is_cancelled_through_an_instance_that_still_reads_the_jobs():
    async def scenario():
        cell, found = await cell_with_a_slow_reader()
        job, _ = cell.jobs[-1]
        status, body = await found.call(ModelRequest("DELETE", f"/plan/{job}"))
        assert (status, body) == (200, {})
        await pause(0.5)
        assert await cell.status(job, cell.lead()) == "cancelled"

    run_virtual(scenario())


def test_instance_that_cannot_read_answers_with_the_state_known_to_the_lead():
    """Otherwise a job would be reported as running seconds after its end."""

    async def scenario():
        cell = ModelCell(instances=4)
        await cell.begin()
        behind = next(n for n in cell.instances if n != cell.lead_name())
        found = cell.instances[behind]
        job, _ = await cell.submit([step(1)], work_s=1.0)
        await cell.until(lambda: found.instance.replica.find(job), 1.0)
        cell.store.mode[behind] = "silent"
        cell.disable_pushes(behind)
        await cell.until(lambda: cell.ended(job), 5.0)
        await pause(2.0)
        assert await cell.status(job, found) == "completed"

    run_virtual(scenario())


def test_job_that_ends_before_its_cancellation_is_never_reported_as_cancelled():
    """An instance that did not receive the end appends the cancellation after it."""

    async def scenario():
        cell = ModelCell()
        await cell.begin()
        behind = next(n for n in cell.instances if n != cell.lead_name())
        found = cell.instances[behind]
        cell.disable_pushes(behind)
        cell.store.partition_read_s[behind, 0] = 1.0
        job, _ = await cell.submit([step(1)], work_s=0.5)
        await cell.until(lambda: found.instance.replica.find(job), 2.0)
        await cell.until(lambda: cell.ended(job), 3.0)
        status, body = await found.call(ModelRequest("DELETE", f"/plan/{job}"))
        assert (status, body.get("state")) != (200, "cancelled")
        await pause(3.0)
        assert await cell.status(job, found) == "completed"

    run_virtual(scenario())


async def query_repeatedly(cell, query):
    """Query every instance 20 times; return the seconds and store reads it took."""
    began, reads = now(), cell.store.reads
    await pause(1.0)
    idle_a_second = (cell.store.reads - reads) / (now() - began)
    began, reads = now(), cell.store.reads
    for found in cell.instances.values():
        for _ in range(20):
            await query(found)
    took_s = now() - began
    return took_s, cell.store.reads - reads - idle_a_second * took_s


@pytest.mark.parametrize("mode", ["silent", "busy"])
def test_status_of_a_known_job_takes_no_store_call_while_the_store_is_unavailable(mode):
    """Each query would wait for a store that answers nobody, and cost calls."""

    async def scenario():
        cell = ModelCell(instances=5)
        await cell.begin()
        job, _ = await cell.submit([step(1)], work_s=60.0)
        await cell.until(lambda: cell.checks.last_start, 2.0)
        await pause(1.0)
        cell.store.mode["*"] = mode
        await pause(2.0)

        async def query(found):
            assert await cell.status(job, found) == "running"

        took_s, reads = await query_repeatedly(cell, query)
        assert took_s < 100 * 0.02
        assert reads < 100 * 0.1

    run_virtual(scenario())


def test_count_is_refused_without_a_store_call_while_a_partition_is_unavailable():
    """The partition may hold jobs that no instance can read."""

    async def scenario():
        cell = ModelCell(instances=5)
        await cell.begin()
        cell.store.down_partitions = {3}
        await pause(4.0)

        async def query(found):
            status, _ = await found.call(ModelRequest("GET", "/plan/"))
            assert status == 503

        took_s, reads = await query_repeatedly(cell, query)
        assert took_s < 100 * 0.02
        assert reads < 100 * 0.1

    run_virtual(scenario())


def test_cancelling_an_ended_job_does_not_report_it_as_cancelled():
    """A caller would submit again what is already done."""

    async def scenario():
        cell = ModelCell()
        await cell.begin()
        job, _ = await cell.submit([step(1)], work_s=0.2)
        await cell.all_done(5.0)
        await pause(0.03)
        for found in cell.instances.values():
            status, body = await found.call(ModelRequest("DELETE", f"/plan/{job}"))
            assert (status, body["state"]) == (200, "completed")

    run_virtual(scenario())


def test_no_count_is_answered_from_a_replica_that_is_too_old():
    """The fallback partition is slow to read and holds all waiting jobs."""

    async def scenario(phase_s):
        cell = ModelCell(workers=1)
        await cell.begin()
        behind = next(n for n in cell.instances if n != cell.lead_name())
        found = cell.instances[behind]
        cell.disable_pushes(behind)
        await pause(phase_s)
        cell.store.partition_read_s[behind, 3] = 2.0
        cell.store.down_partitions = {1}
        jobs = [await cell.submit([step(8)], work_s=30.0) for _ in range(4)]
        cell.store.down_partitions = set()
        assert {status for _, status in jobs} == {200}
        began = now()
        while now() - began < 6.0:
            status, body = await found.call(ModelRequest("GET", "/plan/"))
            if status == 200 and now() - began > MAX_COUNT_AGE_S:
                assert body["pending"] == 3
            await pause(0.1)

    for phase_s in (0.0, 0.5, 1.0, 1.5):
        run_virtual(scenario(phase_s))
