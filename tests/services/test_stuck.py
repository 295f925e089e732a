"""Accepted work that could run must not wait."""

import asyncio

import attrs
import pytest

from firhook._peer_messages import PushedBatch, PushedRecord, RecordsPush
from firhook.cell import AcceptedJob, OrderOutcome
from firhook.cell._records import StateSummary
from firhook.cell.records import decode_record, digest_job, encode_record
from firhook.errors import RecordMalformedError
from firhook.platform.store import CELL_TOPIC, KeyedRecord, encode_keyed_record
from firhook.services._events import HoldFullReplica
from firhook.services._follower import Follower
from firhook.services._term import Term
from standins.model import ModelCell, pause, run_virtual
from tests.services.scenarios import run_scenario, step


async def restart_everything(cell):
    """Restart all instances and workers at once."""
    names = list(cell.instances)
    for name in names:
        cell.kill(name)
    for worker in cell.workers.values():
        worker.restart()
        cell.register(worker.name)
    await pause(1.0)
    for name in names:
        await cell.restart(name)


def test_gang_accepted_before_most_workers_answered_a_new_lead_starts():
    """A gang must start once the workers are reachable, whatever was asked before.

    At first only one worker answers, and the adviser is asked about that one, which
    cannot hold the gang.
    """

    async def scenario():
        cell = ModelCell(workers=10, advised=True)
        await cell.begin()
        await restart_everything(cell)
        job_id = cell.new_job_id()
        gang = f"{job_id}.0.0"
        reachable = next(w for w in cell.workers if cell.adviser.may_run(gang, w))
        others = [w for name, w in cell.workers.items() if name != reachable]
        for worker in others:
            worker.mode = "cut"
        await cell.submit([step(6, 4000, all_or_nothing=True)], job_id=job_id)
        await cell.until(lambda: cell.adviser.calls > 0, 10.0)
        for worker in others:
            worker.mode = "up"
        await cell.all_done(20.0)
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_workers_that_left_for_good_do_not_keep_a_gang_off_the_others():
    """Their unanswered polls made the lead suspect all workers of the zone."""

    async def scenario():
        cell = ModelCell(workers=30)
        await cell.begin()
        for number in range(30):
            # Their ends are spread, and so are the polls of idle workers from then on.
            await cell.submit([step(1, 6000)], work_s=2 + number / 30)
        await cell.all_done(30.0)
        gone = list(cell.workers)[::3]
        for name in gone:
            cell.workers[name].mode = "cut"
            cell.unregister(name)
        await pause(10.0)
        await cell.submit([step(20, 6000, all_or_nothing=True)])
        others = [worker for name, worker in cell.workers.items() if name not in gone]
        await cell.until(lambda: all(worker.runs for worker in others), 3.0)

    run_virtual(scenario())


@pytest.mark.parametrize("outcome", [OrderOutcome.BUSY, OrderOutcome.NO_CAPACITY])
def test_worker_that_refuses_all_starts_does_not_keep_work_off_the_others(outcome):
    """It answers polls, looks idle and would be chosen again each time."""

    async def scenario(spec):
        cell = ModelCell(workers=20)
        await cell.begin()
        busy = cell.workers["w0"]
        busy.start = lambda order: busy._answer(outcome)
        await cell.submit([spec], work_s=5.0)
        workers = cell.workers.values()
        begun = spec["count"]
        await cell.until(lambda: sum(len(w.runs) for w in workers) == begun, 3.0)
        await cell.all_done(20.0)
        assert cell.checks.violations == []

    run_virtual(scenario(step(1, 3000)))
    run_virtual(scenario(step(12, 6000, all_or_nothing=True)))


def test_worker_that_answers_polls_but_no_start_does_not_keep_work_off_the_others():
    """Its answers to polls and stops made it look sound each time."""

    async def scenario(spec):
        cell = ModelCell(workers=20)
        await cell.begin()
        cell.workers["w0"].loses_starts = True
        await cell.submit([spec], work_s=1.0)
        await cell.all_done(10.0)
        assert cell.checks.violations == []

    run_virtual(scenario(step(1, 3000)))
    run_virtual(scenario(step(12, 6000, all_or_nothing=True)))


