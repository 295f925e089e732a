"""The lead's connection to one worker."""

import asyncio
from unittest import mock

import pytest

from firhook.cell import PollReply, Resources, WorkerEntry
from firhook.cell.records import STATE_PREFIX
from firhook.clock import boot_time
from firhook.decide.worker_lease import WorkerLease
from firhook.services._worker_link import WorkerLink
from standins.model import now, pause, run_virtual
from tests.services.scenarios import run_scenario, step


def test_ends_that_a_worker_deleted_unread_are_reported():
    """Nothing else tells why their tasks ran again."""

    async def scenario(cell):
        worker, meters = cell.workers["w0"], cell.lead().instance.meters
        await cell.submit([step(4)], work_s=0.3)
        await cell.all_done(5.0)
        assert "worker_ends_missing" not in meters.counters
        # Two ends that no reply lists.
        worker._count += 2
        await cell.submit([step(4)], work_s=0.3)
        await cell.all_done(5.0)
        assert meters.counters["worker_ends_missing"][""] == 1

    run_scenario(scenario, instances=1, workers=1)


def test_link_that_is_cancelled_while_its_ends_are_stored_stops():
    """A link must not lose a cancellation that coincides with another event.

    A lead is stopped just as the ends of runs were stored: the link's event is set,
    but the link has not resumed yet.  If it lost the cancellation, it would poll its
    worker forever, and the instance would not stop until the platform kills it.
    """

    async def scenario(cell):
        lead = cell.lead().lead
        links = lead.term.links
        stopping = []

        def stored(link, ends, set_ack):
            set_ack(ends)
            if not stopping:
                stopping.append(asyncio.create_task(lead.drain()))

        await cell.until(lambda: len(links) == len(cell.workers), 5.0)
        for link in links.values():
            link.set_ack = lambda e, link=link, act=link.set_ack: stored(link, e, act)
        await cell.submit([step(1)], work_s=0.5)
        await cell.until(lambda: stopping, 5.0)
        await cell.until(stopping[0].done, 5.0)

    run_scenario(scenario)


def test_stored_ends_of_an_old_incarnation_are_not_acknowledged_to_the_new_one():
    """A restarted worker must keep the ends that nobody has read.

    The worker restarts under its name while the store does not answer the append of
    its ends.  The new incarnation numbers its ends from 1 again.  Told to forget the
    numbers of the old one, it forgets tasks that are done, and they run again.
    """

    async def scenario(cell):
        worker = cell.workers["w0"]
        for _ in range(2):
            await cell.submit([step(8)], work_s=0.3)
            await cell.all_done(5.0)
        await cell.submit([step(8)], work_s=2.0)
        await pause(1.0)
        term = cell.lead().lead.term
        cell.store.holds = lambda append: any(
            key.startswith(STATE_PREFIX) for key in append.keys
        )
        await cell.until(lambda: cell.store.held, 2.0)
        worker.restart()
        link = term.links["w0"]
        await cell.until(lambda: link.incarnation == worker.incarnation, 3.0)
        cell.store.holds = None
        await cell.all_done(20.0)
        # The ends of these follow each other faster than polls do.
        await asyncio.gather(
            *(cell.submit([step(1)], work_s=0.5 + n / 2000) for n in range(8))
        )
        await cell.all_done(20.0)

    run_scenario(scenario, instances=1, workers=1)


LEASE_S = 6.0


async def link_to(clock_s, incarnation):
    """Return a link to a worker whose reply to a poll told its clock."""
    owner = mock.Mock(fence=3)
    owner.job_table.worker_runs = {}
    owner.workers.poll = mock.AsyncMock(
        return_value=PollReply(incarnation, clock_s, (), ())
    )
    entry = WorkerEntry("w0", incarnation, "pool", "a:1", "z0", Resources())
    link = WorkerLink(owner, entry, WorkerLease(LEASE_S, 0.0))
    await link._poll_once()
    return link


@pytest.mark.parametrize("incarnation", [0, 1])
def test_answer_of_an_old_incarnation_does_not_set_the_clock(incarnation):
    """Leases would end at once by the clock of the new incarnation, with all tasks.

    An answer to an order need not name its incarnation (0).
    """

    async def scenario():
        link = await link_to(5000.0, 2)
        link.on_order_answer(incarnation, 20.0, boot_time())
        assert link.lease_until() == pytest.approx(5000.0 + LEASE_S)

    run_virtual(scenario())


