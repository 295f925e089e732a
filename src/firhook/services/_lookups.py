"""What callers are told of jobs, from here or from an instance that knows."""

import asyncio
import math
from typing import Any, TypeVar

from firhook._peer_messages import JobAsk, JobReply, PendingAsk, PendingReply
from firhook.cell import JobStatus, JobView, Queue
from firhook.clock import boot_time
from firhook.decide.lookup_peers import choose_lookup_peers
from firhook.errors import (
    FirhookError,
    JobGoneError,
    JobIdTakenError,
    NotReadyError,
    PeerUnreachableError,
)
from firhook.instance import InstanceService
from firhook.logs import log
from firhook.services._events import (
    CALLERS_PARTITIONS,
    AskInstance,
    CatchUp,
    LiveLead,
    RegisterMessageHandler,
    ReplicaAge,
)
from firhook.services._members import candidates

#: The oldest replica that is counted.  Callers may be told a count that is two
#: seconds old, and a peer's count is on its way for ``_ASK_S`` at most.
_MAX_PENDING_AGE_S = 1.0
#: How long a replica that is older may be read on for one count.
_REFRESH_TIMEOUT_S = 0.4
#: How long peers are asked.  It is more than ``_READ_ON_S``, which a peer may take.
_ASK_TIMEOUT_S = 0.6
#: A peer that has not answered by then is not waited for alone.
_HEDGE_DELAY_S = 0.15
#: The oldest replica that tells where a job stands: the partitions that are read
#: least often are read every two seconds.
_MAX_STATUS_AGE_S = 2.5
#: How long the log is read for one question about a job that is not known.
_CATCH_UP_TIMEOUT_S = 1.0
#: When callers should come back if nobody can tell.
_RETRY_S = 1.0

R = TypeVar("R")


