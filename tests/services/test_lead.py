"""The lead on the platform model: takeovers, expired leases, unanswered orders."""

import asyncio

import attrs
import pytest

from firhook._instance import load_services
from firhook._mesh import MAX_FRAME_BYTES, pack_frame
from firhook._peer_messages import RecordsPush
from firhook.clock import boot_time
from firhook.decide.schedule import RoundResult
from firhook.platform.instance import Bounds
from firhook.platform.store import KeyedRecord
from firhook.services._events import AppendRecord, SendToInstances
from standins.model import ModelCell, ModelRequest, now, pause, run_virtual
from tests.services.scenarios import step


def test_completed_job_is_reported_by_every_instance():
    async def scenario():
        cell = ModelCell()
        await cell.begin()
        job, status = await cell.submit([step(3), step(2, after=[0])])
        assert status == 200
        await cell.all_done(10.0)
        # Other instances learn of it from the lead, which batches for 15 ms.
        await pause(0.03)
        states = {await cell.status(job, i) for i in cell.instances.values()}
        assert states == {"completed"}
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_lead_places_tasks_with_the_function_of_its_class():
    """Policies are compared by cells whose leads differ only in these functions."""

    class IdleLead(load_services()["lead"]):
        place = staticmethod(lambda book, workers, tickets, now: RoundResult())

    class IdleCell(ModelCell):
        def services(self):
            return {**super().services(), "lead": IdleLead}

    async def scenario(cell):
        await cell.begin()
        job, status = await cell.submit([step()])
        await pause(3.0)
        return status, await cell.status(job)

    assert run_virtual(scenario(ModelCell())) == (200, "completed")
    assert run_virtual(scenario(IdleCell())) == (200, "queued")


def test_tasks_of_a_worker_that_is_gone_for_good_run_elsewhere_under_a_new_lead():
    """Tasks of a worker that a new lead never sees registered must run elsewhere.

    A worker is lost for good, its entry expires, and then the lead is killed.  The
    new lead knows of the worker only from stored records.  The job would stay
    "running" forever while the cell is idle.
    """

    async def scenario():
        cell = ModelCell(workers=2)
        await cell.begin()
        job, _ = await cell.submit([step(4)], work_s=5.0)
        await cell.until(lambda: len(cell.workers["w0"].runs) > 0, 3.0)
        cell.workers["w0"].crash()
        cell.unregister("w0")
        cell.kill(cell.lead_name())
        await cell.all_done(40.0)
        # Other instances learn of it from the lead, which batches for 15 ms.
        await pause(0.03)
        assert await cell.status(job) == "completed"
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_expired_jobs_and_their_records_are_deleted():
    async def scenario():
        cell = ModelCell(bounds=Bounds(status_s=2.0))
        await cell.begin()
        job, _ = await cell.submit([step(1)], work_s=0.2)
        await cell.all_done(5.0)
        # Other instances learn of it from the lead, which batches for 15 ms.
        await pause(0.03)
        assert await cell.status(job) == "completed"
        await pause(15.0)
        assert await cell.status(job) == "410"
        kept = [k for p in cell.store.partitions.values() for k in p.newest]
        assert not any(job in key for key in kept)

    run_virtual(scenario())


def test_late_repeat_of_a_submission_does_not_start_the_job_again():
    """A repeated submission must not run the job twice and charge its user twice.

    The answer to the first submission is late, and the caller sends it again.  The
    repeat reaches another instance after the job has ended.
    """

    async def scenario():
        cell = ModelCell()
        await cell.begin()
        job, _ = await cell.submit([step(1)], work_s=0.2)
        await cell.all_done(5.0)
        again, status = await cell.submit([step(1)], work_s=0.2, job_id=job)
        assert (again, status) == (job, 200)
        await pause(2.0)
        assert cell.checks.violations == []
        assert await cell.status(job) == "completed"

    run_virtual(scenario())


