"""What callers are told by an instance that has not read all jobs yet."""

import asyncio

import pytest

from standins.model import ModelCell, ModelRequest, now, pause, run_virtual
from tests.services.scenarios import step

#: Operators are told that a count may be so old.
OLDEST_S = 2.0


async def cell_with_a_slow_reader(workers=1):
    """Return a cell, and an instance that has just begun to read its jobs."""
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
def test_count_of_an_instance_that_still_reads_the_jobs_is_what_a_peer_knows(lead):
    """With and without a lead that could be asked."""

    async def play():
        cell, found = await cell_with_a_slow_reader()
        if not lead:
            cell.kill(cell.lead_name())
        began = now()
        status, body = await found.call(ModelRequest("GET", "/plan/"))
        assert (status, body["pending"]) == (200, 3)
        assert now() - began <= 1.0

    run_virtual(play())


def test_count_is_refused_while_nobody_can_tell_it():
    async def play():
        cell, found = await cell_with_a_slow_reader()
        name = found.instance.settings.name
        cell.cut_links += [{name, other} for other in cell.instances if other != name]
        began = now()
        status, body = await found.call(ModelRequest("GET", "/plan/"))
        assert (status, body["ran"]) == (503, "no")
        assert body["retry_after"] > 0
        assert now() - began <= 1.0

    run_virtual(play())


def test_job_is_found_at_once_by_an_instance_that_still_reads_the_jobs():
    """A caller who waits for the reading to end gets no answer in time."""

    async def play():
        cell, found = await cell_with_a_slow_reader()
        for job, _ in cell.jobs:
            began = now()
            state = await cell.status(job, found)
            assert state == await cell.status(job, cell.lead())
            assert now() - began < 0.1
        assert await cell.status("00000000000000ff", found) == "410"

    run_virtual(play())


def test_job_is_told_by_an_instance_that_has_just_started_and_has_no_peer():
    """All instances start at once, and a caller is there before the log is read."""

    async def play():
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

    run_virtual(play())


def test_job_of_another_team_is_not_told_by_way_of_a_peer():
    async def play():
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

    run_virtual(play())


def test_job_is_cancelled_through_an_instance_that_still_reads_the_jobs():
    async def play():
        cell, found = await cell_with_a_slow_reader()
        job, _ = cell.jobs[-1]
        status, body = await found.call(ModelRequest("DELETE", f"/plan/{job}"))
        assert (status, body) == (200, {})
        await pause(0.5)
        assert await cell.status(job, cell.lead()) == "cancelled"

    run_virtual(play())


def test_instance_whose_own_reading_stopped_tells_the_state_that_the_lead_knows():
    """Without it a job would be told to run seconds after it has ended."""

    async def play():
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

    run_virtual(play())


def test_job_that_ends_before_its_cancelling_is_never_told_as_cancelled():
    """An instance that is not told of the end records the cancelling after it."""

    async def play():
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

    run_virtual(play())


async def ask_often(cell, question):
    """Ask every instance 20 times; return the time and the readings it took."""
    began, reads = now(), cell.store.reads
    await pause(1.0)
    idle_a_second = (cell.store.reads - reads) / (now() - began)
    began, reads = now(), cell.store.reads
    for found in cell.instances.values():
        for _ in range(20):
            await question(found)
    took_s = now() - began
    return took_s, cell.store.reads - reads - idle_a_second * took_s


@pytest.mark.parametrize("mode", ["silent", "busy"])
def test_known_job_is_told_at_once_and_without_a_call_while_the_store_is_away(mode):
    """Each question would wait for a store that answers nobody, and cost calls."""

    async def play():
        cell = ModelCell(instances=5)
        await cell.begin()
        job, _ = await cell.submit([step(1)], work_s=60.0)
        await cell.until(lambda: cell.checks.last_start, 2.0)
        await pause(1.0)
        cell.store.mode["*"] = mode
        await pause(2.0)

        async def question(found):
            assert await cell.status(job, found) == "running"

        took_s, reads = await ask_often(cell, question)
        assert took_s < 100 * 0.02
        assert reads < 100 * 0.1

    run_virtual(play())


def test_count_is_refused_at_once_and_without_a_call_while_a_partition_is_away():
    """Jobs may lie there that nobody can see."""

    async def play():
        cell = ModelCell(instances=5)
        await cell.begin()
        cell.store.down_partitions = {3}
        await pause(4.0)

        async def question(found):
            status, _ = await found.call(ModelRequest("GET", "/plan/"))
            assert status == 503

        took_s, reads = await ask_often(cell, question)
        assert took_s < 100 * 0.02
        assert reads < 100 * 0.1

    run_virtual(play())


def test_cancelling_a_job_that_has_ended_is_not_told_as_cancelled():
    """A caller would hand in again what is done already."""

    async def play():
        cell = ModelCell()
        await cell.begin()
        job, _ = await cell.submit([step(1)], work_s=0.2)
        await cell.all_done(5.0)
        await pause(0.03)
        for found in cell.instances.values():
            status, body = await found.call(ModelRequest("DELETE", f"/plan/{job}"))
            assert (status, body["state"]) == (200, "completed")

    run_virtual(play())


def test_no_count_is_told_from_a_replica_that_is_older_than_it_may_be():
    """Reading the second partition takes long, and all waiting jobs lie there."""

    async def play(phase_s):
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
            if status == 200 and now() - began > OLDEST_S:
                assert body["pending"] == 3
            await pause(0.1)

    for phase_s in (0.0, 0.5, 1.0, 1.5):
        run_virtual(play(phase_s))
