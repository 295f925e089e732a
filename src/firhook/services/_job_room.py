"""Refuses submissions that the cell's instances could not hold."""

from firhook.cell import AcceptedJob, Replica
from firhook.cell.job_limits import (
    CANCEL_MEMORY_BYTES,
    JobLimits,
    JobSize,
    find_excess,
)
from firhook.clock import boot_time
from firhook.decide.job_budget import has_room, job_limits, smallest_memory_mb
from firhook.errors import JobTooLargeError, NoRoomError
from firhook.instance import InstanceService
from firhook.platform.instance import InstanceSettings

#: Time after which a submission of unknown outcome that was not read is not expected
#: any more: longer than the store takes to carry out a call.
_UNSEEN_S = 10.0
#: Delay before a refused submission may be repeated.  Jobs end all the time.
_RETRY_S = 3.0


def current_limits(settings: InstanceSettings, replica: Replica) -> JobLimits:
    """Return what the jobs of a cell may take, as an instance knows the others."""
    peers = replica.peers.values()
    memory_mb = smallest_memory_mb(settings.memory_mb, peers)
    strength = max([settings.strength, *(peer.strength for peer in peers)])
    return job_limits(memory_mb, strength, settings.store_limits.record_bytes)


class JobRoom:
    """Compares submissions with what the smallest instance of the cell can hold.

    Any instance may have to lead, and a lead holds all accepted jobs.
    """

    def __init__(self, service: InstanceService) -> None:
        self._settings = service.settings
        self._replica = service.replica
        self._unseen: dict[str, tuple[JobSize, float]] = {}

    def limits(self) -> JobLimits:
        """Return what the jobs of the cell may take."""
        return current_limits(self._settings, self._replica)

    def check_size(self, job: AcceptedJob) -> None:
        """Refuse a job that the cell can never hold.

        :raises JobTooLargeError: if the job alone is too large.
        """
        limits = self.limits()
        excess = find_excess(job.spec, limits)
        if excess:
            raise JobTooLargeError(excess)
        if not job.size.fits_in(limits.jobs):
            raise JobTooLargeError(f"the job alone is {_describe(job.size, limits)}")

    def has_room(self, job: AcceptedJob) -> bool:
        """Return whether a job fits beside all that were accepted."""
        now = boot_time()
        self._unseen = {
            job_id: row
            for job_id, row in self._unseen.items()
            if row[1] > now and self._replica.find(job_id) is None
        }
        others = (row[0] for job_id, row in self._unseen.items() if job_id != job.id)
        return has_room(
            job.size,
            self._replica.jobs_size,
            sum(others, JobSize()),
            len(self._replica.peers),
            self.limits().jobs,
        )

    def has_room_for_cancel(self) -> bool:
        """Return whether another cancellation of an unknown job may be stored."""
        taken = self._replica.cancels_size.memory_bytes + CANCEL_MEMORY_BYTES
        return taken <= self.limits().cancels_bytes

    def note_submitted(self, job: AcceptedJob) -> None:
        """Record that a submission is about to be appended."""
        self._unseen[job.id] = (job.size, boot_time() + _UNSEEN_S)

    def note_refused(self, job: AcceptedJob) -> None:
        """Record that a submission was certainly not stored."""
        self._unseen.pop(job.id, None)

    def refusal_error(self) -> NoRoomError:
        """Return the error for a job that does not fit now."""
        taken = _describe(self._replica.jobs_size, self.limits())
        return NoRoomError(f"the accepted jobs are {taken}", retry_after_s=_RETRY_S)


def _describe(size: JobSize, limits: JobLimits) -> str:
    """Return what jobs take, beside what they may."""
    return (
        f"{size.memory_bytes:.0f} of {limits.jobs.memory_bytes:.0f} bytes of memory, "
        f"{size.steps:.0f} of {limits.jobs.steps:.0f} steps"
    )
