"""Typed errors with stable codes whose messages name the remedy."""

from typing import Any, ClassVar

__all__: list[str] = []


def _export(cls: type) -> type:
    """Export an error class from :mod:`firhook.errors`."""
    __all__.append(cls.__name__)
    return cls


@_export
class FirhookError(Exception):
    """Base class of every error that firhook raises.

    :param detail: what happened, including the value that caused it.
    :param retry_after_s: how long to wait before a retry, in seconds; ``None``
        if retrying the same request cannot succeed.
    :param ran: whether the requested work ran: ``no``, ``unknown`` or ``yes``.
        ``no`` is a guarantee on which callers may rely.
    :param extra: additional members of the problem document.
    """

    code: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    title: ClassVar[str] = "Internal error"
    remedy: ClassVar[str] = "Report this with the request id and the logs."
    default_ran: ClassVar[str] = "no"

    def __init__(
        self,
        detail: str,
        *,
        retry_after_s: float | None = None,
        ran: str | None = None,
        **extra: Any,
    ) -> None:
        super().__init__(f"{detail} [{self.code}] {self.remedy}")
        self.detail = detail
        self.retry_after_s = retry_after_s
        self.ran = ran or self.default_ran
        self.extra = extra

    def to_problem(self) -> dict[str, Any]:
        """Return the RFC 9457 problem document for this error."""
        problem: dict[str, Any] = {
            "type": f"urn:firhook:{self.code}",
            "code": self.code,
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
            "remedy": self.remedy,
            "ran": self.ran,
        }
        if self.retry_after_s is not None:
            problem["retry_after"] = round(self.retry_after_s, 3)
        problem.update(self.extra)
        return problem


def _define_error(
    name: str, code: str, status: int, title: str, remedy: str, ran: str = "no"
) -> type[FirhookError]:
    """Create and export one error class.

    The classes differ only in these constants, so a table of calls is easier
    to read than one class body for each.
    """
    cls = type(
        name,
        (FirhookError,),
        {
            "__doc__": f"{title}.  {remedy}",
            "__module__": __name__,
            "code": code,
            "status": status,
            "title": title,
            "remedy": remedy,
            "default_ran": ran,
        },
    )
    return _export(cls)