class Lookups:
    """Answers from the replica if it is new enough, else from a peer's.

    Load: all instances start at once, some on links that the cell's records fill
    for seconds.  Harm: a replica that is not whole knows few of the jobs; it would
    tell a count far too low, or keep callers waiting for a job until it is read.
    """

    def __init__(self, service: InstanceService) -> None:
        self._name = service.settings.name
        self._bus = service.bus
        self._replica = service.replica
        self._meters = service.meters

    def register_handlers(self) -> None:
        """Answer the peers' questions."""
        self._bus.publish(RegisterMessageHandler(PendingAsk, self._serve_pending))
        self._bus.publish(RegisterMessageHandler(JobAsk, self._serve_job))

    # How many jobs wait.

    async def pending(self, queue: Queue, until: float) -> int:
        """Return how many jobs of a queue wait for their first start.

        :param until: on the boot clock, until when the caller can wait.
        :raises NotReadyError: if neither this instance nor a peer can tell.
        """
        try:
            reply = await self._count_pending(queue.address)
            source, kind = self._name, "replica"
        except NotReadyError:
            message = PendingAsk(queue.address)
            source, reply = await self._ask(message, PendingReply, until)
            kind = "peer" if reply else "refused"
        self._meters.count("pending_answers", kind)
        if reply is None:
            raise NotReadyError("no replica is new enough", retry_after_s=_RETRY_S)
        log(
            "pending.answered",
            queue=queue.name,
            count=reply.count,
            source=source,
            age_s=round(reply.age_s, 2),
        )
        return reply.count

    async def _count_pending(self, address: str) -> PendingReply:
        age_s = await self._bus.ask(ReplicaAge(_MAX_PENDING_AGE_S, _REFRESH_TIMEOUT_S))
        if age_s > _MAX_PENDING_AGE_S:
            raise NotReadyError("the replica lags", retry_after_s=_RETRY_S)
        return PendingReply(self._replica.pending_count(address), age_s)

    async def _serve_pending(self, msg: PendingAsk) -> PendingReply:
        return await self._count_pending(msg.queue)

    # Where a job stands.

    def find_job(self, queue: Queue, team: str, job_id: str) -> JobView | None:
        """Return a job of a queue and a team, if the replica has it."""
        job = self._replica.find(job_id)
        if job is None or job.accepted is None:
            return None
        accepted = job.accepted
        is_match = _belongs_to(queue, team, accepted.queue.address, accepted.team)
        return job if is_match else None

    async def status(
        self, queue: Queue, team: str, job_id: str, until: float
    ) -> JobStatus:
        """Return where a job stands.

        It may have been accepted by another instance a moment ago; so "no such
        job" is said only by one that has read the log to the end that it has now.
        If no instance has a new replica, as while the store is away, a job that is
        known stands where it did when the log was last read.

        :param until: on the boot clock, until when the caller can wait.
        :raises JobGoneError: if there is no such job.
        :raises JobIdTakenError: if it came to nothing, as its id was submitted by
            another team or to another queue a moment before.
        :raises NotReadyError: if neither this instance nor a peer can tell.
        """
        age_s = await self._bus.ask(ReplicaAge())
        job = self.find_job(queue, team, job_id)
        found = self._replica.find(job_id)
        if job is None and found is not None and found.is_rejected(queue.owner(team)):
            raise JobIdTakenError(job_id)
        if job is not None and (_has_final_state(job) or age_s <= _MAX_STATUS_AGE_S):
            return job.status
        is_complete = age_s < math.inf
        if job is None and is_complete and await self._catch_up(until):
            return self._local_status(queue, team, job_id)
        _, reply = await self._ask(JobAsk(job_id), JobReply, until)
        if reply is not None:
            self._meters.count("status_answers", "peer")
            if not reply.found or not _belongs_to(queue, team, reply.queue, reply.team):
                raise JobGoneError(job_id)
            return JobStatus(reply.status)
        if job is not None and is_complete:
            self._meters.count("status_answers", "old_replica")
            return job.status
        # A log that is short is read within the time that callers wait.
        if not is_complete and await self._catch_up(until):
            return self._local_status(queue, team, job_id)
        self._meters.count("status_answers", "refused")
        raise NotReadyError("no replica is new enough", retry_after_s=_RETRY_S)

    def _local_status(self, queue: Queue, team: str, job_id: str) -> JobStatus:
        """Return where a job stands by a log that was read to its end just now."""
        job = self.find_job(queue, team, job_id)
        if job is None:
            raise JobGoneError(job_id)
        return job.status

    async def _catch_up(self, until: float = math.inf) -> bool:
        """Read to the end that the log has now; return whether that was done."""
        reading = self._bus.ask(CatchUp(CALLERS_PARTITIONS))
        try:
            async with asyncio.timeout(min(_CATCH_UP_TIMEOUT_S, until - boot_time())):
                await reading
        except (TimeoutError, FirhookError) as exc:
            log("replica.catch_up_failed", level="debug", error=repr(exc))
            return False
        return True

    async def _serve_job(self, msg: JobAsk) -> JobReply:
        age_s = await self._bus.ask(ReplicaAge())
        job = self._replica.find(msg.job_id)
        if age_s > _MAX_STATUS_AGE_S and not (job and _has_final_state(job)):
            raise NotReadyError("the replica lags", retry_after_s=_RETRY_S)
        if job is None:
            if not await self._catch_up():
                raise NotReadyError("the replica lags", retry_after_s=_RETRY_S)
            job = self._replica.find(msg.job_id)
        if job is None or job.accepted is None:
            return JobReply(False)
        accepted = job.accepted
        return JobReply(True, int(job.status), accepted.queue.address, accepted.team)

    # Peers.

    async def _ask(
        self, message: Any, reply: type[R], until: float
    ) -> tuple[str, R | None]:
        """Ask peers; return who answered and what, or ``None``.

        The next one is asked beside those that have not answered after a while: the
        first may be gone, or its link may be full.
        """
        lead = await self._bus.ask(LiveLead())
        names = choose_lookup_peers(self._name, lead, candidates(self._replica))
        until = min(until, boot_time() + _ASK_TIMEOUT_S)
        asking: set[asyncio.Task[tuple[str, Any]]] = set()
        try:
            while names or asking:
                if names:
                    asking.add(asyncio.create_task(self._ask_one(names[0], message)))
                    names = names[1:]
                left_s = until - boot_time()
                if left_s <= 0:
                    break
                done, asking = await asyncio.wait(
                    asking,
                    timeout=min(_HEDGE_DELAY_S, left_s) if names else left_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for name, answer in (task.result() for task in done):
                    if isinstance(answer, reply):
                        return name, answer
        finally:
            for task in asking:
                task.cancel()
        return "", None

    async def _ask_one(self, name: str, message: Any) -> tuple[str, Any]:
        try:
            return name, await self._bus.ask(AskInstance(name, message, _ASK_TIMEOUT_S))
        except PeerUnreachableError as exc:
            log("lookup.ask_failed", level="debug", peer=name, error=exc.detail)
            return name, None


def _has_final_state(job: JobView) -> bool:
    """Return whether the lead stored an end, after which nothing changes."""
    return job.state is not None and job.state.status.ended


def _belongs_to(queue: Queue, team: str, address: str, owner: str) -> bool:
    """Return whether a job with this address and owner is one of the caller's."""
    return address == queue.address and (queue.anonymous or owner == team)
