"""Tests of the cell role: choice of zone, checks of jobs, and batching."""

import asyncio

import pytest

from firhook.errors import JobImpossibleError, LogUnavailableError, NotPermittedError
from firhook.model import Assignment, JobSpec, Plan
from firhook.roles._batcher import MAX_BATCH_SIZE, Batcher
from firhook.roles._cell import check_plan_allows, choose_zone
from firhook.roles._zone_lead import MAX_BATCH_TASKS, split_into_batches
from tests.decide.zone_simulation import fleet

WORKERS = (*fleet(4, cpus=16.0), *fleet(12, cpus=32.0, zone="lekki"))


def test_job_goes_to_its_own_zone_unless_it_can_never_fit_there():
    assert choose_zone(JobSpec("j", "a", cpus=16.0), WORKERS, "ikeja") == "ikeja"
    assert choose_zone(JobSpec("j", "a", cpus=17.0), WORKERS, "ikeja") == "lekki"
    gang = JobSpec("j", "a", tasks=8, cpus=16.0, gang=True)
    assert choose_zone(gang, WORKERS, "ikeja") == "lekki"


def test_job_larger_than_any_worker_is_refused_at_once():
    with pytest.raises(JobImpossibleError, match="larger than any worker"):
        choose_zone(JobSpec("j", "a", cpus=33.0), WORKERS, "ikeja")
    gang = JobSpec("j", "a", tasks=25, cpus=16.0, gang=True)
    with pytest.raises(JobImpossibleError, match="the roomiest takes 24"):
        choose_zone(gang, WORKERS, "ikeja")


def test_job_is_accepted_while_no_worker_is_listed():
    assert choose_zone(JobSpec("j", "a", cpus=99.0), (), "ikeja") == "ikeja"


def test_job_that_its_plan_never_allows_is_refused():
    plan = Plan("small", 1.0, 4)
    with pytest.raises(JobImpossibleError, match="limit of 4"):
        check_plan_allows(JobSpec("j", "a", tasks=5, gang=True), plan)
    with pytest.raises(NotPermittedError):
        check_plan_allows(JobSpec("j", "a", priority="urgent"), plan)


def test_many_cancellations_share_few_records():
    """A script cancels all of a team's jobs at once.

    A record for each would use up the append budget that urgent starts need.
    """
    sent = []

    async def send(names):
        sent.append(names)

    async def wave():
        batcher = Batcher(send)
        await asyncio.gather(*(batcher.add(f"a/{i}") for i in range(1200)))
        await batcher.add("a/0")

    asyncio.run(wave())
    assert [len(names) for names in sent] == [MAX_BATCH_SIZE, MAX_BATCH_SIZE, 200, 1]


def test_batch_error_reaches_every_caller():
    async def send(names):
        raise LogUnavailableError("out")

    async def wave():
        batcher = Batcher(send)
        asks = (batcher.add(f"a/{i}") for i in range(3))
        return await asyncio.gather(*asks, return_exceptions=True)

    answers = asyncio.run(wave())
    assert all(isinstance(a, LogUnavailableError) for a in answers)


def test_job_is_never_split_over_two_records():
    """A lead that died between the two records would leave a gang partly placed."""
    items = [Assignment("a/small", i, 1, "w") for i in range(150)]
    items += [Assignment("a/gang", i, 1, "w") for i in range(500)]
    found = split_into_batches(items)
    assert [len(batch) for batch in found] == [150, 500]
    assert MAX_BATCH_TASKS < 500
