"""Which submissions are refused because their id belongs to another job."""

import msgspec
import pytest

from firhook.platform.store import CELL_TOPIC
from standins.model import ModelCell, ModelRequest, pause, run_virtual
from tests.services.scenes import step

STEP = step(1)
BODY = msgspec.json.encode({"specification": "other", "steps": [STEP]})
TEAMS = [
    {"name": "team-a", "api_keys": ["key-of-a"], "weight": 1, "upper_limit": {}},
    {"name": "team-b", "api_keys": ["key-of-b"], "weight": 1, "upper_limit": {}},
]


def stored(cell, job):
    """Return the stored submissions of a job's id, with their offsets."""
    return [
        (number, part.newest[f"job/{job}"])
        for (topic, number), part in sorted(cell.store.partitions.items())
        if topic == CELL_TOPIC and f"job/{job}" in part.newest
    ]


@pytest.mark.parametrize(
    ("path", "key"), [("/plan/", "key-of-b"), ("/quote/", "key-of-a")]
)
def test_id_of_another_teams_or_queues_job_is_refused_and_the_job_stays(path, key):
    async def play():
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

    run_virtual(play())


def test_repeat_of_a_teams_own_submission_is_still_taken():
    async def play():
        cell = ModelCell(instances=3)
        await cell.begin()
        job, _ = await cell.submit([STEP], work_s=5.0)
        await pause(0.5)
        before = stored(cell, job)
        for found in cell.instances.values():
            status, _ = await found.call(ModelRequest("POST", f"/plan/{job}", BODY))
            assert status == 200
        assert stored(cell, job) == before

    run_virtual(play())
