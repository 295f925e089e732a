"""Accepted jobs fit into the memory of every instance that may have to lead."""

import attrs
import msgspec
import pytest

from firhook.cell import Resources
from firhook.cell.job_limits import JobSize
from firhook.cell.records import JOB_PREFIX, encode_record
from firhook.decide.job_budget import has_room, job_limits, smallest_memory_mb
from firhook.platform.bodies import decode_job
from firhook.platform.store import CELL_TOPIC, KeyedRecord, encode_keyed_record
from standins.model import ModelRequest, TaskPlan, pause
from standins.model._cell import config_body
from tests.services.scenarios import run_scenario, step

MEMORY_MB = 20.0
LIMITS = job_limits(MEMORY_MB, 1.0, 262_144)
LARGE = [step(10_000, 100, estimated_ms=1) for _ in range(30)]
PLAN = TaskPlan(500.0, Resources(100, 100))


def patient_routes():
    """Return queues whose work is never refused as it would end late."""
    return [{**route, "target_duration_ms": 10**9} for route in config_body()["routes"]]


def check_room(cell):
    lead = cell.lead()
    if lead is not None:
        assert lead.lead.term.job_table.jobs_size.fits_in(LIMITS.jobs)


async def let_pass(cell, seconds):
    for _ in range(int(seconds * 10)):
        check_room(cell)
        await pause(0.1)


def test_jobs_are_refused_while_the_accepted_ones_fill_the_memory():
    async def scenario(cell):
        cell.configure(2, routes=patient_routes())
        await pause(3.0)
        statuses = {}
        for _ in range(15):
            job, status = await cell.submit(LARGE, work_s=500.0, attempts=1)
            statuses[job] = status
            check_room(cell)
        assert set(statuses.values()) == {200, 503}
        accepted = [job for job, status in statuses.items() if status == 200]
        assert len(accepted) > 4
        for found in cell.instances.values():
            assert found.instance.replica.jobs_size.fits_in(LIMITS.jobs)
        for job in accepted:
            assert await cell.cancel(job) == 200
        await cell.until(lambda: not cell.lead().lead.term.job_table.jobs, 10.0)
        small, status = await cell.submit([step(2)], work_s=0.2)
        assert status == 200
        await cell.until(lambda: cell.ended(small), 10.0)

    run_scenario(scenario, memory_mb=MEMORY_MB)


@pytest.mark.parametrize("seed", [1, 2])
def test_leads_hold_back_jobs_that_were_accepted_at_the_same_moment(seed):
    """Instances that accept at once do not know of each other's jobs."""

    async def scenario(cell):
        first, _ = await cell.submit([step(2)], work_s=0.2)
        replica = cell.lead().instance.replica
        await cell.until(lambda: replica.find(first), 1.0)
        pattern = replica.jobs[first].accepted
        body = msgspec.json.encode({"specification": "x", "steps": LARGE})
        spec = decode_job(body)
        part = cell.store.partition(CELL_TOPIC, 1)
        for number in range(20):
            job = attrs.evolve(
                pattern,
                id=cell.new_job_id(),
                spec=spec,
                accepted_at=pattern.accepted_at + number,
                stored_size=None,
            )
            cell.accepted[job.id] = "/plan/"
            for k in range(len(LARGE)):
                cell.plans[f"{job.id}.0.{k}"] = PLAN
            record = KeyedRecord(JOB_PREFIX + job.id, encode_record(job))
            part.add([encode_keyed_record(record)])
        await let_pass(cell, 3.0)
        for _ in range(2):
            held = cell.lead().lead.term.held_jobs.ids
            assert 10 < len(held) < 20
            cell.kill(cell.lead_name())
            await cell.until(lambda: cell.lead() is not None, 30.0)
            await let_pass(cell, 2.0)
            await cell.add_instance(f"new{len(cell.instances)}")
            await let_pass(cell, 2.0)
        for job in list(cell.accepted)[1:16]:
            assert await cell.cancel(job) == 200
        await let_pass(cell, 5.0)
        term = cell.lead().lead.term
        assert not term.held_jobs.ids
        assert set(list(cell.accepted)[16:]) <= term.job_table.jobs.keys()

    run_scenario(scenario, memory_mb=MEMORY_MB, seed=seed)


@pytest.mark.parametrize(
    "steps", [[step(10_000)] * 200, [step(10_000, all_or_nothing=True)]]
)
def test_job_that_no_instance_can_hold_is_refused_at_once(steps):
    async def scenario(cell):
        body = msgspec.json.encode({"specification": "x", "steps": steps})
        req = ModelRequest("POST", f"/plan/{1:016x}", body)
        status, problem = await cell.any_instance().call(req)
        assert (status, problem["code"]) == (413, "job.too_large")
        assert "retry_after" not in problem

    run_scenario(scenario)


def test_smallest_instance_decides_about_the_room():
    async def scenario(cell):
        await cell.until(lambda: len(cell.lead().instance.replica.peers) == 3, 5.0)
        peers = cell.lead().instance.replica.peers.values()
        assert smallest_memory_mb(500.0, peers) == MEMORY_MB
        assert smallest_memory_mb(0.0, []) == float("inf")

    run_scenario(scenario, memory_mb=MEMORY_MB)


def test_instances_that_accept_at_once_stay_within_the_room_together():
    """Each may accept its share of what is left before it reads of the others'."""
    limit, job, known = JobSize(1000, 100), JobSize(20, 3), JobSize(400, 10)
    for instances in (1, 3, 10):
        unseen = JobSize()
        while has_room(job, known, unseen, instances, limit):
            unseen += job
        together = known
        for _ in range(instances):
            together += unseen
        assert together.fits_in(limit)
        assert unseen != JobSize()


def test_jobs_of_many_steps_are_refused_before_a_round_takes_too_long():
    """A takeover and its first round take a millisecond for each 50 steps.

    With 50,000 of them no lead acted within the time that its proof lasts.
    """

    async def scenario(cell):
        cell.configure(2, routes=patient_routes())
        await pause(3.0)
        statuses = []
        for _ in range(20):
            steps = [step(2, 100, estimated_ms=1) for _ in range(200)]
            _, status = await cell.submit(steps, work_s=500.0, attempts=1)
            statuses.append(status)
            await pause(1.0)
        assert statuses == [200] * 12 + [503] * 8
        steps = cell.lead().instance.replica.jobs_size.steps
        assert steps == cell.lead().lead.term.job_table.jobs_size.steps == 2400

    run_scenario(scenario, strengths={f"i{n}": 0.2 for n in range(3)})