def test_late_reply_of_an_old_incarnation_does_not_set_the_clock():
    async def scenario():
        link = await link_to(5000.0, 2)
        link._owner.workers.poll.return_value = PollReply(1, 20.0, (), ())
        await link._poll_once()
        assert link.lease_until() == pytest.approx(5000.0 + LEASE_S)

    run_virtual(scenario())


def test_lease_is_not_granted_by_the_clock_of_an_old_incarnation():
    """An answer shows the restart before a reply tells the new clock."""

    async def scenario():
        link = await link_to(5000.0, 1)
        link.on_order_answer(2, None, boot_time())
        assert link.lease_until() == 0.0
        await link._poll_once()
        assert link._owner.workers.poll.call_args.args[3] is None

    run_virtual(scenario())


def test_tasks_of_a_worker_whose_clock_went_back_run_elsewhere():
    """Its new incarnation has a lower number; they waited for it without end."""

    async def scenario(cell):
        job, _ = await cell.submit([step(4, 4000)], work_s=2.0)
        await cell.until(
            lambda: all(worker.runs for worker in cell.workers.values()), 5.0
        )
        worker = cell.workers["w0"]
        worker.crash()
        worker.incarnation -= 5000
        worker.restart()
        await cell.until(lambda: cell.ended(job), 60.0)

    run_scenario(scenario, workers=2)


def test_ends_are_known_soon_though_answers_to_polls_get_lost():
    """Short jobs were late since the lead waited two seconds for each lost answer."""

    async def scenario(cell):
        for worker in cell.workers.values():
            worker.lost_share = 0.15
        took_s = []
        for _ in range(120):
            began = now()
            job, _ = await cell.submit([step(3)], work_s=0.6, prefix="/quote/")
            await cell.until(lambda job=job: cell.ended(job), 20.0)
            took_s.append(now() - began - 0.6)
        # The first ones show that calls get lost.
        later = sorted(took_s[20:])
        assert later[len(later) * 9 // 10] < 0.8

    run_scenario(scenario, instances=1, workers=10, seed=3)


def test_worker_that_answers_slowly_is_not_lost_while_calls_to_others_get_lost():
    """Its answers would all be late, and it would get no work."""

    async def scenario():
        link = await link_to(5000.0, 1)
        link._owner.lost_calls.are_frequent.return_value = True

        async def poll(worker, fence, ack, until, wait_s):
            await pause(wait_s + 0.3)
            return PollReply(1, 5000.0, (), ())

        link._owner.workers.poll = poll
        for _ in range(20):
            assert await link._try_poll()
        assert not link._failed_polls
        assert link.usable(boot_time())

    run_virtual(scenario())


def test_worker_that_is_down_is_lost_as_soon_while_calls_get_lost():
    """A lost call alone must neither show that, nor hide it."""

    async def scenario():
        link = await link_to(5000.0, 1)
        link._owner.lost_calls.are_frequent.return_value = True

        async def poll(*args):
            await pause(10.0)

        link._owner.workers.poll = poll
        began = now()
        assert await link._try_poll()
        assert not link._owner.on_unreachable.called
        assert not await link._try_poll()
        assert link._owner.on_unreachable.called
        assert not link.usable(boot_time())
        assert now() - began <= 2.0

    run_virtual(scenario())


def test_worker_that_answers_slowly_is_regained_after_a_poll_without_an_answer():
    """It got no more work: no later poll waited as long as its answers took."""

    async def scenario():
        link = await link_to(5000.0, 1)

        async def poll(*args):
            await pause(0.8)
            return PollReply(1, 5000.0, (), ())

        link._on_poll_failed("no answer")
        link._owner.lost_calls.are_frequent.return_value = False
        link._owner.workers.poll = poll
        polling = asyncio.create_task(link.run())
        await pause(6.0)
        assert link.usable(boot_time())
        polling.cancel()

    run_virtual(scenario())


def test_worker_that_left_for_good_is_polled_no_more():
    """Names that are never used again were polled four times a second for ever."""

    async def scenario(cell):
        links, worker = cell.lead().lead.term.links, cell.workers["w0"]
        job, _ = await cell.submit([step(2, 8000)], work_s=20.0)
        await cell.until(lambda: worker.runs, 3.0)
        cell.unregister("w0")
        worker.crash()
        await pause(10.0)
        assert "w0" in links
        await cell.until(lambda: "w0" not in links, 30.0)
        worker.restart()
        cell.register("w0")
        await cell.submit([step(3, 8000)], work_s=0.5)
        await cell.until(lambda: worker.started_runs > 1, 30.0)
        await cell.all_done(60.0)
        assert cell.final(job).name == "COMPLETED"

    run_scenario(scenario, instances=1, workers=2)
