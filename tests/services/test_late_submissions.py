"""A job whose cancellation was answered never starts, however late it appears."""

import attrs
import msgspec
import pytest

from firhook.cell import Replica, Resources
from firhook.cell.job_limits import JobSize
from firhook.cell.records import CancelRequest, cancel_key, encode_record
from firhook.errors import RecordMalformedError
from firhook.platform.instance import Bounds
from firhook.platform.store import CELL_TOPIC
from standins.model import ModelCell, ModelRequest, TaskPlan, pause, run_virtual
from tests.cell.test_replica_drops import ACCEPTED
from tests.services.scenarios import run_scenario, step
from tests.services.test_submissions import TEAMS

STEPS = [step(2, 500)]
JOB = f"{77:016x}"
BODY = msgspec.json.encode({"specification": "x", "steps": STEPS})


def expect_job(cell):
    cell.plans[f"{JOB}.0.0"] = TaskPlan(0.4, Resources(500, 100))


async def call(cell, method, key="key-of-a", path="/plan/", instance=None):
    found = instance or cell.any_instance()
    req = ModelRequest(method, path + JOB, BODY if method == "POST" else b"", key)
    status, _ = await found.call(req)
    return status


def starts(cell):
    return [task for task in cell.checks.last_start if task.startswith(JOB)]


async def submit_late(cell, **more):
    """Submit a job whose record the store carries out only when told to."""
    expect_job(cell)
    cell.store.holds = lambda append: f"job/{JOB}" in append.keys
    assert await call(cell, "POST", **more) == 504
    cell.store.holds = None


def carry_out(cell):
    assert cell.store.held
    for append in cell.store.held:
        cell.store.carry_out(append)


@pytest.mark.parametrize("changes_lead", [False, True])
def test_job_that_appears_after_its_cancellation_was_answered_does_not_start(
    changes_lead,
):
    """Cancelling answered 410 and stored nothing; the job ran seconds later."""

    async def scenario(cell):
        await submit_late(cell)
        assert await call(cell, "DELETE") == 410
        if changes_lead:
            cell.kill(cell.lead_name())
            await cell.until(lambda: cell.lead() is not None, 20.0)
        carry_out(cell)
        await pause(8.0)
        assert not starts(cell)
        cell.accepted[JOB] = "/plan/"
        assert await cell.status(JOB) == "cancelled"

    run_scenario(scenario)


def test_repeated_cancellation_is_stored_once():
    async def scenario(cell):
        await submit_late(cell)
        for found in cell.instances.values():
            assert await call(cell, "DELETE", instance=found) == 410
            await pause(1.0)
        stored = [
            key
            for (topic, _), part in cell.store.partitions.items()
            if topic == CELL_TOPIC
            for record in part.records
            if (key := record[1 : 1 + record[0]].decode()).startswith("cancel/")
        ]
        assert len(stored) == 1

    run_scenario(scenario)


def test_cancellation_by_another_team_does_not_concern_the_job():
    async def scenario(cell):
        cell.configure(2, tenants=TEAMS)
        await pause(2.5)
        await submit_late(cell)
        assert await call(cell, "DELETE", "key-of-b") == 410
        assert await call(cell, "DELETE", path="/quote/") == 410
        carry_out(cell)
        await pause(5.0)
        assert len(starts(cell)) == 2

    run_scenario(scenario)


def test_submission_that_arrives_after_its_cancellation_is_refused():
    """Such as a call that an instance which stood still handles late."""

    async def scenario(cell):
        expect_job(cell)
        assert await call(cell, "DELETE") == 410
        await pause(1.0)
        for found in cell.instances.values():
            assert await call(cell, "POST", instance=found) == 409
        await pause(5.0)
        assert not starts(cell)

    run_scenario(scenario)


def test_cancellation_through_an_instance_that_lost_the_lead_is_found_by_the_next():
    """The submission and the cancellation are on different partitions."""

    async def scenario(cell):
        await submit_late(cell, instance=cell.lead())
        cell.store.down_partitions = {1, 3}
        assert await call(cell, "DELETE") == 200
        cell.store.down_partitions = set()
        cell.kill(cell.lead_name())
        carry_out(cell)
        await pause(15.0)
        assert not starts(cell)

    run_scenario(scenario, seed=3)


@pytest.mark.parametrize("appears", [False, True])
def test_cancellation_of_an_unknown_job_is_deleted_like_an_ended_job(appears):
    async def scenario():
        cell = ModelCell(instances=3, bounds=Bounds(status_s=4.0))
        await cell.begin()
        await submit_late(cell)
        assert await call(cell, "DELETE") == 410
        if appears:
            carry_out(cell)
        await pause(8.0)
        replicas = [i.instance.replica for i in cell.instances.values()]
        assert all(JOB in replica.jobs for replica in replicas)
        await pause(30.0)
        for replica in replicas:
            assert JOB not in replica.jobs
            assert replica.jobs_size == replica.cancels_size == JobSize()
        assert not starts(cell)

    run_virtual(scenario())


def test_cancellations_of_unknown_jobs_have_a_bounded_memory():
    async def scenario(cell):
        statuses = []
        for number in range(1000):
            if number % 50 == 0:
                await pause(0.5)
            req = ModelRequest("DELETE", f"/plan/{number + 1000:016x}")
            statuses.append((await cell.any_instance().call(req))[0])
        assert set(statuses) == {410, 503}
        for found in cell.instances.values():
            taken = found.instance.replica.cancels_size.memory_bytes
            assert 200_000 < taken <= 250_000
        job, status = await cell.submit([step(1)], work_s=0.2)
        assert status == 200
        await cell.until(lambda: cell.ended(job), 5.0)

    run_scenario(scenario, memory_mb=20.0)


def test_owner_of_a_cancellation_survives_a_copy_of_the_replica():
    replica, request = Replica(), CancelRequest("h/plan/", "a")
    key = cancel_key("1", request.owner)
    replica.apply(0, key, encode_record(request), 1)
    assert replica.find("1") is None
    replica.apply(1, "job/1", ACCEPTED, 1)
    owner = replica.jobs["1"].accepted.owner
    assert replica.jobs["1"].cancelled == (owner == request.owner)
    replica.apply(2, cancel_key("1", owner), encode_record(CancelRequest(*owner)), 3)
    assert replica.jobs["1"].cancelled
    with pytest.raises(RecordMalformedError):
        replica.apply(9, key, b"\x01", 1)


@pytest.mark.parametrize("refusal", ["store_busy", "stale_configuration"])
def test_repeat_of_a_submission_that_may_appear_is_not_refused_as_never_run(refusal):
    """The repeat got 503, which says that the job never runs, and the job ran."""

    async def scenario(cell):
        first, other = list(cell.instances.values())[:2]
        await submit_late(cell, instance=first)
        await pause(0.2)
        if refusal == "store_busy":
            cell.store.mode["*"] = "busy"
        else:
            view = other.instance.config
            other.instance.config = attrs.evolve(view, read_at=view.read_at - 60.0)
        assert await call(cell, "POST", instance=other) == 504
        cell.store.mode.clear()
        carry_out(cell)
        await pause(3.0)
        assert len(starts(cell)) == 2

    run_scenario(scenario)


def test_submission_is_refused_again_once_the_earlier_one_is_not_expected_any_more():
    async def scenario(cell):
        await submit_late(cell)
        cell.store.held.clear()
        await pause(31.0)
        cell.store.mode["*"] = "busy"
        assert await call(cell, "POST") == 503

    run_scenario(scenario)
