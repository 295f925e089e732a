"""The lead's in-memory state of the cell's jobs, steps, tasks and runs.

An instance that becomes lead rebuilds the table from the stored records.  Each
change is stored before it has an external effect: an assignment before the start
order is sent, and the end of a run before it is acknowledged to the worker, which
then deletes it.  The change of a job's status to running affects only the answers
to callers, so it may be stored a little later, together with other changes.
"""

import math
from collections.abc import Iterable

from firhook.cell._config import CellConfig
from firhook.cell._job import Job, Run, Step, Task
from firhook.cell._job_limits import (
    MAX_TASK_RUNS,
    JobLimits,
    JobSize,
    active_memory_bytes,
    max_open_occurrences,
    repeat_memory_bytes,
)
from firhook.cell._records import AcceptedJob, JobState, JobStatus, StepState
from firhook.cell._resources import NO_RESOURCES, Resources
from firhook.cell._workers import EndedRow, PollReply, RunEnd

#: Longest time that a job's change to running waits to be stored with other
#: changes, which saves an append for each start.  The count of waiting jobs that
#: callers get may be 2 s old.
BEGUN_STORE_DELAY_S = 0.25


class JobTable:
    """The jobs that have not ended or still have runs, with their tasks and runs.

    :param limits: limits on what the jobs take together.
    :ivar jobs: jobs by id.
    :ivar open_steps: ready steps that have idle tasks, by name.
    :ivar worker_runs: runs by worker and by :attr:`Run.key`.
    :ivar worker_usage: resources that the runs reserve on each worker.
    :ivar team_usage: resources that the runs of each team need.
    :ivar planned: runs assigned since the last :meth:`take_planned`.
    :ivar to_stop: runs to stop, added since the last :meth:`take_to_stop`.
    :ivar ended_runs: reported ends, which the lead's term logs and clears.
    :ivar voided: runs that were voided, each with the reason; the lead's term logs
        and clears them.
    :ivar jobs_size: what the jobs take at most, apart from the next two.
    :ivar active_bytes: memory that their active tasks take at most.
    :ivar repeat_bytes: memory that their open occurrences beyond the first take.
    """

    def __init__(self, config: CellConfig, limits: JobLimits | None = None) -> None:
        self.config = config
        self.limits = limits or JobLimits()
        self.jobs: dict[str, Job] = {}
        self.open_steps: dict[str, Step] = {}
        self.worker_runs: dict[str, dict[tuple[str, int], Run]] = {}
        self.worker_usage: dict[str, Resources] = {}
        self.team_usage: dict[str, Resources] = {}
        self.planned: list[Run] = []
        self.to_stop: list[Run] = []
        self.ended_runs: list[tuple[Run, RunEnd]] = []
        self.voided: list[tuple[Run, str]] = []
        self._dirty: dict[str, Job] = {}
        # Times, by job id, of the changes to running that are not stored yet, the
        # oldest first.
        self._unstored_begins: dict[str, float] = {}
        self._periodic_jobs: dict[str, Job] = {}
        self.jobs_size = JobSize()
        self.active_bytes = 0
        self.repeat_bytes = 0

    # Jobs.

    def has_room(self, accepted: AcceptedJob) -> bool:
        """Return whether to add a job of which no task was started.

        A job that is larger than the limit is added if there is no other one.
        """
        together = self.jobs_size + accepted.size
        return not self.jobs or together.fits_in(self.limits.jobs)

    def set_config(self, config: CellConfig) -> None:
        """Apply another version of the configuration."""
        self.config = config
        for job in self.jobs.values():
            job.queue = config.by_address.get(job.queue.address, job.queue)

    def add(
        self,
        accepted: AcceptedJob,
        state: JobState | None,
        now: float,
        unix_now: float,
    ) -> Job | None:
        """Add a job that was accepted, or restore it from its stored state.

        :param state: the stored state; ``None`` if there is none.
        :param now: on the boot clock.
        :param unix_now: seconds since 1970.
        :return: ``None`` if the job is in the table already.
        """
        if accepted.id in self.jobs:
            return None
        queue = self.config.by_address.get(accepted.queue.address, accepted.queue)
        # The wall clock may have jumped since the job was accepted, or differ from
        # that of the accepting instance, so its age is bounded.
        age_s = min(max(unix_now - accepted.accepted_at, 0.0), 60.0)
        job = Job(accepted, queue, now - age_s, self.limits)
        job.critical_path_s = max(job.critical_paths_s(), default=0.0)
        self.jobs[job.id] = job
        self.jobs_size += accepted.size
        if state is not None:
            self._restore(job, state, now, unix_now)
        if job.status.ended:
            self._delete_if_finished(job)
            return job
        if accepted.spec.periodic:
            self._periodic_jobs[job.id] = job
            self._add_due(job, now, unix_now)
        elif not job.next_occurrence:
            self._release(job, now, unix_now)
        for step in job.steps.values():
            self._update_step(step, now)
        return job

    def tick(self, now: float, unix_now: float) -> None:
        """Release the occurrences that are due."""
        for job in list(self._periodic_jobs.values()):
            self._add_due(job, now, unix_now)

    def next_due(self) -> float | None:
        """Return when the next occurrence is due, in seconds since 1970."""
        return min(
            (
                job.accepted.spec.due(job.next_occurrence)
                for job in self._periodic_jobs.values()
            ),
            default=None,
        )

    def _add_due(self, job: Job, now: float, unix_now: float) -> None:
        """Release the occurrences that are due, as many as may be open at once.

        The others stay due.  A caller may ask for any number of repetitions since
        1970, which would fill the memory of each lead and the job's state.
        """
        spec = job.accepted.spec
        while job.next_occurrence < spec.occurrences:
            if spec.due(job.next_occurrence) > unix_now:
                return
            is_full = self.repeat_bytes >= self.limits.repeat_bytes
            most = 1 if is_full else max_open_occurrences(spec, job.limits)
            if len(job.open_occurrences) >= most:
                return
            self._release(job, now, unix_now)
        self._periodic_jobs.pop(job.id, None)

    def _count_repeats(self, job: Job) -> None:
        """Update the memory counted for a job's occurrences beyond the first."""
        repeats = max(len(job.open_occurrences) - 1, 0)
        taken = repeats and repeats * repeat_memory_bytes(job.accepted.spec)
        self.repeat_bytes += taken - job.repeat_bytes
        job.repeat_bytes = taken

    def _release(self, job: Job, now: float, unix_now: float) -> None:
        """Release the next occurrence of a job."""
        occurrence = job.next_occurrence
        job.next_occurrence += 1
        job.open_occurrences.add(occurrence)
        self._count_repeats(job)
        self._add_steps(job, occurrence, now, unix_now)
        for number in range(len(job.accepted.spec.steps)):
            self._update_step(job.steps[occurrence, number], now)

    def _add_steps(
        self, job: Job, occurrence: int, now: float, unix_now: float
    ) -> None:
        """Add the steps of an occurrence, which are done if it is not open."""
        spec, paths_s = job.accepted.spec, job.critical_paths_s()
        is_done = not job.status.ended and occurrence not in job.open_occurrences
        if spec.periodic:
            age_s = min(max(unix_now - spec.due(occurrence), 0.0), 60.0)
            job.due_at[occurrence] = now - age_s
        for number, step_spec in enumerate(spec.steps):
            step = Step(job, occurrence, number, step_spec, paths_s[number], is_done)
            job.steps[occurrence, number] = step

    def _restore(self, job: Job, state: JobState, now: float, unix_now: float) -> None:
        job.status = JobStatus(state.status)
        job.ended_at = state.ended_at
        stored_steps = {(s.occurrence, s.number): s for s in state.steps}
        listed = {occurrence for occurrence, _ in stored_steps}
        if state.releases is not None:
            job.next_occurrence = state.releases.next_occurrence
            job.open_occurrences = state.releases.open_occurrences()
        elif not job.status.ended:
            # Written by an earlier build, or of a job that is not periodic.  Such a
            # state lists each step that was started from the first occurrence on.
            first = state.first_occurrence or 0
            job.next_occurrence = max(listed, default=first - 1) + 1
            job.open_occurrences = set(range(first, job.next_occurrence))
        self._count_repeats(job)
        for occurrence in sorted(job.open_occurrences | listed):
            self._add_steps(job, occurrence, now, unix_now)
        for key, stored in stored_steps.items():
            step = job.steps.get(key)
            if step is not None:
                self._restore_step(step, stored, state, now)
        for occurrence in sorted(job.open_occurrences | listed):
            self._close_if_done(job, occurrence)
            self._delete_occurrence_if_finished(job, occurrence)

    def _restore_step(
        self, step: Step, stored: StepState, state: JobState, now: float
    ) -> None:
        if stored.ranges is not None:
            done = stored.ranges
            step.tasks.restore(done.done_before, done.started_before, done.done)
        for index, stored_task in stored.rows():
            if index >= step.spec.count:
                continue
            task = step.tasks[index]
            if stored_task.done and not task.done:
                step.tasks.complete(task)
            task.last_run = stored_task.last_run
            task.failures = stored_task.failures
            # The members of a large gang share the checkpoint of the first one.
            if stored_task.checkpoint:
                task.update_checkpoint(stored_task.checkpoint)
            self._update_task(task)
            for row in stored_task.runs:
                worker = state.workers[row.worker]
                run = Run(task, row.number, worker.name, worker.incarnation, now, True)
                # A worker that has seen this lead's fencing token ignores orders
                # of earlier leads, so the first poll shows whether the run exists.
                run.stored, run.absence_conclusive_after = True, -math.inf
                self._add_run(run)
                if step.job.status.ended or task.done:
                    self.stop(run, "job_ended")
        step.failed_run = stored.failed_run
        if step.spec.gang and step.remaining and step.tasks.waiting:
            # The earlier lead may have been stopping the other members.
            for run in step.runs():
                self.stop(run, "gang_broken")

    def cancel(self, job_id: str, unix_now: float) -> None:
        """Cancel a job, unless it has ended."""
        job = self.jobs.get(job_id)
        if job is not None and not job.status.ended:
            self._end_job(job, JobStatus.CANCELLED, unix_now)

    # Steps.

    def _update_step(self, step: Step, now: float) -> None:
        """Update the step's idle tasks and whether it is ready."""
        step.is_closed = not step.is_open
        step.idle.clear_copies()
        step.refresh_idle()
        if step.is_closed:
            self.open_steps.pop(step.name, None)
            return
        if step.ready_at is None and self._predecessors_done(step):
            step.ready_at = now
        if step.ready_at is not None and step.idle:
            self.open_steps[step.name] = step
        else:
            self.open_steps.pop(step.name, None)

    def _predecessors_done(self, step: Step) -> bool:
        return all(
            step.job.steps[step.occurrence, predecessor].remaining == 0
            for predecessor in step.spec.after
        )

    def allow_duplicate(self, task: Task) -> None:
        """Let a task start on another worker beside its runs, if it may run twice."""
        step = task.step
        if len(task.runs) >= MAX_TASK_RUNS:
            return
        if step.spec.duplicates and not task.done and step.is_open:
            step.idle.add_copy(task)
            if step.ready_at is not None:
                self.open_steps[step.name] = step

    def find_task(self, name: str) -> Task | None:
        """Return the task with a name; ``None`` if its step is not in the table."""
        job_id, _, rest = name.partition(".")
        job = self.jobs.get(job_id)
        numbers = rest.split(".")
        if job is None or len(numbers) != 3 or not all(n.isdecimal() for n in numbers):
            return None
        occurrence, step_number, index = map(int, numbers)
        step = job.steps.get((occurrence, step_number))
        if step is None or index >= step.spec.count:
            return None
        return step.tasks[index]

    # Runs.

    def plan(
        self, step: Step, tasks: Iterable[tuple[Task, str, int]], now: float
    ) -> list[Run]:
        """Assign tasks to workers; the members of a gang get the same run number.

        The job stays queued until :meth:`mark_begun`.

        :param tasks: each with the name and the incarnation of its worker.
        """
        chosen = list(tasks)
        shared = max(task.last_run for task, _, _ in chosen) + 1
        runs: list[Run] = []
        for idle_task, worker, incarnation in chosen:
            task = step.tasks.adopt(idle_task)
            number = shared if step.spec.gang else task.last_run + 1
            task.last_run = number
            run = Run(task, number, worker, incarnation, now)
            self._add_run(run)
            runs.append(run)
            step.idle.remove_copy(task.index)
        if not step.idle:
            self.open_steps.pop(step.name, None)
        self._dirty[step.job.id] = step.job
        self.planned += runs
        return runs

    def _update_task(self, task: Task) -> None:
        """Record that a task was started, is done, or got or lost a run."""
        grown = task.step.update_task(task)
        if grown:
            self.active_bytes += grown * active_memory_bytes(task.step.row_bytes)

    def _add_run(self, run: Run) -> None:
        run.task.runs.append(run)
        self._update_task(run.task)
        spec = run.task.step.spec
        team = run.task.step.job.team
        self.worker_runs.setdefault(run.worker, {})[run.key] = run
        used = self.worker_usage.get(run.worker, NO_RESOURCES)
        self.worker_usage[run.worker] = used.add(spec.reserved)
        self.team_usage[team] = self.team_usage.get(team, NO_RESOURCES).add(spec.need)

    def _remove_run(self, run: Run) -> None:
        run.task.runs.remove(run)
        self._update_task(run.task)
        spec = run.task.step.spec
        team = run.task.step.job.team
        del self.worker_runs[run.worker][run.key]
        self.worker_usage[run.worker] = self.worker_usage[run.worker].subtract(
            spec.reserved
        )
        self.team_usage[team] = self.team_usage[team].subtract(spec.need)

    def void(self, run: Run, reason: str, now: float) -> None:
        """Remove a run that is known neither to run nor to start later."""
        if run not in run.task.runs:
            return
        step = run.task.step
        self.voided.append((run, reason))
        self._remove_run(run)
        if step.spec.gang and not run.task.done:
            self.stop_gang(step, run.number)
        self._on_run_removed(step, now)

    def end(
        self, run: Run, end: RunEnd, checkpoint: str, now: float, unix: float
    ) -> None:
        """Record how a run ended and remove it.

        :param now: on the boot clock.
        :param unix: seconds since 1970.
        """
        task, step = run.task, run.task.step
        self._remove_run(run)
        self.ended_runs.append((run, end))
        if checkpoint:
            task.update_checkpoint(checkpoint)
        if step.spec.long_running:
            self._on_run_removed(step, now)
            return
        if end is RunEnd.DONE:
            self._complete_task(task, run.number, unix)
        elif end is RunEnd.FAILED:
            self._record_failure(run, unix)
        if step.spec.gang and not task.done:
            self.stop_gang(step, run.number)
        self._on_run_removed(step, now)

    def _on_run_removed(self, step: Step, now: float) -> None:
        self._dirty[step.job.id] = step.job
        self._update_step(step, now)
        if step.remaining == 0:
            self._update_successors(step, now)
        self._delete_occurrence_if_finished(step.job, step.occurrence)
        self._delete_if_finished(step.job)

    def _update_successors(self, step: Step, now: float) -> None:
        specs = step.job.accepted.spec.steps
        for number in range(step.number + 1, len(specs)):
            later = step.job.steps.get((step.occurrence, number))
            if later is not None and step.number in later.spec.after:
                self._update_step(later, now)

    def _complete_task(self, task: Task, number: int, unix_now: float) -> None:
        """Complete a task, or a gang, after one of its runs has ended as done.

        :param number: the number of that run.
        """
        step = task.step
        # A gang is done as soon as one member reports that it is.
        for member in step.tasks if step.spec.gang else [task]:
            if member.done:
                continue
            member.checkpoint = ""
            step.tasks.complete(member)
            self._update_task(member)
            for other in member.runs:
                if other.number != number or not step.spec.gang:
                    self.stop(other, "copy_done")
        if step.remaining == 0 and step.is_open:
            self._close_if_done(step.job, step.occurrence)
            self._complete_if_done(step.job, unix_now)

    def _complete_if_done(self, job: Job, unix_now: float) -> None:
        total = max(job.accepted.spec.occurrences, 1)
        if job.next_occurrence >= total and not job.open_occurrences:
            self._end_job(job, JobStatus.COMPLETED, unix_now)

    @staticmethod
    def _occurrence_steps(job: Job, occurrence: int) -> list[Step]:
        numbers = range(len(job.accepted.spec.steps))
        return [job.steps[occurrence, number] for number in numbers]

    def _close_if_done(self, job: Job, occurrence: int) -> None:
        """Note that an occurrence is done if all its steps are."""
        if not any(s.remaining for s in self._occurrence_steps(job, occurrence)):
            job.open_occurrences.discard(occurrence)
            self._count_repeats(job)

    def _delete_occurrence_if_finished(self, job: Job, occurrence: int) -> None:
        """Delete the steps of an occurrence that is done and has no runs.

        A job may have thousands of occurrences.
        """
        is_over = occurrence < job.next_occurrence and not (
            job.status.ended or occurrence in job.open_occurrences
        )
        if not is_over or (occurrence, 0) not in job.steps:
            return
        steps = self._occurrence_steps(job, occurrence)
        if any(any(step.runs()) for step in steps):
            return
        job.due_at.pop(occurrence, None)
        for step in steps:
            del job.steps[occurrence, step.number]

    def _record_failure(self, run: Run, unix_now: float) -> None:
        """Count a failed run of a task, or of a gang.

        Several members of one run of a gang may fail.  Their ends may be read at
        different times, and by different leads; they count once.
        """
        task, step = run.task, run.task.step
        tasks = [task]
        if step.spec.gang:
            # A gang runs again only when all members of its last run are gone, so
            # that no end of an earlier run follows one of a later run.
            if run.number <= step.failed_run:
                return
            step.failed_run, tasks = run.number, list(step.tasks)
        for member in tasks:
            member.failures += 1
        if task.failures >= step.job.queue.max_attempts and not task.done:
            self._end_job(step.job, JobStatus.FAILED, unix_now)

    def stop_gang(self, step: Step, number: int) -> None:
        """Stop the other members of a gang's run, which can no longer complete."""
        for run in step.runs():
            if run.number == number:
                self.stop(run, "gang_broken")

    def _end_job(self, job: Job, status: JobStatus, unix_now: float) -> None:
        if job.status.ended:
            return
        job.status, job.ended_at = status, unix_now
        self._dirty[job.id] = job
        self._periodic_jobs.pop(job.id, None)
        for step in job.steps.values():
            step.is_closed = True
            step.idle.clear_copies()
            step.refresh_idle()
            self.open_steps.pop(step.name, None)
        for run in list(job.runs()):
            # The members of a gang that is done end together without being stopped.
            if not run.task.done:
                self.stop(run, "job_ended")
        self._delete_if_finished(job)

    def _delete_if_finished(self, job: Job) -> None:
        if job.status.ended and not any(job.runs()):
            self._forget(job)

    def set_aside(self, job_id: str) -> None:
        """Remove a job and its runs, which go on at their workers, from the table.

        What was not stored of it is not known to the table any more.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return
        for run in list(job.runs()):
            self._remove_run(run)
        for step in job.steps.values():
            self.open_steps.pop(step.name, None)
        self._dirty.pop(job_id, None)
        self._unstored_begins.pop(job_id, None)
        self.planned = [r for r in self.planned if r.task.step.job is not job]
        self.to_stop = [r for r in self.to_stop if r.task.step.job is not job]
        self._forget(job)

    def _forget(self, job: Job) -> None:
        """Remove a job, and what it counts, from the table."""
        self._periodic_jobs.pop(job.id, None)
        if self.jobs.pop(job.id, None) is None:
            return
        self.jobs_size -= job.accepted.size
        self.repeat_bytes -= job.repeat_bytes
        for step in job.steps.values():
            active = len(step.tasks.active)
            self.active_bytes -= active * active_memory_bytes(step.row_bytes)

    def stop(self, run: Run, reason: str) -> None:
        """Schedule a run to be stopped, unless it already is."""
        if run.stop_reason:
            return
        run.stop_reason = reason
        self.to_stop.append(run)

    # Reports of workers.

    def mark_begun(self, job: Job, now: float) -> None:
        """Record that a worker began a task of a job.

        The status never returns to queued.
        """
        if job.status == JobStatus.QUEUED:
            job.status = JobStatus.RUNNING
            self._unstored_begins[job.id] = now

    def apply_poll_reply(
        self, worker: str, reply: PollReply, sent_at: float, now: float, unix_now: float
    ) -> list[tuple[str, int]]:
        """Apply a worker's reply to a poll.

        :param sent_at: when the poll was sent, on the boot clock.
        :return: keys of the orphaned runs that the worker lists as running.
        """
        runs = self.worker_runs.get(worker, {})
        before = set(runs)
        listed = {(row.task, row.run): row for row in reply.running}
        ended = {(row.task, row.run): row for row in reply.ended}
        # The worker began runs that were voided before; their jobs count as begun.
        for task, _ in (listed.keys() | ended.keys()) - runs.keys():
            job = self.jobs.get(task.partition(".")[0])
            if job is not None:
                self.mark_begun(job, now)
        for run in list(runs.values()):
            if run.key in ended:
                # A worker lists only runs that it began, however they ended.
                self.mark_begun(run.task.step.job, now)
                self._apply_end(run, ended[run.key], now, unix_now)
            elif run.key in listed:
                run.incarnation = reply.incarnation
                self.mark_begun(run.task.step.job, now)
                run.update_progress(listed[run.key], now)
            else:
                self._apply_absence(run, reply, sent_at, now)
        for row in reply.ended:
            if row.end is RunEnd.DONE and (row.task, row.run) not in before:
                self._apply_end_of_voided(row, now, unix_now)
        return [key for key in listed if key not in runs and key not in ended]

    def apply_held_end(self, row: EndedRow, now: float, unix_now: float) -> None:
        """Apply an end that a worker listed before its job was in the table."""
        task = self.find_task(row.task)
        runs = task.runs if task is not None else ()
        run = next((run for run in runs if run.number == row.run), None)
        if run is not None:
            self.end(run, row.end, row.checkpoint, now, unix_now)
        elif row.end is RunEnd.DONE:
            self._apply_end_of_voided(row, now, unix_now)

    def _apply_end_of_voided(self, row: EndedRow, now: float, unix_now: float) -> None:
        """Complete the task of a run that was voided although it ended as done.

        The end is acknowledged like any other, so the task must not start after it.
        """
        task = self.find_task(row.task)
        if task is None or task.done or row.run > task.last_run:
            return
        if task.step.is_open and not task.step.spec.long_running:
            self._complete_task(task, row.run, unix_now)
            self._on_run_removed(task.step, now)

    def _apply_end(self, run: Run, row: EndedRow, now: float, unix_now: float) -> None:
        if run not in run.task.runs:
            # The end of another run in the same reply has removed this one.
            return
        self.end(run, row.end, row.checkpoint, now, unix_now)

    def _apply_absence(
        self, run: Run, reply: PollReply, sent_at: float, now: float
    ) -> None:
        if not run.stored or run not in run.task.runs:
            return
        is_conclusive = run.absence_conclusive_after < sent_at and reply.lists_all_ends
        if reply.incarnation > run.incarnation:
            if run.may_reach_restarted(now) and run.stopped_at < reply.incarnation:
                # An open copy may still reach the new incarnation, which knows of no
                # stop that an earlier one confirmed.
                run.incarnation = reply.incarnation
                run.absence_conclusive_after = math.inf
                run.stop_reason = run.stop_reason or "worker_restarted"
                self.to_stop.append(run)
            elif is_conclusive or not run.was_carried_out:
                # The answer to a start may be that of the new incarnation.
                self.void(run, "worker_restarted", now)
        elif is_conclusive:
            self.void(run, "not_there", now)

    def expire_lease(self, worker: str, now: float, lease_s: float) -> None:
        """Void the runs on a worker whose leases have expired.

        A start without an answer may be carried out later.  A worker that did not
        restart then refuses it, since the lease in the order has expired.  A worker
        that did restart has another clock, by which the lease may last as long as the
        worker permits, and would run the task beside its next run.  It refuses a start
        with a ticket, which was issued to the incarnation before.

        :param lease_s: the longest time for which a worker keeps a run without hearing
            from a lead.
        """
        for run in list(self.worker_runs.get(worker, {}).values()):
            if run.stored and now >= self._certain_end(run, lease_s):
                self.void(run, "lease_lapsed", now)

    @staticmethod
    def _certain_end(run: Run, lease_s: float) -> float:
        """Return when a run that nobody hears of has ended, apart from known leases."""
        if not run.needs_ticket:
            return max(run.latest_start_at(), run.copies.latest_arrival) + lease_s
        return -math.inf if run.restored else run.latest_start_at()

    # Changes to store and orders to send.

    def take_dirty(self, now: float) -> list[Job]:
        """Return the jobs that changed since the last call and are to be stored.

        A job that only changed to running waits for another change of its own, until
        the oldest such job has waited for :data:`BEGUN_STORE_DELAY_S`.
        """
        dirty, self._dirty = self._dirty, {}
        for job_id in dirty:
            self._unstored_begins.pop(job_id, None)
        oldest = next(iter(self._unstored_begins.values()), math.inf)
        if now - oldest >= BEGUN_STORE_DELAY_S:
            dirty.update(
                (job_id, self.jobs[job_id]) for job_id in self._unstored_begins
            )
            self._unstored_begins = {}
        return list(dirty.values())

    def take_planned(self) -> list[Run]:
        """Return the runs that were assigned since the last call."""
        planned, self.planned = self.planned, []
        return planned

    def take_to_stop(self) -> list[Run]:
        """Return the runs to stop, added since the last call."""
        runs, self.to_stop = self.to_stop, []
        return runs
