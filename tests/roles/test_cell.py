"""The callers' side of the cell: zones chosen, waves folded."""

import asyncio

import pytest

from firhook.errors import JobImpossibleError, LogUnavailableError, NotPermittedError
from firhook.model import Assignment, JobSpec, Plan
from firhook.roles._cell import check_possible, choose_zone
from firhook.roles._fold import MAX_FOLDED, Folder
from firhook.roles._zone_lead import MAX_BATCH, batches
from tests.decide.zone_simulation import fleet

WORKERS = (*fleet(4, cpus=16.0), *fleet(12, cpus=32.0, zone="lekki"))


def test_a_job_goes_to_its_own_zone_unless_it_can_never_fit_there():
    assert choose_zone(JobSpec("j", "a", cpus=16.0), WORKERS, "ikeja") == "ikeja"
    assert choose_zone(JobSpec("j", "a", cpus=17.0), WORKERS, "ikeja") == "lekki"
    gang = JobSpec("j", "a", tasks=8, cpus=16.0, gang=True)
    assert choose_zone(gang, WORKERS, "ikeja") == "lekki"


def test_a_job_larger_than_any_worker_is_refused_at_once():
    with pytest.raises(JobImpossibleError, match="larger than any worker"):
        choose_zone(JobSpec("j", "a", cpus=33.0), WORKERS, "ikeja")
    gang = JobSpec("j", "a", tasks=25, cpus=16.0, gang=True)
    with pytest.raises(JobImpossibleError, match="the roomiest takes 24"):
        choose_zone(gang, WORKERS, "ikeja")


def test_a_job_is_taken_while_no_worker_is_known():
    assert choose_zone(JobSpec("j", "a", cpus=99.0), (), "ikeja") == "ikeja"


def test_what_a_plan_never_allows_is_refused():
    plan = Plan("small", 1.0, 4)
    with pytest.raises(JobImpossibleError, match="limit of 4"):
        check_possible(JobSpec("j", "a", tasks=5, gang=True), plan)
    with pytest.raises(NotPermittedError):
        check_possible(JobSpec("j", "a", priority="urgent"), plan)


def test_a_wave_of_cancellations_is_few_records():
    """A team stops a season's planning with one script.

    A record for each would use up the appends that urgent starts need.
    """
    sent = []

    async def send(names):
        sent.append(names)

    async def wave():
        folder = Folder(send)
        await asyncio.gather(*(folder.add(f"a/{i}") for i in range(1200)))
        await folder.add("a/0")

    asyncio.run(wave())
    assert [len(names) for names in sent] == [MAX_FOLDED, MAX_FOLDED, 200, 1]


def test_the_error_of_a_wave_reaches_every_caller():
    async def send(names):
        raise LogUnavailableError("out")

    async def wave():
        folder = Folder(send)
        asks = (folder.add(f"a/{i}") for i in range(3))
        return await asyncio.gather(*asks, return_exceptions=True)

    answers = asyncio.run(wave())
    assert all(isinstance(a, LogUnavailableError) for a in answers)


def test_a_job_is_never_split_over_two_records():
    """A lead dies between two records and leaves half a gang placed."""
    items = [Assignment("a/small", i, 1, "w") for i in range(150)]
    items += [Assignment("a/gang", i, 1, "w") for i in range(500)]
    found = batches(items)
    assert [len(batch) for batch in found] == [150, 500]
    assert MAX_BATCH < 500