def test_new_jobs_are_refused_at_once_while_the_store_is_silent():
    """A caller must get a definite refusal while the store does not answer.

    Without a definite answer a caller cannot safely submit again.  The refusal says
    that nothing was recorded and when to retry.
    """

    async def scenario():
        cell = ModelCell()
        await cell.begin()
        cell.store.mode["*"] = "silent"
        await pause(3.0)
        began = now()
        body = b'{"specification":"x","steps":[{"count":1,"millicpus":1}]}'
        req = ModelRequest("POST", "/plan/00000000000000ff", body)
        status, problem = await cell.instances["i0"].call(req)
        assert status == 503
        assert problem["ran"] == "no"
        assert problem["retry_after"] > 0
        assert now() - began < 0.1

    run_virtual(scenario())


def test_instance_with_stale_keys_serves_no_caller():
    """An instance must not accept a key that may have been withdrawn.

    The instance is partitioned from the store and the other instances while a key
    is withdrawn.
    """

    async def scenario():
        cell = ModelCell()
        await cell.begin()
        job, _ = await cell.submit([step(1)], work_s=0.2)
        cell.store.mode["i0"] = "silent"
        cell.cut_links += [{"i0", "i1"}, {"i0", "i2"}]
        await pause(1.0)
        cell.configure(2, tenants=[{"name": "a", "api_keys": ["another"]}])
        await pause(cell.bounds.revocation_s)
        assert await cell.status(job, cell.instances["i0"]) == "503"
        assert await cell.status(job, cell.instances["i1"]) == "401"

    run_virtual(scenario())


@pytest.mark.parametrize("mode", ["busy", "silent"])
def test_instance_that_the_store_refuses_serves_callers_through_the_lead(mode):
    """Callers of an instance that the store does not serve must not be refused.

    The store serves all other instances, including the lead.  Callers would wait
    for a second and be refused, for as long as the platform sends them there.
    """

    async def scenario():
        cell = ModelCell()
        await cell.begin()
        isolated = next(n for n in cell.instances if n != cell.lead_name())
        found = cell.instances[isolated]
        cell.store.mode[isolated] = mode
        await pause(1.0)
        assert not await found.instance.services["callers"].ready()
        body = b'{"specification":"x","steps":[{"count":1,"millicpus":1}]}'
        began = now()
        req = ModelRequest("POST", "/plan/00000000000000ff", body)
        status, _ = await found.call(req)
        assert status == 200
        assert now() - began < 0.1
        cell.configure(2, tenants=[{"name": "a", "api_keys": ["another"]}])
        await pause(cell.bounds.revocation_s + 1.0)
        get_req = ModelRequest("GET", "/plan/00000000000000ff")
        assert (await found.call(get_req))[0] == 401
        get_req = ModelRequest("GET", "/plan/00000000000000ff", key="another")
        assert (await found.call(get_req))[0] == 200
        cell.store.mode.clear()
        await pause(1.0)
        assert await found.instance.services["callers"].ready()

    run_virtual(scenario())


def test_instance_in_a_partitioned_zone_refuses_at_once_and_reports_not_run():
    """An instance in a partitioned zone must refuse callers without delay.

    The zone has lost its connection to the store and to all other zones.  Callers
    that wait for a timeout have no time left to try another zone.
    """

    async def scenario():
        cell = ModelCell(instances=4)
        await cell.begin()
        isolated = next(n for n in cell.instances if n != cell.lead_name())
        found = cell.instances[isolated]
        cell.store.mode[isolated] = "silent"
        cell.cut_links += [
            {isolated, other} for other in cell.instances if other != isolated
        ]
        await pause(0.9)
        assert not await found.instance.services["callers"].ready()
        body = b'{"specification":"x","steps":[{"count":1,"millicpus":1}]}'
        began = now()
        req = ModelRequest("POST", "/plan/00000000000000ff", body)
        status, problem = await found.call(req)
        assert status == 503
        assert problem["ran"] == "no"
        assert now() - began < 0.1

    run_virtual(scenario())