SettingsInvalidError = _define_error(
    "SettingsInvalidError",
    "settings.invalid",
    400,
    "Settings are not valid",
    "Mend the options named and run firhookd --check again.",
)
AddressUnusableError = _define_error(
    "AddressUnusableError",
    "address.unusable",
    500,
    "Cannot listen at an address",
    "End the process that listens there, or change the address in the settings.",
)
ListInvalidError = _define_error(
    "ListInvalidError",
    "list.invalid",
    422,
    "A list is not valid",
    "Mend the rows named and apply the list again; nothing was changed.",
)
ConfigConflictError = _define_error(
    "ConfigConflictError",
    "config.conflict",
    409,
    "Another change came first",
    "Read the lists again, redo your change on the new version and apply it.",
)
KeyMissingError = _define_error(
    "KeyMissingError",
    "key.missing",
    401,
    "No key was shown",
    "Send the team's key as 'Authorization: Bearer KEY'.",
)
KeyRefusedError = _define_error(
    "KeyRefusedError",
    "key.refused",
    401,
    "The key is not valid",
    "Ask an operator for a new key; this one is unknown or withdrawn.",
)
NotPermittedError = _define_error(
    "NotPermittedError",
    "key.not_permitted",
    403,
    "The key does not permit this",
    "Use a key of the team concerned, or an operator's key.",
)
KeyUnknownError = _define_error(
    "KeyUnknownError",
    "key.unknown",
    404,
    "No such key",
    "List the keys with 'firhook key list' and name one of them.",
)
ZoneStaleError = _define_error(
    "ZoneStaleError",
    "zone.stale",
    503,
    "This availability zone cannot check for withdrawn keys",
    "Try another zone, or come back after the time given.",
)
LogUnavailableError = _define_error(
    "LogUnavailableError",
    "log.unavailable",
    503,
    "The platform's log cannot be reached",
    "Nothing was recorded; come back after the time given.",
)
LogOutcomeUnknownError = _define_error(
    "LogOutcomeUnknownError",
    "log.outcome_unknown",
    503,
    "The platform's log did not say whether it took the record",
    "Ask again with the same id; it cannot take effect twice.",
    "unknown",
)
LogTrimmedError = _define_error(
    "LogTrimmedError",
    "log.trimmed",
    410,
    "The records asked for have expired",
    "Rebuild from the latest snapshot; the journal does this by itself.",
)
LogFencedError = _define_error(
    "LogFencedError",
    "log.fenced",
    409,
    "A newer epoch has written to the log",
    "Another instance leads the cell now; this one steps down by itself.",
)
LogSequenceError = _define_error(
    "LogSequenceError",
    "log.sequence",
    409,
    "The log expects another sequence number",
    "The lead steps down and takes over anew with a higher epoch by itself.",
)
LogMovedError = _define_error(
    "LogMovedError",
    "log.moved",
    412,
    "The partition does not end where the append expected",
    "Read on to the end and decide anew; nothing was recorded.",
)
LogFullError = _define_error(
    "LogFullError",
    "log.full",
    507,
    "The platform's log has no space left",
    "Have ended jobs dropped sooner, or the platform's space enlarged.",
)
LogRecordRefusedError = _define_error(
    "LogRecordRefusedError",
    "log.record_refused",
    413,
    "The platform's log refuses the record for good",
    "Make what it describes smaller; the same record is refused each time.",
)
QueueUnknownError = _define_error(
    "QueueUnknownError",
    "queue.unknown",
    404,
    "No queue has this host and path",
    "Check the host and the path against the configuration in force.",
)
JobGoneError = _define_error(
    "JobGoneError",
    "job.gone",
    410,
    "No such job is kept in this queue",
    "Check the id; ended jobs are kept for a limited time only.",
)
JobIdTakenError = _define_error(
    "JobIdTakenError",
    "job.id_taken",
    409,
    "The id belongs to another job",
    "Choose another id and submit the job under it; nothing was recorded.",
)
JobTooLargeError = _define_error(
    "JobTooLargeError",
    "job.too_large",
    413,
    "The job is larger than this cell can hold",
    "Split it into jobs with fewer tasks or steps; nothing was accepted.",
)
NoRoomError = _define_error(
    "NoRoomError",
    "job.no_room",
    503,
    "The accepted jobs are as many as the instances can hold",
    "Submit the same id again after the time given; nothing was accepted.",
)
JobCancelledError = _define_error(
    "JobCancelledError",
    "job.cancelled",
    409,
    "The job was cancelled before it was submitted",
    "Submit it under another id if it is to run; nothing was accepted.",
)
SubmissionUnknownError = _define_error(
    "SubmissionUnknownError",
    "job.submission_unknown",
    504,
    "The log did not say in time whether it took the job",
    "Submit the same id again; it remains one job.",
    "unknown",
)
PlatformUnavailableError = _define_error(
    "PlatformUnavailableError",
    "platform.unavailable",
    503,
    "The platform's instance list cannot be reached",
    "The last list stays in use; nothing needs doing unless this lasts.",
)
OverloadedError = _define_error(
    "OverloadedError",
    "queue.overloaded",
    503,
    "More work is waiting than can be served in time",
    "Come back after the time given; the request was not run.",
)
DeadlineUnmeetableError = _define_error(
    "DeadlineUnmeetableError",
    "queue.deadline",
    503,
    "The request cannot be answered before its deadline",
    "Come back after the time given, or allow a later deadline.",
)
TeamQueueFullError = _define_error(
    "TeamQueueFullError",
    "queue.team_full",
    429,
    "The team has too many requests waiting",
    "Send fewer at once, or come back after the time given.",
)
OverloadedTeamError = _define_error(
    "OverloadedTeamError",
    "queue.overloaded_team",
    429,
    "The team has more work waiting than its share of the cell serves in time",
    "Submit the same id again after the time given; nothing was accepted.",
)
QueueLateError = _define_error(
    "QueueLateError",
    "queue.late",
    429,
    "The work would end too late to be of value",
    "Submit the same id again after the time given; nothing was accepted.",
)
NoEndpointError = _define_error(
    "NoEndpointError",
    "endpoint.none",
    503,
    "No runner of the service can take the request",
    "Come back after the time given; if it lasts, check the service's runners.",
)
EndpointFailedError = _define_error(
    "EndpointFailedError",
    "endpoint.failed",
    502,
    "The runner failed while it had the request",
    "Check the outcome before sending a non-idempotent request again.",
    "unknown",
)
EndpointTimeoutError = _define_error(
    "EndpointTimeoutError",
    "endpoint.timeout",
    504,
    "The runner did not answer before the deadline",
    "Check the outcome before sending a non-idempotent request again.",
    "unknown",
)
OnceInProgressError = _define_error(
    "OnceInProgressError",
    "once.in_progress",
    409,
    "A request with this Idempotency-Key is being run",
    "Ask again with the same key after the time given to get its outcome.",
    "unknown",
)
OnceUnknownError = _define_error(
    "OnceUnknownError",
    "once.unknown",
    409,
    "The outcome of the request with this Idempotency-Key was lost",
    "Check with the service whether it took effect; it is not run again.",
    "unknown",
)
OnceMismatchError = _define_error(
    "OnceMismatchError",
    "once.mismatch",
    422,
    "The Idempotency-Key was used before for another request",
    "Use a fresh key for each distinct request.",
)
JobInvalidError = _define_error(
    "JobInvalidError",
    "job.invalid",
    422,
    "The job is not valid",
    "Mend the fields named and submit it again; nothing was accepted.",
)
JobImpossibleError = _define_error(
    "JobImpossibleError",
    "job.impossible",
    422,
    "The job can never run in this cell",
    "Ask for less, or have the plan or the workers enlarged.",
)
JobConflictError = _define_error(
    "JobConflictError",
    "job.conflict",
    409,
    "Another job has this id",
    "Choose a new id, or submit the same body to repeat the request.",
)
JobUnknownError = _define_error(
    "JobUnknownError",
    "job.unknown",
    404,
    "No such job",
    "List the team's jobs with 'firhook job list' and name one of them.",
)
BodyTooLargeError = _define_error(
    "BodyTooLargeError",
    "request.too_large",
    413,
    "The body is larger than allowed",
    "Send a smaller body, or have [gateway] max_body_bytes raised.",
)
RequestMalformedError = _define_error(
    "RequestMalformedError",
    "request.malformed",
    400,
    "The request cannot be understood",
    "Mend the part named and send it again.",
)
CallerGoneError = _define_error(
    "CallerGoneError",
    "request.abandoned",
    499,
    "The caller closed its connection while the request waited",
    "Keep the connection open until the answer or the deadline.",
)
RecordMalformedError = _define_error(
    "RecordMalformedError",
    "record.malformed",
    500,
    "A record on the log cannot be understood",
    "Every instance ignores it; find who appended it.",
)
FrameMalformedError = _define_error(
    "FrameMalformedError",
    "peer.malformed",
    400,
    "A message from a peer cannot be understood",
    "Check that all instances run versions that work together.",
)
PeerUnreachableError = _define_error(
    "PeerUnreachableError",
    "peer.unreachable",
    503,
    "A peer did not answer",
    "Nothing needs doing unless this lasts.",
    "unknown",
)
NotLeadError = _define_error(
    "NotLeadError",
    "lead.not_here",
    503,
    "This instance cannot lend room now",
    "The asker finds the zone's lead and asks again by itself.",
)
WorkerUnreachableError = _define_error(
    "WorkerUnreachableError",
    "worker.unreachable",
    503,
    "A worker did not answer",
    "Its tasks restart elsewhere once its lease has lapsed.",
    "unknown",
)
WorkerFencedError = _define_error(
    "WorkerFencedError",
    "worker.fenced",
    409,
    "The worker has seen a newer zone lead",
    "This instance has lost the lead and stops placing by itself.",
)
StoppingError = _define_error(
    "StoppingError",
    "instance.stopping",
    503,
    "This instance is stopping",
    "Send the request again at once; the balancer picks another instance.",
)
NotReadyError = _define_error(
    "NotReadyError",
    "instance.not_ready",
    503,
    "This instance has not read the lists yet",
    "Send the request again; the balancer picks another instance.",
)
