"""The lead's connection to one worker: its lease, its runs and its ends."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

from firhook.cell import Book, Look, WorkerEntry
from firhook.clock import boot_time
from firhook.decide.suspicion import AnswerWatch
from firhook.decide.worker_health import WorkerHealth
from firhook.errors import WorkerFencedError, WorkerUnreachableError
from firhook.logs import log
from firhook.platform.workers import Workers

#: How long a worker may wait with its answer for a run to end.  Each look is
#: priced; a worker in use answers several times a second in any case.
_WAIT_S = 1.0
#: Between looks while ends wait to be stored: the worker answers such a look at
#: once, as it lists ends that it was not yet told to forget.
_UNSTORED_WAIT_S = 0.4
#: After ends were stored, the next look waits so long, so that ends that come
#: close together are told by one look: four a second and worker end, of which
#: a fifth come within this of another.
_GATHER_S = 0.06
#: Between tries at a worker that does not answer.
_RETRY_S = 0.25
#: A look at a worker that left the last one unanswered waits so long for an answer.
_PROBE_S = 0.5
#: A worker's clock may be 2% slow against ours.
_DRIFT = 1.021
#: On top of a lease, for times that are rounded and answers on their way.
_LAPSE_MARGIN_S = 0.15
#: A worker without an entry is used so long: entries that lapsed while the
#: store was away come back within two seconds of its return.
_UNLISTED_S = 3.0
#: A worker that was silent for so long gets no new work.
_SILENT_S = 2.4


class LinkOwner(Protocol):
    """What a link needs of the lead's term."""

    fence: int
    book: Book
    workers: Workers

    def may_renew(self) -> bool:
        """Return whether leases may be renewed."""

    def on_look(self, link: "WorkerLink", look: Look, sent_at: float) -> None:
        """Take in a worker's answer."""

    def on_life(self, link: "WorkerLink") -> None:
        """Take note that a worker began a life that was not known."""

    def on_fenced(self, worker: str) -> None:
        """Take note that a worker has seen a higher fencing token."""

    def on_dark(self, link: "WorkerLink") -> None:
        """Take note that a worker stopped answering."""