def test_successor_sends_its_first_order_soon_after_the_lead_falls_silent():
    async def scenario():
        cell = ModelCell()
        await cell.begin()
        cell.kill(cell.lead_name())
        began = now()
        job, _ = await cell.submit([step(1)], work_s=0.2)
        await cell.until(lambda: cell.checks.last_start, 5.0)
        assert now() - began < 1.5
        assert job in cell.accepted

    run_virtual(scenario())


def test_tasks_start_and_end_while_one_lead_partition_is_unavailable():
    """Accepted jobs must start while one of the lead's partitions is unavailable.

    If the lead wrote its records to the lost partition only, no job would begin
    until that partition is back.
    """

    async def scenario():
        cell = ModelCell()
        await cell.begin()
        cell.store.down_partitions = {0}
        jobs = [(await cell.submit([step(2)], work_s=0.3))[0] for _ in range(5)]
        await cell.all_done(3.0)
        cell.store.down_partitions = set()
        await pause(3.0)
        jobs += [(await cell.submit([step(2)], work_s=0.3))[0] for _ in range(5)]
        await cell.all_done(3.0)
        cell.kill(cell.lead_name())
        await cell.until(lambda: cell.lead() is not None, 3.0)
        await pause(1.0)
        assert {await cell.status(job) for job in jobs} == {"completed"}
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_jobs_are_accepted_while_one_caller_partition_is_unavailable():
    async def scenario():
        cell = ModelCell()
        await cell.begin()
        cell.store.down_partitions = {1}
        for _ in range(5):
            _, status = await cell.submit([step(1)], work_s=0.3)
            assert status == 200
        await cell.all_done(3.0)
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_lead_stays_while_no_message_between_instances_arrives():
    """The lead must not change because messages between instances are lost.

    All connections between instances hang while the cell is idle, so that no
    instance receives the lead's announcements.  If others became candidates, the
    lead would move repeatedly, and users would wait for each change.  The lead's
    appends to the store show that it is alive.
    """

    async def scenario():
        cell = ModelCell(instances=5)
        await cell.begin()
        first = cell.lead()
        cell.drop_share = 1.0
        for _ in range(40):
            await pause(0.1)
            assert cell.lead() is first
        await cell.submit([step(2)], work_s=0.3)
        await cell.all_done(3.0)
        assert cell.checks.violations == []

    run_virtual(scenario())


def longest_gap(cell, changes, seconds):
    """Record changes of the lead; return the longest time without a lead."""

    async def watch():
        worst = since = 0.0
        end = now() + seconds
        last = cell.lead_name()
        while now() < end:
            await pause(0.01)
            since = since + 0.01 if cell.lead() is None else 0.0
            worst = max(worst, since)
            if cell.lead() is not None and cell.lead_name() != last:
                last = cell.lead_name()
                changes.append(last)
        return worst

    return watch()


@pytest.mark.parametrize("seed", range(50))
def test_silent_lead_is_replaced_once_within_600_ms(seed):
    """A lost lead must be replaced quickly, and only once.

    The lead's machine loses power and returns seconds later.  Without a lead nothing
    starts, and every quote of that time is late.  Moving the lead back would cost
    the same time again.
    """

    async def scenario():
        cell = ModelCell(instances=7, seed=seed)
        await cell.begin()
        await pause(cell.rng.random())
        first, changes = cell.lead_name(), []
        cell.kill(first)
        watching = asyncio.create_task(longest_gap_from(cell, changes, 6.0))
        await pause(2.0)
        await cell.restart(first)
        assert await watching <= 0.6
        assert len(changes) == 1

    run_virtual(scenario())


async def longest_gap_from(cell, changes, seconds):
    """Like :func:`longest_gap`, started at a moment without a lead."""
    began = now()
    await cell.until(lambda: cell.lead() is not None, 5.0)
    gap = now() - began
    changes.append(cell.lead_name())
    return max(gap, await longest_gap(cell, changes, seconds))


