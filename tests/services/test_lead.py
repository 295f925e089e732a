"""The lead over the model of the platform: takeovers, lapses, unanswered orders."""

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


def test_job_runs_to_its_end_and_every_instance_says_so():
    async def scenario():
        cell = ModelCell()
        await cell.begin()
        job, status = await cell.submit([step(3), step(2, after=[0])])
        assert status == 200
        await cell.all_done(10.0)
        # The others learn from the lead, which gathers for 15 ms.
        await pause(0.03)
        states = {await cell.status(job, i) for i in cell.instances.values()}
        assert states == {"completed"}
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_lead_decides_by_what_its_class_says():
    """Decisions are compared by cells whose leads differ in nothing else."""

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
    """A worker dies for good, its entry lapses, and then the lead dies too.

    The new lead never hears of the worker other than from what was stored.  A
    user would see a job that is "running" for ever while the cell stands idle.
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
        # The others learn from the lead, which gathers for 15 ms.
        await pause(0.03)
        assert await cell.status(job) == "completed"
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_jobs_that_ended_long_ago_are_forgotten_and_their_records_dropped():
    async def scenario():
        cell = ModelCell(bounds=Bounds(status_s=2.0))
        await cell.begin()
        job, _ = await cell.submit([step(1)], work_s=0.2)
        await cell.all_done(5.0)
        # The others learn from the lead, which gathers for 15 ms.
        await pause(0.03)
        assert await cell.status(job) == "completed"
        await pause(15.0)
        assert await cell.status(job) == "410"
        kept = [k for p in cell.store.partitions.values() for k in p.newest]
        assert not any(job in key for key in kept)

    run_virtual(scenario())


def test_a_late_repeat_of_a_submission_starts_nothing_anew():
    """The first answer to a submission is late, and the caller sends it again.

    The repeat reaches another instance after the job has ended; a user must not
    be charged twice.
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


def test_a_silent_store_refuses_new_jobs_truly_and_at_once():
    """The store is away without a word for some seconds.

    A caller that gets neither a yes nor a no does not dare to submit again; told
    that nothing was recorded, and when to come back, it does.
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


def test_an_instance_that_cannot_read_the_keys_answers_for_none_of_them():
    """An instance is cut off from the store and from the others; a key is
    withdrawn meanwhile.
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
def test_instance_that_the_store_turns_away_serves_callers_through_the_lead(mode):
    """The store serves all instances but one, which is not the lead.

    Its callers would wait for a second and then be refused, for as long as the
    platform goes on sending them there.
    """

    async def scenario():
        cell = ModelCell()
        await cell.begin()
        away = next(n for n in cell.instances if n != cell.lead_name())
        found = cell.instances[away]
        cell.store.mode[away] = mode
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
        asked = ModelRequest("GET", "/plan/00000000000000ff")
        assert (await found.call(asked))[0] == 401
        asked = ModelRequest("GET", "/plan/00000000000000ff", key="another")
        assert (await found.call(asked))[0] == 200
        cell.store.mode.clear()
        await pause(1.0)
        assert await found.instance.services["callers"].ready()

    run_virtual(scenario())


def test_instance_in_a_zone_that_is_cut_off_refuses_at_once_and_says_it_did_not_run():
    """A zone loses its way to the store and to all instances elsewhere.

    Callers that are held until a time-out have no time left to go elsewhere.
    """

    async def scenario():
        cell = ModelCell(instances=4)
        await cell.begin()
        away = next(n for n in cell.instances if n != cell.lead_name())
        found = cell.instances[away]
        cell.store.mode[away] = "silent"
        cell.cut_links += [{away, other} for other in cell.instances if other != away]
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


def test_a_successor_gives_its_first_order_soon_after_the_lead_falls_silent():
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


def test_tasks_start_and_end_while_one_of_the_leads_partitions_is_away():
    """The store loses some of its partitions for some seconds.

    Jobs are still accepted; with the lead's records on a lost partition alone, a
    user would see none of them begin until it is back.
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


def test_jobs_are_accepted_while_one_of_the_callers_partitions_is_away():
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


def test_the_lead_stays_while_no_message_between_instances_arrives():
    """All connections between the instances hang, and the cell is idle.

    None of them hears the lead.  Were another to stand for that, the lead would go
    round for as long as the connections hang, and a user would wait for each turn;
    what the lead appends says that it lives.
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
    """Watch the lead; return the longest time without one."""

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
def test_silent_lead_is_replaced_within_600_ms_and_nobody_moves_the_lead_again(seed):
    """The lead's machine loses power, and it comes back seconds later.

    Until there is another lead nothing starts, so that every quote of that time is
    late; a lead that moved back to the first would cost as much once more.
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
    """Like the watch above, from a moment without a lead."""
    began = now()
    await cell.until(lambda: cell.lead() is not None, 5.0)
    gap = now() - began
    changes.append(cell.lead_name())
    return max(gap, await longest_gap(cell, changes, seconds))


@pytest.mark.parametrize("seed", range(10))
def test_restart_of_every_instance_in_turn_leaves_no_time_without_a_lead(seed):
    """Operators stop and start all instances, one after the other.

    A lead that is told to stop hands over first; callers should notice nothing.
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
def test_lead_that_the_store_turns_away_hands_over_to_one_that_reaches_it(mode):
    """The store serves all instances but the one that leads.

    That one still reaches its peers, so that nobody needs to wait for its silence.
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


def test_lead_stays_while_the_store_is_away_for_all():
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


def test_strong_instance_leads_and_a_weak_one_only_while_there_is_none():
    """Instances differ fourfold in processor, and the strong ones are lost.

    A weak lead falls behind and its rounds come later and later: a user would
    see nothing of a busy cell started for a minute.  With all strong ones gone a
    weak lead is better than none, until one of them is back.
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
        # The others learn from the lead, which gathers for 15 ms.
        await pause(0.03)
        assert await cell.status(job) == "completed"
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_weak_instance_that_was_cut_off_from_the_store_does_not_take_the_lead():
    """The store turns some instances away for seconds, and then serves them.

    They saw no other member meanwhile.  Were they to join at once, the lead
    would move to a weak one and on to a strong one; nothing is started in between.
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


def test_records_that_overtake_each_other_between_instances_are_not_read_again():
    """Many instances accept jobs at once and tell each other of them.

    What arrives out of order is complete a moment later.  Reading the store
    for each of these would be most of the calls to it, which are paid for, and
    most of what an idle instance does: 2,900 calls here, now 340.
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
        # Each instance reads 5 times a second, the list of workers and the
        # configuration beside.
        assert (cell.store.reads - reads) / 5.0 / 8 < 9
        await cell.all_done(20.0)

    run_virtual(scenario())


