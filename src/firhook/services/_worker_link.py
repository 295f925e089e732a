"""The lead's connection to one worker, which polls its runs and renews its lease."""

import asyncio
import math
from collections.abc import Coroutine
from typing import Any, Protocol

from firhook.cell import EndCursor, JobTable, PollReply, WorkerEntry
from firhook.clock import boot_time
from firhook.decide.lost_calls import FIRST_TIMEOUT_S, AnswerTimer, LostCalls
from firhook.decide.suspicion import ReplyTracker
from firhook.decide.worker_health import WorkerHealth
from firhook.decide.worker_lease import WorkerLease
from firhook.errors import WorkerFencedError, WorkerUnreachableError
from firhook.logs import log
from firhook.platform.workers import Workers

#: How long a worker may hold a poll until a run ends.  Every poll is charged for; a
#: busy worker replies several times a second anyway.
_LONG_POLL_S = 1.0
#: The same while a run is stopped that the worker was not heard to run.  Once the stop
#: is confirmed, a poll sent after it tells whether the run is over, so that its task
#: may start elsewhere.  With long polls that took two seconds.
_STOPPING_POLL_S = 0.2
#: The same while workers leave single calls unanswered.  Until such a poll is given
#: up, the lead learns nothing of the runs that end.
_LOSSY_POLL_S = 0.3
#: The longest delay before the next poll while ends are being stored.  The worker
#: replies to such a poll at once, as it lists all ends without an acknowledgement.
_UNSTORED_PAUSE_S = 0.4
#: The delay of the next poll after ends were stored, so that one poll reports ends
#: that are close together.  Four runs a second end on a worker, a fifth of them
#: within this time of another.
_BATCH_DELAY_S = 0.06
#: The delay between polls of a worker that does not answer.
_RETRY_S = 0.25
#: Of the polls of a worker that does not answer, each one of this number is awaited for
#: as long as that of any other worker.  One whose answers take longer than the timeout
#: of the others would never be found to answer.
_PATIENT_POLL = 4
#: A worker without an entry is used for this time.  Entries that expired while the
#: store was unavailable are written again within two seconds of its return.
_UNLISTED_GRACE_S = 3.0
#: A worker without a reply for this time gets no new work.
_SILENCE_LIMIT_S = 2.4


class LinkOwner(Protocol):
    """What a worker link needs from the lead's term.

    :ivar lost_calls: the calls that workers left unanswered, of all links.
    """

    fence: int
    job_table: JobTable
    lost_calls: LostCalls
    workers: Workers

    def may_renew(self) -> bool:
        """Return whether leases may be renewed now."""

    def on_poll(self, link: "WorkerLink", reply: PollReply, sent_at: float) -> None:
        """Handle a worker's poll reply.

        :param sent_at: when the poll was sent, on the boot clock.
        """

    def on_incarnation(self, link: "WorkerLink") -> None:
        """Handle that a worker has restarted."""

    def on_ends_missing(self, link: "WorkerLink", first_listed: int) -> None:
        """Handle that a worker deleted ends before the first listed one unread."""

    def on_fenced(self, worker: str) -> None:
        """Handle that a worker has seen a higher fencing token."""

    def on_unreachable(self, link: "WorkerLink") -> None:
        """Handle that a worker did not answer a poll."""


class _LatePollError(Exception):
    """A poll is not answered yet, which alone does not show that the worker is lost."""