@pytest.mark.parametrize("seed", range(10))
def test_restart_of_every_instance_in_turn_leaves_no_time_without_a_lead(seed):
    """A rolling restart must not interrupt service.

    Operators stop and start all instances in turn.  A stopping lead hands over
    first, so that callers notice nothing.
    """

    async def scenario():
        cell = ModelCell(instances=5, seed=seed)
        await cell.begin()
        changes = []
        watching = asyncio.create_task(longest_gap(cell, changes, 30.0))
        for name in sorted(cell.instances):
            await cell.stop(name)
            await cell.restart(name)
            await pause(1.0)
        assert await watching <= 0.1
        assert cell.checks.violations == []

    run_virtual(scenario())


@pytest.mark.parametrize("mode", ["busy", "silent"])
def test_lead_that_the_store_refuses_hands_over_to_one_that_reaches_it(mode):
    """A lead that the store does not serve must hand over by itself.

    It still reaches its peers, so that they need not wait until it falls silent.
    """

    async def scenario():
        cell = ModelCell(instances=5)
        await cell.begin()
        first = cell.lead_name()
        began = now()
        cell.store.mode[first] = mode
        await cell.until(lambda: cell.lead() and cell.lead_name() != first, 5.0)
        assert now() - began < 1.0
        changes = []
        await longest_gap(cell, changes, 3.0)
        cell.store.mode.clear()
        await longest_gap(cell, changes, 3.0)
        assert changes == []

    run_virtual(scenario())


def test_lead_stays_while_the_store_is_unavailable_for_all():
    async def scenario():
        cell = ModelCell(instances=5)
        await cell.begin()
        first = cell.lead_name()
        cell.store.mode["*"] = "silent"
        await pause(4.0)
        cell.store.mode.clear()
        await cell.until(lambda: cell.lead() is not None, 2.0)
        assert cell.lead_name() == first

    run_virtual(scenario())


def test_weak_instance_leads_only_while_there_is_no_strong_one():
    """A strong instance must lead whenever one is available.

    The processors of the instances differ by a factor of four, and the strong ones
    are lost.  A weak lead falls behind, and in a busy cell nothing would start for
    a minute.  It is still better than none until a strong instance is back.
    """

    async def scenario():
        strengths = {"i1": 4.0, "i3": 4.0}
        cell = ModelCell(instances=4, strengths=strengths)

        def leads(*names):
            return any(cell.instances[name].leads for name in names)

        await cell.begin()
        await cell.until(lambda: leads(*strengths), 5.0)
        await pause(10.0)
        first = cell.lead_name()
        assert first in strengths

        other = next(name for name in strengths if name != first)
        cell.kill(first)
        await cell.until(lambda: leads(other), 2.0)
        cell.kill(other)
        await cell.until(lambda: leads("i0", "i2"), 5.0)
        job, _ = await cell.submit([step(2)], work_s=0.5)
        await cell.all_done(5.0)

        await cell.restart(first)
        await cell.until(lambda: leads(first), 5.0)
        job, _ = await cell.submit([step(2)], work_s=0.5)
        await cell.all_done(5.0)
        # Other instances learn of it from the lead, which batches for 15 ms.
        await pause(0.03)
        assert await cell.status(job) == "completed"
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_weak_instance_that_was_cut_off_from_the_store_does_not_take_the_lead():
    """Weak instances must not take the lead after an outage of their store access.

    The store refuses some instances for seconds, during which they see no other
    instance.  If they became candidates at once, the lead would move to a weak
    instance and then back to a strong one, and nothing starts in between.
    """

    async def scenario():
        strengths = {"i1": 4.0, "i3": 4.0}
        cell = ModelCell(instances=6, strengths=strengths)
        await cell.begin()
        await cell.until(lambda: any(cell.instances[n].leads for n in strengths), 5.0)
        await pause(3.0)
        first = cell.lead_name()
        for name in ("i0", "i2", "i4", "i5"):
            cell.store.mode[name] = "busy"
        await pause(6.0)
        cell.store.mode.clear()
        for _ in range(60):
            await pause(0.05)
            assert cell.lead_name() == first

    run_virtual(scenario())


