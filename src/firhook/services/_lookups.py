"""Answers callers' queries about jobs from the replica or from a peer's."""

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
    StoreLatency,
)
from firhook.services._members import candidates
from firhook.tasks import log_failure

#: The oldest replica from which waiting jobs are counted.  A count may be up to two
#: seconds old when the caller receives it, of which a peer's count may spend
#: ``_ASK_TIMEOUT_S`` on its way.
_MAX_PENDING_AGE_S = 1.0
#: Time limit for refreshing an older replica for one count.
_REFRESH_TIMEOUT_S = 0.4
#: Time limit for asking peers; longer than ``_REFRESH_TIMEOUT_S``, which a peer may
#: take.
_ASK_TIMEOUT_S = 0.6
#: After this time without an answer the next peer is asked in parallel.
_HEDGE_DELAY_S = 0.15
#: The oldest replica from which the status of a job is answered.  The partitions
#: that are read least often are read every two seconds.
_MAX_STATUS_AGE_S = 2.5
#: Time limit for reading the log for one query about an unknown job.
_CATCH_UP_TIMEOUT_S = 1.0
#: Delay before the log is read for refusals, so that one read serves all submissions
#: refused in that time.
_REFUSAL_READ_DELAY_S = 0.1

R = TypeVar("R")

_LOG_FAILED_READ = log_failure("lookup.read_failed")