def test_workers_whose_gang_waits_for_a_member_that_did_not_start_get_other_work():
    """Their runs, which cannot progress without it, counted as stalled."""

    async def scenario():
        cell = ModelCell(workers=20)
        await cell.begin()
        cell.workers["w0"].loses_starts = True
        await cell.submit([step(12, 6000, all_or_nothing=True)], work_s=1.0)
        others = [worker for worker in cell.workers.values() if worker.name != "w0"]
        await cell.until(lambda: sum(bool(w.runs) for w in others) == 11, 1.0)
        await cell.until(lambda: not any(w.runs for w in others), 5.0)
        cell.workers["w0"].loses_starts = False
        begun = sum(worker.started_runs for worker in others)
        await cell.submit([step(19, 6000)], work_s=1.0)
        await cell.until(
            lambda: sum(worker.started_runs for worker in others) >= begun + 19, 0.5
        )
        await cell.all_done(20.0)
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_most_workers_are_used_again_at_once_after_all_refused_starts():
    """All of them got no work because a whole service answered 503 for a moment."""

    async def scenario():
        cell = ModelCell(workers=20)
        await cell.begin()
        workers = cell.workers.values()
        for worker in workers:
            worker.refuses = True
        await cell.submit([step(60, 2000)], work_s=3.0)
        await pause(0.5)
        for worker in workers:
            worker.refuses = False
        await cell.until(lambda: sum(bool(w.runs) for w in workers) >= 10, 0.5)
        await cell.all_done(20.0)
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_lead_logs_once_a_second_why_the_oldest_steps_wait(caplog):
    """The log must show why steps wait that no worker has the capacity for."""

    async def scenario():
        cell = ModelCell(workers=2)
        await cell.begin()
        for _ in range(8):
            await cell.submit([{"count": 1, "millicpus": 9000, "task_memory_mb": 1}])
        await pause(10.0)

    with caplog.at_level("INFO", logger="firhook.events"):
        run_virtual(scenario())
    logged = [r for r in caplog.records if r.message == "steps.waiting"]
    assert 6 <= len(logged) <= 8
    for line in logged:
        assert [row["why"] for row in line.steps] == ["no_room"] * 5


def test_gang_ends_that_follow_the_end_of_their_job_are_logged(caplog):
    """Ends of gang members that are reported after their job ended must be logged.

    One member's end ends the whole gang.  The others report theirs a moment later.
    """

    async def scenario():
        cell = ModelCell(workers=6)
        await cell.begin()
        job_id, _ = await cell.submit([step(6, 8000, all_or_nothing=True)])
        await cell.until(lambda: all(w.runs for w in cell.workers.values()), 3.0)
        cell.workers["w0"].mode = "mute"
        await cell.all_done(10.0)
        cell.workers["w0"].mode = "up"
        await pause(3.0)
        return job_id

    with caplog.at_level("INFO", logger="firhook.events"):
        job_id = run_virtual(scenario())
    logged = [r for r in caplog.records if r.message in ("run.ended", "job.ended")]
    assert [r.message for r in logged] == ["run.ended"] * 5 + ["job.ended", "run.ended"]
    assert logged[-1].task.startswith(job_id)
    assert logged[-1].gang


def test_worker_is_polled_again_after_a_failure_while_it_was_unreachable(
    caplog, monkeypatch
):
    """A failure while handling an unreachable worker must not end its link.

    It ended the link without a log line.  The worker was never polled again, and a
    task on it neither ended nor ran elsewhere.
    """
    failures = [RuntimeError("once")]
    on_unreachable = Term.on_unreachable

    def fail_once(self, link):
        if failures:
            raise failures.pop()
        on_unreachable(self, link)

    monkeypatch.setattr(Term, "on_unreachable", fail_once)

    async def scenario():
        cell = ModelCell(instances=1, workers=1)
        await cell.begin()
        await cell.submit([{"count": 1, "millicpus": 1000}], work_s=2.0)
        await cell.until(lambda: cell.checks.last_start, 1.0)
        cell.workers["w0"].mode = "cut"
        await pause(1.5)
        cell.workers["w0"].mode = "up"
        await cell.all_done(20.0)
        assert cell.checks.violations == []

    run_virtual(scenario())
    [failed] = [r for r in caplog.records if r.message == "link.failed"]
    assert "once" in failed.error


async def new_submission(cell):
    """Return a job as an instance accepts it, which the cell does not know yet."""
    first, _ = await cell.submit([step(2)], work_s=0.2)
    replica = cell.lead().instance.replica
    await cell.until(lambda: replica.find(first), 1.0)
    accepted = replica.jobs[first].accepted
    await cell.all_done(5.0)
    job = attrs.evolve(accepted, id=cell.new_job_id())
    cell.plans[f"{job.id}.0.0"] = cell.plans[f"{first}.0.0"]
    cell.accepted[job.id] = "/plan/"
    return job


def test_job_that_the_lead_could_not_take_over_runs_once_its_record_is_whole():
    async def scenario(cell):
        job = await new_submission(cell)
        full = encode_record(job)
        for value in (digest_job(full), full):
            record = KeyedRecord("job/" + job.id, value)
            cell.store.partition(CELL_TOPIC, 1).add([encode_keyed_record(record)])
            await pause(3.0)
        await cell.all_done(5.0)

    run_scenario(scenario)


def test_lead_reads_the_record_of_a_job_that_it_could_not_take_over_again():
    """The record in the store is whole, and the lead counts it as applied."""

    async def scenario(cell):
        job = await new_submission(cell)
        key, full = "job/" + job.id, encode_record(job)
        part = cell.store.partition(CELL_TOPIC, 1)
        batch = PushedBatch(1, part.end, (PushedRecord(key, digest_job(full)),))
        part.add([encode_keyed_record(KeyedRecord(key, full))])
        handlers = cell.lead().instance.services["mesh"].handlers
        handlers[RecordsPush](RecordsPush((batch,)))
        await cell.all_done(5.0)

    run_scenario(scenario)


