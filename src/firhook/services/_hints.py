"""Sends what a lead has learned to its likely successors, and keeps it there."""

import asyncio
from collections.abc import Callable

from firhook._peer_messages import HintRow, LearnedHints
from firhook.clock import boot_time
from firhook.decide.fan_out import standby_names
from firhook.decide.hints import HintSource, KeptHints, build_hints, rows_fault
from firhook.instance import Instance
from firhook.logs import log
from firhook.meters import Meters
from firhook.services._events import SendToInstance, SendToInstances
from firhook.services._members import candidates

#: The shortest interval between two messages to the standbys, and between two
#: messages to one instance that is offered the lead repeatedly.
SEND_INTERVAL_S = 2.0
#: The shortest interval between two log lines about hints dropped for one reason.
_LOG_INTERVAL_S = 10.0


class HintStore:
    """Keeps the newest hints of an instance over the terms that it leads.

    :param known_epoch: returns the newest epoch of a lead that the instance knows of.
    """

    def __init__(self, meters: Meters, known_epoch: Callable[[], int]) -> None:
        self._meters = meters
        self._known_epoch = known_epoch
        self._kept = KeptHints()
        self._logged_at: dict[tuple[str, str], float] = {}
        self._suppressed: dict[tuple[str, str], int] = {}

    def keep(self, hints: LearnedHints) -> None:
        """Keep hints, unless they are invalid or not the newest."""
        fault = self._kept.keep(hints, self._known_epoch(), boot_time())
        if fault:
            self.note_dropped(fault, epoch=hints.epoch, sequence=hints.sequence)

    def usable(self, epoch: int) -> LearnedHints | None:
        """Return the hints for a term that begins, if there are any to use."""
        hints, reason = self._kept.usable(epoch, boot_time())
        if reason:
            self.note_dropped(reason, epoch=epoch)
        return hints

    def note_dropped(self, reason: str, source: str = "", **fields: object) -> None:
        """Count hints that are not used; log a few of them.

        Messages may arrive dropped for one reason many times a second, for example
        those of an old lead that was cut off.
        """
        self._meters.count("hints_dropped", reason)
        now, key = boot_time(), (reason, source)
        if now - self._logged_at.get(key, float("-inf")) < _LOG_INTERVAL_S:
            self._suppressed[key] = self._suppressed.get(key, 0) + 1
            return
        self._logged_at[key] = now
        suppressed = self._suppressed.pop(key, 0)
        if source:
            fields["source"] = source
        log(
            "hints.dropped",
            level="info",
            reason=reason,
            suppressed=suppressed,
            **fields,
        )


class TermHints:
    """Applies hints to the estimators of one term, and sends theirs to successors.

    An estimator that fails is skipped: hints are advisory, and an exception must not
    end a term that works without them.

    :param epoch: the term's epoch.
    """

    def __init__(self, instance: Instance, store: HintStore, epoch: int) -> None:
        self._instance = instance
        self._store = store
        self._epoch = epoch
        self._sources: dict[str, HintSource] = {}
        self._sequence = 0
        self._rows: dict[str, list[HintRow]] = {}
        self._newest: LearnedHints | None = None
        self._reached: set[str] = set()
        self._offered_at: dict[str, float] = {}

    def register(self, source: HintSource) -> None:
        """Add an estimator, before the term has taken over the cell."""
        self._sources[source.name] = source

    def apply(self) -> None:
        """Apply what an earlier lead has learned."""
        hints = self._store.usable(self._epoch)
        if hints is None:
            return
        applied = {}
        for rows in hints.sources:
            source = self._sources.get(rows.name)
            if source is None:
                # A lead of a newer build sends sources that this one does not have.
                self._store.note_dropped("unknown_source")
                continue
            try:
                source.apply_hints(rows.rows)
            except Exception as exc:
                self._store.note_dropped("failed", rows.name, error=repr(exc))
                continue
            applied[rows.name] = len(rows.rows)
            self._instance.meters.count("hints_applied", rows.name, len(rows.rows))
        log("hints.applied", epoch=self._epoch, of_epoch=hints.epoch, rows=applied)

    async def run(self) -> None:
        """Send hints to the standbys while the term lasts, if any have changed."""
        while True:
            await asyncio.sleep(SEND_INTERVAL_S)
            try:
                self._send_to_standbys()
            except Exception as exc:
                self._store.note_dropped("not_sent", error=repr(exc))

    def send_to(self, name: str) -> None:
        """Send the present hints to an instance that is offered the lead."""
        now = boot_time()
        if now - self._offered_at.get(name, float("-inf")) < SEND_INTERVAL_S:
            return
        self._offered_at[name] = now
        try:
            self._update()
            if self._newest is not None:
                self._instance.bus.publish(SendToInstance(name, self._newest))
        except Exception as exc:
            self._store.note_dropped("not_sent", error=repr(exc))

    def _send_to_standbys(self) -> None:
        self._update()
        lead = self._instance.settings.name
        standbys = standby_names(candidates(self._instance.replica), lead)
        names = tuple(name for name in standbys if name not in self._reached)
        self._reached.intersection_update(standbys)
        if names and self._newest is not None:
            self._instance.bus.publish(SendToInstances(self._newest, names))
            self._reached.update(names)

    def _update(self) -> None:
        """Build a new message if what was learned has changed.

        Until something was learned there is none: it would replace what an earlier
        lead sent to the standbys.  The instance keeps its own messages for the case
        that it loses the lead and leads again.
        """
        for name, source in self._sources.items():
            self._read_rows(name, source)
        learned = {name: rows for name, rows in self._rows.items() if rows}
        hints = build_hints(self._epoch, self._sequence + 1, learned)
        if hints.sources == (self._newest.sources if self._newest else ()):
            return
        self._sequence, self._newest = hints.sequence, hints
        self._reached.clear()
        self._store.keep(hints)

    def _read_rows(self, name: str, source: HintSource) -> None:
        """Read what an estimator has learned; if it fails, its last rows are kept."""
        try:
            rows = list(source.to_hints())
            fault = rows_fault(rows)
        except Exception as exc:
            self._store.note_dropped("failed", name, error=repr(exc))
            return
        if fault:
            self._store.note_dropped(fault, name)
            return
        self._rows[name] = rows