class WorkerLink:
    """Polls one worker periodically.

    :param lease: the leases of the worker, with those of earlier leads.
    :ivar ack: the ends that are stored.
    :ivar processed: the ends that are in the job table.
    :ivar pending_calls: the calls to the worker without an answer.
    :ivar last_reply_at: when it last replied to a poll.
    :ivar last_heard_at: when it last answered any call.
    :ivar suspected: whether a call failed since the last answer.
    :ivar held_end: number of the first end that the lead can't store yet, or infinity.
    :ivar has_orphaned_runs: whether the worker has runs that the job table does not
        know, left by orders that were carried out late.  Their resources are not
        accounted for, so that nothing is started beside them.
    """

    def __init__(
        self,
        owner: LinkOwner,
        entry: WorkerEntry,
        lease: WorkerLease,
    ) -> None:
        self.entry = entry
        self.lease = lease
        self.ack = EndCursor()
        self.processed = EndCursor()
        self.held_end = math.inf
        self.health = WorkerHealth()
        self.unlisted_at: float | None = None
        self.drain_ends_at: float | None = None
        self.last_reply_at = float("-inf")
        self.last_heard_at = float("-inf")
        self.suspected = False
        self.has_orphaned_runs = False
        self._owner = owner
        self._unreachable = False
        self._failed_polls = 0
        self._answer_timer = AnswerTimer()
        self.pending_calls = ReplyTracker()
        self._ends_stored = asyncio.Event()
        self._began_in_term = False
        self._incarnation_at = float("-inf")

    @property
    def name(self) -> str:
        """The worker's ID."""
        return self.entry.name

    @property
    def incarnation(self) -> int:
        """The newest incarnation that answered; 0 if none did."""
        return self.processed.incarnation

    @property
    def is_registered(self) -> bool:
        """Whether the entry is that of the incarnation that answers.

        A worker may restart as one of another kind, with other labels and another
        capacity.  Its answers show the restart before its entry is read.
        """
        return self.incarnation == self.entry.incarnation

    def usable(self, now: float) -> bool:
        """Return whether the worker may get new work, overdue calls not considered."""
        if (
            not self.incarnation
            or not self.is_registered
            or self.entry.draining
            or self.suspected
            or self.has_orphaned_runs
        ):
            return False
        if self.unlisted_at is not None and now - self.unlisted_at > _UNLISTED_GRACE_S:
            return False
        return now - self.last_reply_at < _SILENCE_LIMIT_S

    @property
    def newest_incarnation(self) -> int:
        """The newest incarnation that an answer or the entry shows."""
        return max(self.incarnation, self.entry.incarnation)

    def is_gone(self, now: float, after_s: float) -> bool:
        """Return whether the worker left for good, and its last lease has expired.

        :param after_s: how long it must have been neither registered nor heard.
        """
        if self.unlisted_at is None or not self._unreachable:
            return False
        last_at = max(self.unlisted_at, self.last_heard_at)
        return now - last_at > after_s and now > self.lease.expires_at

    def has_restarted_since(self, incarnation: int) -> bool:
        """Return whether an answer or the entry shows another incarnation by now.

        :param incarnation: one that was in the entry before.
        """
        is_later = self.incarnation > incarnation
        return is_later or self.entry.incarnation != incarnation

    def set_entry(self, entry: WorkerEntry) -> None:
        """Take over the worker's newest entry."""
        was_registered = self.is_registered
        self.entry, self.unlisted_at = entry, None
        if self.is_registered and not was_registered:
            waited_s = boot_time() - self._incarnation_at
            log(
                "worker.registered",
                worker=self.name,
                life=entry.incarnation,
                waited_ms=round(waited_s * 1000),
            )

    def lease_until(self) -> float:
        """Return the end of a lease granted now, on the worker's clock.

        The lease of a worker with a late answer is not extended.  Until it has expired,
        no task that may run on the worker may start elsewhere.
        """
        now = boot_time()
        is_late = self.pending_calls.overdue_since(now) is not None
        return self.lease.grant(now, extends=not is_late)

    @property
    def storable_ends(self) -> EndCursor:
        """The ends that may be acknowledged once the job table is stored."""
        number = int(min(self.processed.number, self.held_end - 1))
        return EndCursor(self.incarnation, number)

    def hold_ends(self) -> None:
        """Acknowledge no further ends before the worker's next reply was handled."""
        self.held_end = self.ack.number + 1

    def set_ack(self, stored: EndCursor) -> None:
        """Record that ends are stored; those of an earlier incarnation are ignored.

        The worker may have restarted while they were being stored.
        """
        if stored.incarnation != self.incarnation:
            log("worker.ack_outdated", worker=self.name, ack=stored.number)
        self.ack = self.ack.advanced_to(stored)
        self._ends_stored.set()

    def on_order_answer(
        self, incarnation: int, clock_s: float | None, now: float
    ) -> None:
        """Handle a worker's answer to an order.

        :param incarnation: the incarnation that answered; 0 if the answer does not say.
        :param clock_s: the worker's clock, or ``None`` if it was not reported.
        """
        if incarnation > self.incarnation:
            self._begin_incarnation(incarnation)
        if clock_s is not None:
            self.lease.read_clock(incarnation, clock_s, now)
        self.last_heard_at = now
        self.pending_calls.note_reply()
        self.suspected = False

    def _begin_incarnation(self, incarnation: int) -> None:
        """Record that the worker restarted; it numbers its ends from 1 again.

        Either a poll reply or the answer to an order may show this first.  The next
        poll must not carry the acknowledgement for the old incarnation: the new one
        would delete ends that nobody has read, and finished tasks would run again.
        """
        restarted = bool(self.incarnation)
        self._began_in_term = restarted
        self._incarnation_at = boot_time()
        if restarted:
            log(
                "worker.restarted",
                worker=self.name,
                life=incarnation,
                registered=self.entry.incarnation,
            )
        self.lease.begin_incarnation(incarnation)
        self.ack = self.processed = EndCursor(incarnation)
        self.held_end = math.inf
        if restarted:
            # The first answer in a term says nothing about a restart, and must not
            # discard what an earlier lead learned about the worker.
            self._owner.on_incarnation(self)

    def _forget_expired_incarnation(self, now: float) -> None:
        """Take the next incarnation that replies as the first one, whatever its number.

        Its number may be lower than that of the last one for good.  Once no run is left
        of the last one and its lease has expired, nothing depends on their order.
        """
        has_runs = bool(self._owner.job_table.worker_runs.get(self.name))
        if has_runs or now <= self.lease.expires_at:
            return
        log("worker.number_fell", worker=self.name, life=self.incarnation)
        self.ack = self.processed = EndCursor()
        self.held_end = math.inf
        self._owner.on_incarnation(self)

    async def run(self) -> None:
        """Poll the worker until cancelled."""
        while True:
            try:
                answered = await self._try_poll()
            except Exception as exc:
                # If the link ended here, the worker's lease would be neither
                # renewed nor ever found expired, and its tasks would wait forever.
                log("link.failed", level="error", worker=self.name, error=repr(exc))
                answered = False
            if not answered:
                await asyncio.sleep(_RETRY_S)

    async def _try_poll(self) -> bool:
        """Poll once; return whether the worker gave a valid reply."""
        try:
            await self._poll_once()
        except WorkerUnreachableError as exc:
            self._on_poll_failed(str(exc))
            return False
        except _LatePollError:
            # The next poll tells whether the worker is lost.
            self._failed_polls += 1
            return True
        except WorkerFencedError:
            self._owner.on_fenced(self.name)
            return False
        return not self._failed_polls

    async def _poll_once(self) -> None:
        sent_at = boot_time()
        # The tasks of a lost worker may start elsewhere only after its last lease
        # has expired.  Renewing the lease of an unreachable worker would delay
        # that.  A worker that is alive answers the next poll at once.
        renews = (
            self.lease.can_be_granted
            and not self._failed_polls
            and self._owner.may_renew()
        )
        until = self.lease_until() if renews else None
        wait_s = self._poll_wait_s()
        # After a failure the worker may have a new incarnation, which numbers its
        # ends from 1 again.  Acknowledging none is always safe.
        ack = EndCursor() if self._failed_polls else self.ack
        call = self.pending_calls.note_sent(sent_at + wait_s)
        polling = self._owner.workers.poll(
            self.entry, self._owner.fence, ack, until, wait_s
        )
        try:
            reply = await self._await_reply(polling, wait_s)
        except (WorkerUnreachableError, _LatePollError):
            self.pending_calls.note_unanswered(call, boot_time())
            raise
        finally:
            self.pending_calls.note_finished(call)
        self.pending_calls.note_reply()
        now = self.last_heard_at = boot_time()
        self._note_latency(now - sent_at - wait_s)
        if self._failed_polls == 1 and reply.incarnation == self.incarnation:
            self._owner.lost_calls.record(now)
        self._failed_polls = 0
        if reply.incarnation < self.incarnation:
            # Sent before a restart that another answer has already shown; the next poll
            # is answered by the later incarnation.  If the worker's wall clock went
            # back, it never is, and the tasks there wait until the lease has expired.
            self._on_poll_failed("an earlier incarnation replied")
            self._forget_expired_incarnation(now)
            return
        if reply.incarnation > self.incarnation:
            self._begin_incarnation(reply.incarnation)
        self.lease.read_clock(reply.incarnation, reply.clock_s, now)
        self.last_reply_at = now
        self.suspected = False
        if self._unreachable:
            self._unreachable = False
            log("worker.regained", worker=self.name)
        if self._has_missing_ends(reply):
            self._owner.on_ends_missing(self, reply.ended[0].number)
        self._owner.on_poll(self, reply, sent_at)
        if reply.ended:
            listed = EndCursor(reply.incarnation, reply.ended[-1].number)
            self.processed = self.processed.advanced_to(listed)
        if self.processed != self.ack:
            await self._wait_ends_stored()
            await asyncio.sleep(_BATCH_DELAY_S)

    def _has_missing_ends(self, reply: PollReply) -> bool:
        """Return whether the worker deleted ends that this lead has not read.

        The first ends that are listed in a term follow those that earlier leads read.
        """
        knows_previous = self.processed.number > 0 or self._began_in_term
        if not reply.ended or not knows_previous:
            return False
        return reply.ended[0].number > self.processed.number + 1

    def _poll_wait_s(self) -> float:
        """Return how long the worker may hold the next poll, in seconds."""
        if not self.incarnation or self._failed_polls:
            return 0.0
        runs = self._owner.job_table.worker_runs.get(self.name, {})
        if any(run.stop_reason and not run.confirmed for run in runs.values()):
            return _STOPPING_POLL_S
        if runs and self._owner.lost_calls.are_frequent(boot_time()):
            return _LOSSY_POLL_S
        return _LONG_POLL_S

    def _note_latency(self, took_s: float) -> None:
        """Note how long a reply took beyond the time for which the worker waited.

        One that came before that time does not tell: a run had ended.
        """
        if took_s >= 0:
            self._answer_timer.record(took_s)

    def _reply_timeout_s(self, wait_s: float) -> float | None:
        """Return when to give up a poll; ``None`` leaves that to the client."""
        if self._failed_polls:
            if self._failed_polls % _PATIENT_POLL == 0:
                return None
            return max(FIRST_TIMEOUT_S, self._answer_timer.timeout_s())
        if self._owner.lost_calls.are_frequent(boot_time()):
            return wait_s + self._answer_timer.timeout_s()
        return None

    async def _await_reply(
        self, polling: Coroutine[Any, Any, PollReply], wait_s: float
    ) -> PollReply:
        """Await a poll reply, with a short timeout if the last poll failed."""
        try:
            async with asyncio.timeout(self._reply_timeout_s(wait_s)):
                return await polling
        except TimeoutError as exc:
            if not self._failed_polls:
                raise _LatePollError from exc
            raise WorkerUnreachableError(
                f"worker {self.name} did not answer a poll in time"
            ) from exc

    async def _wait_ends_stored(self) -> None:
        self._ends_stored.clear()
        try:
            # Unlike asyncio.wait_for, this does not swallow a cancellation that
            # arrives just as the event is set.  The link would then never end.
            async with asyncio.timeout(_UNSTORED_PAUSE_S):
                await self._ends_stored.wait()
        except TimeoutError:
            log("worker.ends_unstored", level="debug", worker=self.name)

    def _on_poll_failed(self, error: str) -> None:
        now = boot_time()
        self.suspected = True
        self._failed_polls += 1
        if not self._unreachable:
            self._unreachable = True
            log("worker.lost", level="warning", worker=self.name, error=error[:200])
        self._owner.on_unreachable(self)
        if now > self.lease.expires_at and self._owner.job_table.worker_runs.get(
            self.name
        ):
            log("worker.lapsed", level="warning", worker=self.name)
            self._owner.job_table.expire_lease(self.name, now, self.lease.longest_s)
