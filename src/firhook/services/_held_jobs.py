"""Jobs that wait for room in the lead's job table."""

from collections.abc import Iterator

from firhook.cell import JobTable, JobView
from firhook.clock import boot_time
from firhook.instance import Instance
from firhook.logs import log
from firhook.services._job_room import current_limits

#: The interval at which the limits on what jobs may take are updated.
_LIMITS_INTERVAL_S = 1.0


class HeldJobs:
    """Jobs of which no task was started, and that do not fit beside the others.

    Instances that accept jobs at the same moment do not know of each other's, and a
    smaller instance may have joined since.

    :ivar ids: the ids of the jobs.
    """

    def __init__(self, instance: Instance, job_table: JobTable) -> None:
        self._settings = instance.settings
        self._replica = instance.replica
        self._meters = instance.meters
        self._job_table = job_table
        self._limits_due_at = float("-inf")
        self.ids: set[str] = set()

    def must_wait(self, job_id: str, view: JobView) -> bool:
        """Return whether a job has to wait, and remember it if so.

        A job that was begun does not wait, as its runs use the workers.
        """
        assert view.accepted is not None
        has_begun = view.state is not None or view.cancelled
        if has_begun or self._job_table.has_room(view.accepted):
            self.ids.discard(job_id)
            return False
        if job_id not in self.ids:
            log("job.held", level="warning", job=job_id, held=len(self.ids) + 1)
            self._meters.count("jobs_held")
        self.ids.add(job_id)
        return True

    def take_fitting(self) -> Iterator[tuple[str, JobView]]:
        """Yield the jobs that have room now, the oldest first."""
        if boot_time() >= self._limits_due_at:
            self._limits_due_at = boot_time() + _LIMITS_INTERVAL_S
            self._job_table.limits = current_limits(self._settings, self._replica)
        if not self.ids:
            return
        views = self._replica.jobs
        self.ids &= views.keys()
        for job_id in sorted(self.ids, key=lambda i: _accepted_at(views[i])):
            accepted = views[job_id].accepted
            if accepted is None or not self._job_table.has_room(accepted):
                return
            yield job_id, views[job_id]


def _accepted_at(view: JobView) -> float:
    return 0.0 if view.accepted is None else view.accepted.accepted_at