def test_lead_that_reads_all_records_again_does_not_stop_other_work(monkeypatch):
    """A job that stays malformed would stop the lead for seconds each time."""
    applied = [0]
    apply = Follower._apply

    def count_and_apply(self, *args):
        if not applied[-1]:
            asyncio.get_running_loop().call_soon(applied.append, 0)
        applied[-1] += 1
        apply(self, *args)

    async def scenario(cell):
        partition = cell.store.partition(CELL_TOPIC, 0)
        records = [KeyedRecord(f"cancel/{i:016x}", b"1") for i in range(3000)]
        partition.add([encode_keyed_record(record) for record in records])
        await pause(1.0)
        monkeypatch.setattr(Follower, "_apply", count_and_apply)
        await cell.lead().instance.bus.ask(HoldFullReplica(reload=True))
        assert sum(applied) >= 3000
        assert max(applied) <= 1000

    run_scenario(scenario)


def test_lead_does_not_store_the_digest_of_a_contested_job():
    """It would replace the full submission for all later leads."""

    async def scenario(cell):
        job = await new_submission(cell)
        key, later = "job/" + job.id, attrs.evolve(job, team="b", accepted_at=2e9)
        part = cell.store.partition(CELL_TOPIC, 1)
        batch = PushedBatch(
            1, part.end, (PushedRecord(key, digest_job(encode_record(job))),)
        )
        handlers = cell.lead().instance.services["mesh"].handlers
        handlers[RecordsPush](RecordsPush((batch,)))
        for submission in (job, later):
            record = KeyedRecord(key, encode_record(submission))
            part.add([encode_keyed_record(record)])
        await pause(5.0)
        for number in range(4):
            newest = cell.store.partition(CELL_TOPIC, number).newest
            if key in newest:
                stored = decode_record(AcceptedJob, newest[key][1])
                assert not stored.is_digest

    run_scenario(scenario)


def test_tasks_of_a_job_that_the_lead_could_not_take_over_run_once(monkeypatch):
    """Runs were stopped as unknown, and ends acknowledged that no lead had stored."""
    malformed = []
    decode = StateSummary.decode

    def decode_or_fail(self):
        if malformed:
            raise RecordMalformedError("JobState")
        return decode(self)

    monkeypatch.setattr(StateSummary, "decode", decode_or_fail)

    async def scenario(cell):
        await cell.submit([step(2)], work_s=2.0)
        await cell.submit([step(2)], work_s=8.0)
        await cell.until(lambda: len(cell.checks.last_start) == 4, 3.0)
        starts = dict(cell.checks.last_start)
        malformed.append(True)
        cell.kill(cell.lead_name())
        await pause(4.0)
        malformed.clear()
        await cell.all_done(15.0)
        assert cell.checks.last_start == starts

    run_scenario(scenario)


def test_ends_that_a_worker_cannot_list_beside_a_held_one_are_not_run_again(
    monkeypatch,
):
    """The end of a skipped job held back the acknowledgement of all later ends."""
    malformed = []
    decode = StateSummary.decode

    def decode_or_fail(self):
        if malformed:
            raise RecordMalformedError("JobState")
        return decode(self)

    monkeypatch.setattr(StateSummary, "decode", decode_or_fail)

    async def scenario(cell):
        await cell.submit([step(1)], work_s=2.0)
        await cell.until(lambda: len(cell.checks.last_start) == 1, 3.0)
        malformed.append(True)
        cell.kill(cell.lead_name())
        await pause(4.0)
        others = [await cell.submit([step(50, 10)], work_s=0.5) for _ in range(20)]
        await cell.until(lambda: all(cell.ended(job) for job, _ in others), 20.0)
        malformed.clear()
        await cell.all_done(40.0)
        assert cell.workers["w0"].started_runs == 1 + 20 * 50

    run_scenario(scenario, workers=1)


def test_malformed_state_of_one_job_does_not_stop_the_others():
    """A state with a run on no listed worker ended the term of every lead."""

    async def scenario(cell):
        broken, _ = await cell.submit([step(2)], work_s=6.0)
        await cell.submit([step(2)], work_s=2.0)
        await pause(1.0)
        state = cell.lead().instance.replica.jobs[broken].state.decode()
        state = attrs.evolve(state, workers=(), version=state.version + 1000)
        record = KeyedRecord("state/" + broken, encode_record(state))
        cell.store.partition(CELL_TOPIC, 0).add([encode_keyed_record(record)])
        await pause(0.5)
        cell.kill(cell.lead_name())
        del cell.accepted[broken]
        await cell.all_done(20.0)

    run_scenario(scenario)