def test_lead_tells_all_what_each_instance_accepted():
    """Callers hand in jobs at many instances, and ask for them at any other.

    Told to all by each instance, the messages grow with the square of their
    number: 486 here, with 60 jobs and 10 instances.  Each tells the lead alone,
    and the lead tells all what it gathers, together with its states: 196.
    """

    async def scenario():
        cell = ModelCell(instances=10)
        cell.drop_share = 0.0
        await cell.begin()
        told = cell.received_pushes
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
        # None of them had to read the store for that.
        assert cell.store.reads - reads < 20
        await cell.all_done(10.0)
        assert cell.received_pushes - told < 300

    run_virtual(scenario())


def test_large_records_of_many_instances_at_once_fit_into_messages():
    """Six instances append 0.75 MB each for their callers in the same moment.

    The lead gathered all of it in one message, which was too long to be sent; its
    process ended, and after it that of the next lead.
    """
    size = 250_000

    async def scenario():
        cell = ModelCell(instances=7, workers=0)
        cell.drop_share = 0.0
        await cell.begin()
        lead, told = cell.lead(), []
        lead.instance.bus.subscribe(SendToInstances, told.append)
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
        pushes = [e.body for e in told if isinstance(e.body, RecordsPush)]
        assert all(len(pack_frame(push)) < MAX_FRAME_BYTES for push in pushes)
        rows = [r for push in pushes for b in push.batches for r in b.records]
        assert {row.key for row in rows} >= set(keys)

    run_virtual(scenario())


def test_two_instances_that_take_themselves_for_the_lead_do_not_echo_each_other():
    """A lead was cut off, does not know yet that it was replaced, and hears its
    successor again.

    Each hands on to all what the other hands on.  Without an end to that, every
    record would go back and forth for ever, and more with each that comes.
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
        told = cell.received_pushes
        await pause(3.0)
        assert cell.received_pushes - told < 10

    run_virtual(scenario())


def test_job_is_found_by_an_instance_whose_place_in_the_log_has_expired():
    """An instance was cut off from its peers and the log's history expires.

    Asked for a job that it does not know yet, it reads on from a place that is
    gone.  A user who is told "no such job" then submits the work again elsewhere
    or gives it up, though it is accepted and runs.
    """

    async def scenario():
        cell = ModelCell(instances=3)
        await cell.begin()
        behind = next(n for n in cell.instances if n != cell.lead_name())
        cell.cut_links += [
            {behind, other} for other in cell.instances if other != behind
        ]
        # It is asked at all moments between two readings of its own.
        for wait_s in (0.0, 0.1, 0.2, 0.3, 0.4):
            job, status = await cell.submit([step(1)], work_s=0.3)
            assert status == 200
            cell.store.expire_history()
            await pause(wait_s)
            asked = ModelRequest("GET", f"/plan/{job}")
            status, _ = await cell.instances[behind].call(asked)
            assert status == 200

    run_virtual(scenario())


def test_instance_whose_replica_lags_says_what_the_lead_knows_of_waiting_jobs():
    """An instance on a thin link gets neither pushes nor pages for seconds.

    It would say that nothing waits, while a hundred jobs do; operators who add
    workers by that figure add none.
    """

    async def scenario():
        cell = ModelCell(workers=1)
        await cell.begin()
        behind = next(n for n in cell.instances if n != cell.lead_name())
        found = cell.instances[behind]
        cell.store.mode[behind] = "silent"
        cell.disable_pushes(behind)
        jobs = [await cell.submit([step(8)], work_s=30.0) for _ in range(10)]
        assert {status for _, status in jobs} == {200}
        await pause(4.0)
        status, body = await found.call(ModelRequest("GET", "/plan/"))
        assert (status, body["pending"]) == (200, 9)
        cell.cut_links += [
            {behind, other} for other in cell.instances if other != behind
        ]
        await pause(0.5)
        status, _ = await found.call(ModelRequest("GET", "/plan/"))
        assert status == 503

    run_virtual(scenario())


@pytest.mark.parametrize("seed", range(10))
def test_no_two_instances_lead_under_one_epoch(seed):
    """Several instances stand at once and do not hear each other, as in a cut.

    The store and the workers tell two leads apart by their epoch alone.  Under one
    epoch both start every task, and a user is charged twice.
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
