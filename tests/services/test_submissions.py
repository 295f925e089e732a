"""Submissions whose id belongs to another job."""

import asyncio

import msgspec
import pytest

from firhook.cell import Resources
from firhook.clock import unix_time
from firhook.platform.store import CELL_TOPIC
from firhook.services import _callers
from standins.model import ModelCell, ModelRequest, TaskPlan, pause, run_virtual
from tests.services.scenarios import step

STEP = step(1)
BODY = msgspec.json.encode({"specification": "other", "steps": [STEP]})
TEAMS = [
    {"name": "team-a", "api_keys": ["key-of-a"], "weight": 1, "upper_limit": {}},
    {"name": "team-b", "api_keys": ["key-of-b"], "weight": 1, "upper_limit": {}},
]


def stored(cell, job):
    """Return the stored submissions under a job's id, with their partitions."""
    return [
        (number, part.newest[f"job/{job}"])
        for (topic, number), part in sorted(cell.store.partitions.items())
        if topic == CELL_TOPIC and f"job/{job}" in part.newest
    ]


@pytest.mark.parametrize(
    ("path", "key"), [("/plan/", "key-of-b"), ("/quote/", "key-of-a")]
)
def test_id_of_another_teams_or_queues_job_is_refused_and_the_job_stays(path, key):
    async def scenario():
        cell = ModelCell(instances=3)
        await cell.begin()
        cell.configure(2, tenants=TEAMS)
        await pause(2.5)
        job, _ = await cell.submit([STEP], work_s=30.0)
        await pause(0.5)
        before = stored(cell, job)
        for found in cell.instances.values():
            status, problem = await found.call(
                ModelRequest("POST", path + job, BODY, key)
            )
            assert status == 409
            assert (problem["code"], problem["ran"]) == ("job.id_taken", "no")
            assert "another id" in problem["remedy"]
            assert "team-a" not in str(problem)
            assert "q-plan" not in str(problem)
        assert stored(cell, job) == before
        await pause(0.5)
        assert await cell.status(job) == "running"
        status, _ = await cell.any_instance().call(
            ModelRequest("GET", path + job, key=key)
        )
        assert status == 410

    run_virtual(scenario())


def test_repeat_of_a_teams_own_submission_is_still_taken():
    async def scenario():
        cell = ModelCell(instances=3)
        await cell.begin()
        job, _ = await cell.submit([STEP], work_s=5.0)
        await pause(0.5)
        before = stored(cell, job)
        for found in cell.instances.values():
            status, _ = await found.call(ModelRequest("POST", f"/plan/{job}", BODY))
            assert status == 200
        assert stored(cell, job) == before

    run_virtual(scenario())


FIRST, OTHER_TEAM, OTHER_QUEUE = (
    ("/plan/", "key-of-a"),
    ("/plan/", "key-of-b"),
    ("/quote/", "key-of-a"),
)


async def submit_at_once(cell, job, second, gap_s):
    """Submit one id at two instances, the second ``gap_s`` after the first."""
    cell.configure(2, tenants=TEAMS)
    await pause(2.5)
    cell.plans[f"{job}.0.0"] = TaskPlan(6.0, Resources(1000, 100))
    one, other, *_ = cell.instances.values()

    async def post(found, path, key, wait_s):
        body = {"specification": f"{path} {key}", "steps": [STEP]}
        await pause(wait_s)
        req = ModelRequest("POST", path + job, msgspec.json.encode(body), key)
        return (await found.call(req))[0]

    return await asyncio.gather(post(one, *FIRST, 0), post(other, *second, gap_s))


async def collect_answers(cell, job, path, key):
    """Return the answers of all live instances about a job."""
    answers = set()
    for found in cell.instances.values():
        if found.alive:
            status, body = await found.call(ModelRequest("GET", path + job, key=key))
            answers.add((status, body.get("state") or body["code"]))
    return answers


def record_texts(worker, texts):
    """Record the text of each order that a worker receives."""
    start = worker.start

    def recorded(order):
        texts.add(order.text)
        return start(order)

    worker.start = recorded


@pytest.mark.parametrize("second", [OTHER_TEAM, OTHER_QUEUE])
@pytest.mark.parametrize("gap_s", [0.0, 0.003, 0.006, 0.012])
@pytest.mark.parametrize("behind_s", [0.0, 2.0])
def test_of_two_concurrent_jobs_under_one_id_the_first_runs_and_the_other_is_refused(
    monkeypatch, second, gap_s, behind_s
):
    """Two instances append one id for two owners before either knows of the other.

    Both submissions may be answered as accepted.  The second must not replace the
    first, which runs: its owner would get the answer that there is no such job.
    """
    clocks = [0.0, behind_s]
    monkeypatch.setattr(_callers, "unix_time", lambda: unix_time() - clocks.pop(0))
    job = f"{9:016x}"
    texts = set()

    async def scenario():
        cell = ModelCell(instances=4)
        cell.drop_share = 0.0
        await cell.begin()
        for worker in cell.workers.values():
            record_texts(worker, texts)
        statuses = await submit_at_once(cell, job, second, gap_s)
        assert statuses[0] == 200
        assert statuses[1] in (200, 504)
        await pause(0.5)
        assert await collect_answers(cell, job, *FIRST) == {(200, "running")}
        assert await collect_answers(cell, job, *second) == {(409, "job.id_taken")}
        assert texts == {" ".join(FIRST)}
        lead = cell.lead_name()
        cell.kill(lead)
        await pause(2.0)
        await cell.restart(lead)
        await pause(1.0)
        assert await collect_answers(cell, job, *FIRST) == {(200, "running")}
        assert await collect_answers(cell, job, *second) == {(409, "job.id_taken")}
        cell.accepted[job] = FIRST[0]
        await cell.all_done(20.0)
        await pause(0.5)
        assert await collect_answers(cell, job, *FIRST) == {(200, "completed")}
        assert await collect_answers(cell, job, *second) == {(409, "job.id_taken")}
        path, key = second
        for found in cell.instances.values():
            for method, expected in (("POST", 409), ("DELETE", 410)):
                req = ModelRequest(method, path + job, BODY, key)
                assert (await found.call(req))[0] == expected
        assert cell.checks.violations == []

    run_virtual(scenario())