def test_records_that_arrive_out_of_order_are_not_read_from_the_store():
    """Records that arrive out of order must not cause reads of the store.

    Many instances accept jobs at once and send the records to each other.  A gap
    is filled a moment later.  Reading the store for each gap took 2,900 calls here
    instead of 340.  Calls to the store are charged for, and would be most of the
    work of an idle instance.
    """

    async def scenario():
        cell = ModelCell(instances=8)
        cell.drop_share, cell.jitter_s = 0.0, 0.02
        await cell.begin()
        began, reads = now(), cell.store.reads
        while now() - began < 5.0:
            await asyncio.gather(
                *(cell.submit([step(1)], work_s=0.2) for _ in range(4))
            )
            await pause(0.05)
        # Each instance reads the log 5 times a second, and also the worker list and
        # the configuration.
        assert (cell.store.reads - reads) / 5.0 / 8 < 9
        await cell.all_done(20.0)

    run_virtual(scenario())


def test_lead_broadcasts_what_each_instance_accepted():
    """The number of messages must not grow with the square of the instances.

    Callers submit jobs at many instances and ask for them at any other.  If each
    instance sent its records to all others, 60 jobs at 10 instances would take 486
    messages.  Each sends them to the lead only, which broadcasts them in batches
    together with its job states, in 196 messages.
    """

    async def scenario():
        cell = ModelCell(instances=10)
        cell.drop_share = 0.0
        await cell.begin()
        pushes_before = cell.received_pushes
        jobs = []
        for _ in range(6):
            answers = await asyncio.gather(
                *(cell.submit([step(1)], work_s=0.5) for _ in range(10))
            )
            assert {status for _, status in answers} == {200}
            jobs += [job for job, _ in answers]
            await pause(0.1)
        reads = cell.store.reads
        await pause(0.05)
        known = [
            instance.instance.replica.find(job) is not None
            for job in jobs
            for instance in cell.instances.values()
        ]
        assert all(known)
        # The instances did not have to read the store for that.
        assert cell.store.reads - reads < 20
        await cell.all_done(10.0)
        assert cell.received_pushes - pushes_before < 300

    run_virtual(scenario())


def test_large_records_of_many_instances_at_once_fit_into_messages():
    """A batch of large records must not exceed the maximum message size.

    Six instances append 0.75 MB each at the same moment.  A lead that put all of it
    into one message could not send it.  Its process crashed, and then the process
    of the next lead.
    """
    size = 250_000

    async def scenario():
        cell = ModelCell(instances=7, workers=0)
        cell.drop_share = 0.0
        await cell.begin()
        lead, sent = cell.lead(), []
        lead.instance.bus.subscribe(SendToInstances, sent.append)
        others = [i for i in cell.instances.values() if i is not lead]
        keys = [f"cancel/{n:016x}" for n in range(3 * len(others))]
        asks = [
            others[n % len(others)].instance.bus.ask(
                AppendRecord(KeyedRecord(key, bytes(size)), boot_time() + 2.0)
            )
            for n, key in enumerate(keys)
        ]
        await asyncio.gather(*asks)
        await pause(0.2)
        pushes = [e.body for e in sent if isinstance(e.body, RecordsPush)]
        assert all(len(pack_frame(push)) < MAX_FRAME_BYTES for push in pushes)
        rows = [r for push in pushes for b in push.batches for r in b.records]
        assert {row.key for row in rows} >= set(keys)

    run_virtual(scenario())


