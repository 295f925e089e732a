"""Submissions that may be stored, although nobody has read them."""

from firhook._peer_messages import SubmissionUnresolved
from firhook.clock import boot_time
from firhook.errors import FirhookError, SubmissionUnknownError
from firhook.instance import InstanceService
from firhook.services._events import RegisterMessageHandler, SendToInstances

#: Time after which a submission that has not appeared is not expected any more.  The
#: store, or an instance that stood still, may carry it out for seconds.
_KEEP_S = 30.0
#: The most submissions that are remembered.
_MAX_KEPT = 10_000


class UnresolvedSubmissions:
    """Keeps repeats of a submission of unknown outcome from being refused.

    A caller that was answered 504 repeats the submission at another instance.  If that
    one refuses it, as the work would end late or the store is unavailable, the caller
    is told that the job never runs, although the first submission may appear seconds
    later.  Each instance therefore tells the others which outcomes it does not know.
    """

    def __init__(self, service: InstanceService) -> None:
        self._bus = service.bus
        self._until: dict[str, float] = {}

    def register_handlers(self) -> None:
        """Register the handler of the other instances' messages."""
        self._bus.publish(
            RegisterMessageHandler(SubmissionUnresolved, self._on_unresolved)
        )

    def _on_unresolved(self, msg: SubmissionUnresolved) -> None:
        self._keep(msg.job_id)

    def _keep(self, job_id: str) -> None:
        self._until.pop(job_id, None)
        self._until[job_id] = boot_time() + _KEEP_S
        if len(self._until) > _MAX_KEPT:
            del self._until[next(iter(self._until))]

    def note(self, job_id: str) -> None:
        """Record, here and at the other instances, that an outcome is not known."""
        self._keep(job_id)
        self._bus.publish(SendToInstances(SubmissionUnresolved(job_id)))

    def holds(self, job_id: str) -> bool:
        """Return whether an earlier submission of a job may appear yet."""
        return self._until.get(job_id, 0.0) > boot_time()

    def revise(self, job_id: str, exc: FirhookError) -> FirhookError:
        """Return the error with which to answer a submission.

        :param exc: why it was not accepted.
        """
        if isinstance(exc, SubmissionUnknownError):
            self.note(job_id)
        elif exc.status in (429, 503) and self.holds(job_id):
            return SubmissionUnknownError(
                f"an earlier submission may be stored; this one: {exc.detail}",
                retry_after_s=exc.retry_after_s,
            )
        return exc