class WorkerLink:
    """Looks at one worker again and again.

    :param lapse_at: when every lease that others may have given it has lapsed.
    :ivar ack: all ends up to this number are stored.
    :ivar processed: all ends up to this number are in the book.
    :ivar life: the life that answered last; 0 if none did.
    :ivar answers: the calls to it that are not answered yet.
    :ivar has_strays: whether runs go on there that the book does not know, left
        by orders that were carried out late.  What they take is not accounted
        for, so that nothing more is started beside them.
    """

    def __init__(
        self, owner: LinkOwner, entry: WorkerEntry, lease_s: float, lapse_at: float
    ) -> None:
        self.entry = entry
        self.life = 0
        self.ack = 0
        self.processed = 0
        self.health = WorkerHealth()
        self.lapse_at = lapse_at
        self.unlisted_at: float | None = None
        self.drain_ends_at: float | None = None
        self.answered_at = float("-inf")
        self.doubted = False
        self.has_strays = False
        self._owner = owner
        self._lease_s = lease_s
        self._clock_s = 0.0
        self._clock_at = 0.0
        self._dark = False
        self._failed = False
        self._lease_end_s = 0.0
        self.answers = AnswerWatch()
        self._stored = asyncio.Event()

    @property
    def name(self) -> str:
        """The worker's id."""
        return self.entry.name

    def usable(self, now: float) -> bool:
        """Return whether new work may be sent there, if none of its answers is late."""
        if not self.life or self.entry.draining or self.doubted or self.has_strays:
            return False
        if self.unlisted_at is not None and now - self.unlisted_at > _UNLISTED_S:
            return False
        return now - self.answered_at < _SILENT_S and self.life >= self.entry.life

    def lease_until(self) -> float:
        """Return the end of a lease given now, on the worker's clock.

        The longest time that the lease may last on our clock is noted: until
        then nothing that may run there may start elsewhere.  So a worker that
        answers late gets no longer lease than it has.
        """
        now = boot_time()
        if self._lease_end_s and self.answers.late_since(now) is not None:
            return self._lease_end_s
        until = self._clock_s + (now - self._clock_at) + self._lease_s
        lapses_at = self._clock_at + (until - self._clock_s) * _DRIFT + _LAPSE_MARGIN_S
        self.lapse_at = max(self.lapse_at, lapses_at)
        self._lease_end_s = until
        return until

    def set_ack(self, number: int) -> None:
        """Take note that all ends up to a number are stored."""
        self.ack = max(self.ack, number)
        self._stored.set()

    def heard(self, life: int, clock_s: float | None, now: float) -> None:
        """Take note of a worker's answer to an order."""
        if life > self.life:
            self._begin_life(life)
        if clock_s is not None:
            self._clock_s, self._clock_at = clock_s, now
        self.doubted = False

    def _begin_life(self, life: int) -> None:
        """Take note that the worker started anew; it numbers its ends from 1.

        Whichever answer tells so first, a look or an order's, the next look
        must not carry the old life's acknowledgement: the new life would forget
        ends that nobody has read, and tasks that are done would run again.
        """
        if self.life:
            log("worker.restarted", worker=self.name, life=life)
        self._lease_end_s = 0.0
        self.life, self.ack, self.processed = life, 0, 0
        self._owner.on_life(self)

    async def run(self) -> None:
        """Look at the worker until cancelled."""
        while True:
            try:
                answered = await self._answered()
            except Exception as exc:
                # Ended by it, the link would neither renew the worker's lease nor
                # ever find that it lapsed, and its tasks would wait for good.
                log("link.failed", level="error", worker=self.name, error=repr(exc))
                answered = False
            if not answered:
                await asyncio.sleep(_RETRY_S)

    async def _answered(self) -> bool:
        """Look once, and return whether the worker answered as it should."""
        try:
            await self._look_once()
        except WorkerUnreachableError as exc:
            self._note_silence(exc)
            return False
        except WorkerFencedError:
            self._owner.on_fenced(self.name)
            return False
        return True

    async def _look_once(self) -> None:
        sent_at = boot_time()
        # The tasks of a worker that is gone are free again only when the last
        # lease that it may have got has lapsed: renewed into the dark, it would
        # put that off.  One that lives answers the next look at once.
        renews = self.life and not self._failed and self._owner.may_renew()
        until = self.lease_until() if renews else None
        wait_s = 0.0 if not self.life or self._failed else _WAIT_S
        # After a failure the worker may be in a new life, whose ends have the
        # numbers of others; acknowledging none is always right.
        ack = 0 if self._failed else self.ack
        call = self.answers.sent(sent_at + wait_s)
        looking = self._owner.workers.poll(
            self.entry, self._owner.fence, ack, until, wait_s
        )
        try:
            look = await self._in_time(looking)
        finally:
            self.answers.over(call)
        self._failed = False
        now = boot_time()
        self._clock_s, self._clock_at = look.clock_s, now
        if look.life < self.life:
            # An answer from before the restart that another one told of.
            return
        if look.life > self.life:
            self._begin_life(look.life)
        self.answered_at = now
        self.doubted = False
        if self._dark:
            self._dark = False
            log("worker.regained", worker=self.name)
        self._owner.on_look(self, look, sent_at)
        if look.ended:
            self.processed = max(self.processed, look.ended[-1].number)
        if self.processed > self.ack:
            await self._wait_stored()
            await asyncio.sleep(_GATHER_S)

    async def _in_time(self, looking: Coroutine[Any, Any, Look]) -> Look:
        """Wait for a look; not for long if the last one was not answered."""
        try:
            async with asyncio.timeout(_PROBE_S if self._failed else None):
                return await looking
        except TimeoutError as exc:
            raise WorkerUnreachableError(f"{self.name}: no answer") from exc

    async def _wait_stored(self) -> None:
        self._stored.clear()
        try:
            # Unlike wait_for, this does not lose a cancelling that comes in the
            # moment in which the event is set: the link would never end.
            async with asyncio.timeout(_UNSTORED_WAIT_S):
                await self._stored.wait()
        except TimeoutError:
            log("worker.ends_unstored", level="debug", worker=self.name)

    def _note_silence(self, exc: Exception) -> None:
        now = boot_time()
        self.doubted = self._failed = True
        if not self._dark:
            self._dark = True
            log("worker.lost", level="warning", worker=self.name, error=str(exc)[:200])
        self._owner.on_dark(self)
        if now > self.lapse_at and self._owner.book.worker_runs.get(self.name):
            log("worker.lapsed", level="warning", worker=self.name)
            self._owner.book.lapse(self.name, now)