def test_two_instances_that_both_act_as_lead_do_not_echo_each_other():
    """Relayed records must not circulate between two instances forever.

    A lead was partitioned, does not know yet that it was superseded, and receives
    messages of its successor again.  Each relays what the other relays, so that
    every new record would add messages that never end.
    """

    async def scenario():
        cell = ModelCell(instances=2)
        cell.drop_share = 0.0
        await cell.begin()
        for found in cell.instances.values():
            replica, mine = found.instance.replica, found.instance.incarnation
            replica.lead = attrs.evolve(replica.lead, incarnation=mine)
        _, status = await cell.submit([step(1)], work_s=0.1)
        assert status == 200
        await pause(3.0)
        pushes_before = cell.received_pushes
        await pause(3.0)
        assert cell.received_pushes - pushes_before < 10

    run_virtual(scenario())


def test_job_is_found_by_an_instance_whose_log_position_has_expired():
    """An instance must not deny a job because its position in the log has expired.

    The instance was partitioned from its peers, and the log's history expires.
    Asked for an unknown job, it reads on from a position that no longer exists.  A
    user who is told "no such job" submits the work again or gives it up, although
    the job was accepted and runs.
    """

    async def scenario():
        cell = ModelCell(instances=3)
        await cell.begin()
        lagging = next(n for n in cell.instances if n != cell.lead_name())
        cell.cut_links += [
            {lagging, other} for other in cell.instances if other != lagging
        ]
        # It is asked at various moments between two of its own reads.
        for wait_s in (0.0, 0.1, 0.2, 0.3, 0.4):
            job, status = await cell.submit([step(1)], work_s=0.3)
            assert status == 200
            cell.store.expire_history()
            await pause(wait_s)
            req = ModelRequest("GET", f"/plan/{job}")
            status, _ = await cell.instances[lagging].call(req)
            assert status == 200

    run_virtual(scenario())


def test_instance_with_a_stale_replica_reports_the_leads_count_of_waiting_jobs():
    """The count of waiting jobs must not come from a stale replica.

    An instance on a slow link receives neither pushed records nor pages for
    seconds.  It would report that nothing waits while a hundred jobs do, and
    operators who scale workers by that figure would add none.
    """

    async def scenario():
        cell = ModelCell(workers=1)
        await cell.begin()
        lagging = next(n for n in cell.instances if n != cell.lead_name())
        found = cell.instances[lagging]
        cell.store.mode[lagging] = "silent"
        cell.disable_pushes(lagging)
        jobs = [await cell.submit([step(8)], work_s=30.0) for _ in range(10)]
        assert {status for _, status in jobs} == {200}
        await pause(4.0)
        status, body = await found.call(ModelRequest("GET", "/plan/"))
        assert (status, body["pending"]) == (200, 9)
        cell.cut_links += [
            {lagging, other} for other in cell.instances if other != lagging
        ]
        await pause(0.5)
        status, _ = await found.call(ModelRequest("GET", "/plan/"))
        assert status == 503

    run_virtual(scenario())


@pytest.mark.parametrize("seed", range(10))
def test_no_two_instances_lead_under_one_epoch(seed):
    """Concurrent candidates must never get the same epoch.

    Several candidates campaign at once and receive nothing from each other, as in a
    network partition.  The store and the workers distinguish leads by their epoch
    only.  Two leads with one epoch would both start every task and charge users
    twice.
    """

    async def scenario():
        cell = ModelCell(instances=5, seed=seed)
        await cell.begin()
        others = [i.lead for n, i in cell.instances.items() if n != cell.lead_name()]
        cell.drop_share = 1.0
        await asyncio.gather(*(lead._campaign(offered=True) for lead in others))
        leads = [i.lead for i in cell.instances.values()]
        epochs = [lead.term.fence for lead in leads if lead.term is not None]
        assert len(set(epochs)) == len(epochs)
        await pause(1.0)
        await cell.until(lambda: cell.lead() is not None, 3.0)

    run_virtual(scenario())
