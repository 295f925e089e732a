"""Bounds and checks of the learned values that a lead sends to its successors.

A lead learns the speeds of workers, the accuracy of estimates and the like within
seconds of crowded load.  A successor that starts without them places short work on
slow workers until it has learned the same again: on a day with three changes of the
lead 956 of 2,650 short jobs were late.  The values are hints: without them the next
lead learns afresh, so that anything doubtful is dropped.
"""

import abc
import math
from collections.abc import Iterable, Mapping, Sequence

from firhook._peer_messages import HintRow, HintRows, LearnedHints

#: The most sources in one message.
MAX_SOURCES = 16
#: The most rows of one source; 910 workers are the size to design for.
MAX_ROWS = 1024
#: The most values in a row, and the most bytes of a string among them.
_MAX_VALUES = 16
_MAX_TEXT_BYTES = 128
#: The largest magnitude of a number.
_MAX_NUMBER = 1e15
#: The most bytes of all rows of a message.  Sent to two standbys every two seconds
#: they take 32 KB/s uncompressed, a twentieth of a link of 5 Mbit/s.
MAX_BYTES = 32 * 1024
#: Hints that arrived longer ago than this are not used: the workers and the load
#: that they describe may have been replaced.
MAX_AGE_S = 600.0


class HintSource(abc.ABC):
    """An estimator whose values outlast a change of the lead.

    :cvar name: identifies the source in messages; the same in all builds.
    """

    name: str

    @abc.abstractmethod
    def to_hints(self) -> Sequence[HintRow]:
        """Return what was learned, as rows of plain values, the most useful first."""

    @abc.abstractmethod
    def apply_hints(self, rows: Sequence[HintRow]) -> None:
        """Start from what an earlier lead learned, and skip rows that are invalid."""


def build_hints(
    epoch: int, sequence: int, sources: Mapping[str, Sequence[HintRow]]
) -> LearnedHints:
    """Return a message within the bounds, with the first rows of each source.

    The bytes are shared evenly; what a small source does not need goes to the others.

    :param sources: valid rows by the name of their source; see :func:`rows_fault`.
    """
    sizes = {name: sum(map(_row_bytes, rows)) for name, rows in sources.items()}
    left = MAX_BYTES
    found: dict[str, tuple[HintRow, ...]] = {}
    names = sorted(sizes, key=lambda name: (sizes[name], name))[:MAX_SOURCES]
    for at, name in enumerate(names):
        rows, taken = _first_rows(sources[name], left // (len(names) - at))
        found[name] = rows
        left -= taken
    ordered = (name for name in sources if name in found)
    return LearnedHints(
        epoch, sequence, tuple(HintRows(name, found[name]) for name in ordered)
    )


def _first_rows(
    rows: Sequence[HintRow], max_bytes: int
) -> tuple[tuple[HintRow, ...], int]:
    """Return the first rows that take at most ``max_bytes``, and what they take."""
    taken = 0
    for at, row in enumerate(rows[:MAX_ROWS]):
        size = _row_bytes(row)
        if taken + size > max_bytes:
            return tuple(rows[:at]), taken
        taken += size
    return tuple(rows[:MAX_ROWS]), taken


def rows_fault(rows: Iterable[HintRow]) -> str:
    """Return why rows must not be used, or an empty string."""
    for row in rows:
        if not isinstance(row, tuple) or not 0 < len(row) <= _MAX_VALUES:
            return "malformed"
        for value in row:
            if isinstance(value, str):
                if len(value.encode(errors="replace")) > _MAX_TEXT_BYTES:
                    return "out_of_range"
            elif type(value) not in (int, float):
                return "malformed"
            elif not math.isfinite(value) or abs(value) > _MAX_NUMBER:
                return "out_of_range"
    return ""


def message_fault(hints: LearnedHints) -> str:
    """Return why a message must not be kept, or an empty string."""
    names = [source.name for source in hints.sources]
    if hints.epoch < 1 or hints.sequence < 1 or len(set(names)) < len(names):
        return "malformed"
    if len(names) > MAX_SOURCES or any(len(s.rows) > MAX_ROWS for s in hints.sources):
        return "too_many_rows"
    for source in hints.sources:
        fault = rows_fault(source.rows)
        if fault:
            return fault
    if sum(_row_bytes(row) for s in hints.sources for row in s.rows) > MAX_BYTES:
        return "too_large"
    return ""


class KeptHints:
    """The newest hints that an instance has received, or has sent as the lead."""

    def __init__(self) -> None:
        self._newest: LearnedHints | None = None
        self._kept_at = 0.0

    def keep(self, hints: LearnedHints, known_epoch: int, now: float) -> str:
        """Keep a message if it is the newest; otherwise return why it is dropped.

        :param known_epoch: the newest epoch of a lead that the instance knows of.
        """
        fault = message_fault(hints)
        if fault:
            return fault
        if hints.epoch < known_epoch:
            return "old_epoch"
        kept = self._newest
        if kept is not None and (hints.epoch, hints.sequence) <= (
            kept.epoch,
            kept.sequence,
        ):
            return "old_sequence"
        self._newest, self._kept_at = hints, now
        return ""

    def usable(self, epoch: int, now: float) -> tuple[LearnedHints | None, str]:
        """Return the hints for a term, or why they are not used.

        :param epoch: the epoch of the term.  Hints of this epoch or a newer one were
            sent by another lead that replaces the term.
        """
        if self._newest is None:
            return None, ""
        if self._newest.epoch >= epoch:
            return None, "newer_epoch"
        if now - self._kept_at > MAX_AGE_S:
            return None, "old"
        return self._newest, ""


def _row_bytes(row: HintRow) -> int:
    """Return the size of a row in msgpack, or up to two bytes more."""
    return 1 + sum(map(_value_bytes, row))


def _value_bytes(value: str | int | float) -> int:
    if isinstance(value, str):
        return 2 + len(value.encode(errors="replace"))
    if isinstance(value, float):
        return 9
    magnitude = abs(value)
    for limit, size in ((32, 1), (128, 2), (1 << 15, 3), (1 << 31, 5)):
        if magnitude < limit:
            return size
    return 9