class Lookups:
    """Answers queries from the replica if it is recent enough, else from a peer's.

    When all instances start at once, the cell's records fill the links of some for
    seconds.  An incomplete replica holds few of the jobs: its count would be far too
    low, and callers would wait for the status of a job until it is read.
    """

    def __init__(self, service: InstanceService) -> None:
        self._name = service.settings.name
        self._bus = service.bus
        self._replica = service.replica
        self._meters = service.meters
        self._refusal_read: asyncio.Task[bool] | None = None

    def register_handlers(self) -> None:
        """Register the handlers of queries from peers."""
        self._bus.publish(RegisterMessageHandler(PendingAsk, self._serve_pending))
        self._bus.publish(RegisterMessageHandler(JobAsk, self._serve_job))

    # Number of waiting jobs.

    async def pending(self, queue: Queue, until: float) -> int:
        """Return how many jobs of a queue wait for their first start.

        :param until: time on the boot clock until which the caller can wait.
        :raises NotReadyError: if neither this instance nor a peer can answer.
        """
        try:
            reply = await self._count_pending(queue.address)
            source, kind = self._name, "replica"
        except NotReadyError:
            message = PendingAsk(queue.address)
            source, reply = await self._ask_peers(message, PendingReply, until)
            kind = "peer" if reply else "refused"
        self._meters.count("pending_answers", kind)
        if reply is None:
            raise NotReadyError("no instance has a recent enough replica")
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
            raise NotReadyError("the replica is not recent enough")
        return PendingReply(self._replica.pending_count(address), age_s)

    async def _serve_pending(self, msg: PendingAsk) -> PendingReply:
        return await self._count_pending(msg.queue)

    # Status of a job.

    def find_job(self, queue: Queue, team: str, job_id: str) -> JobView | None:
        """Return a job of a queue and a team, or ``None`` if the replica lacks it."""
        job = self._replica.find(job_id)
        if job is None or job.accepted is None:
            return None
        accepted = job.accepted
        is_match = _belongs_to(queue, team, accepted.queue.address, accepted.team)
        return job if is_match else None

    async def status(
        self, queue: Queue, team: str, job_id: str, until: float
    ) -> JobStatus:
        """Return the status of a job.

        Another instance may have accepted the job a moment ago, so "no such job" is
        answered only after a read to the current end of the log.  If no instance has
        a recent replica, for example while the store is unavailable, the status of a
        known job is the one in the replica.

        :param until: time on the boot clock until which the caller can wait.
        :raises JobGoneError: if there is no such job.
        :raises JobIdTakenError: if the submission lost to an earlier one of the same
            id by another team or to another queue.
        :raises NotReadyError: if neither this instance nor a peer can answer.
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
        _, reply = await self._ask_peers(JobAsk(job_id), JobReply, until)
        if reply is not None:
            self._meters.count("status_answers", "peer")
            if not reply.found or not _belongs_to(queue, team, reply.queue, reply.team):
                raise JobGoneError(job_id)
            return JobStatus(reply.status)
        if job is not None and is_complete:
            self._meters.count("status_answers", "old_replica")
            return job.status
        # A short log can be read to its end while the caller waits.
        if not is_complete and await self._catch_up(until):
            return self._local_status(queue, team, job_id)
        self._meters.count("status_answers", "refused")
        raise NotReadyError("no instance has a recent enough replica")

    def _local_status(self, queue: Queue, team: str, job_id: str) -> JobStatus:
        """Return the status of a job after the log was read to its end."""
        job = self.find_job(queue, team, job_id)
        if job is None:
            raise JobGoneError(job_id)
        return job.status

    async def _catch_up(self, until: float = math.inf) -> bool:
        """Read to the current end of the log; return whether that succeeded."""
        reading = self._bus.ask(CatchUp(CALLERS_PARTITIONS))
        try:
            async with asyncio.timeout(min(_CATCH_UP_TIMEOUT_S, until - boot_time())):
                await reading
        except (TimeoutError, FirhookError) as exc:
            log("replica.catch_up_failed", level="debug", error=repr(exc))
            return False
        return True

    async def read_for_refusal(self, until: float) -> bool:
        """Read to the current end of the log before submissions are refused.

        Requests that arrive while a read has not begun share it.

        :return: whether the read succeeded by then.
        """
        if await self._bus.ask(StoreLatency()) == math.inf:
            return False
        if self._refusal_read is None:
            self._refusal_read = asyncio.create_task(self._delayed_catch_up())
            self._refusal_read.add_done_callback(_LOG_FAILED_READ)
        reading = self._refusal_read
        await asyncio.wait({reading}, timeout=max(until - boot_time(), 0.0))
        if not reading.done() or reading.cancelled() or reading.exception():
            return False
        return reading.result()

    async def _delayed_catch_up(self) -> bool:
        await asyncio.sleep(_REFUSAL_READ_DELAY_S)
        self._refusal_read = None
        return await self._catch_up()

    async def _serve_job(self, msg: JobAsk) -> JobReply:
        age_s = await self._bus.ask(ReplicaAge())
        job = self._replica.find(msg.job_id)
        if age_s > _MAX_STATUS_AGE_S and not (job and _has_final_state(job)):
            raise NotReadyError("the replica is not recent enough")
        if job is None:
            if not await self._catch_up():
                raise NotReadyError("the replica is not recent enough")
            job = self._replica.find(msg.job_id)
        if job is None or job.accepted is None:
            return JobReply(False)
        accepted = job.accepted
        return JobReply(True, int(job.status), accepted.queue.address, accepted.team)

    # Peers.

    async def _ask_peers(
        self, message: Any, reply: type[R], until: float
    ) -> tuple[str, R | None]:
        """Ask peers; return the name of the one that answered and its answer.

        The answer is ``None`` if no peer gave one in time.  Requests are hedged: if a
        peer does not answer soon, the next one is asked as well, since the first may
        be gone or its link may be saturated.
        """
        lead = await self._bus.ask(LiveLead())
        names = choose_lookup_peers(self._name, lead, candidates(self._replica))
        until = min(until, boot_time() + _ASK_TIMEOUT_S)
        asking: set[asyncio.Task[tuple[str, Any]]] = set()
        try:
            while names or asking:
                if names:
                    asking.add(asyncio.create_task(self._ask_peer(names[0], message)))
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

    async def _ask_peer(self, name: str, message: Any) -> tuple[str, Any]:
        try:
            return name, await self._bus.ask(AskInstance(name, message, _ASK_TIMEOUT_S))
        except PeerUnreachableError as exc:
            log("lookup.ask_failed", level="debug", peer=name, error=exc.detail)
            return name, None


def _has_final_state(job: JobView) -> bool:
    """Return whether the lead stored that the job ended, which is final."""
    return job.state is not None and job.state.status.ended


def _belongs_to(queue: Queue, team: str, address: str, owner: str) -> bool:
    """Return whether a job of this queue address and owner is visible to the team."""
    return address == queue.address and (queue.anonymous or owner == team)
