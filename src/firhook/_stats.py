"""Waiting times, met and missed objectives, and refusals of one instance."""

import time
from array import array
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

#: Histograms cover 0.1 ms to ten minutes with two significant digits.  Each takes
#: about 10 KB, so two for each of 120 teams with three classes take 7 MB.  Callers
#: over a network cannot notice differences below 0.1 ms.
_LOW_US, _HIGH_US, _DIGITS, _WORD_BYTES = 100, 600_000_000, 2, 4
#: The library decodes into words of this size.  Adding histograms of the same word
#: size takes 35 us, of different sizes 390 us, for each class of each instance.
_DECODED_WORD_BYTES = 8

#: Histograms are rotated after this time; a report merges the last two.
_HISTOGRAM_PERIOD_S = 1800

#: Counts are kept per minute, for the length of the longest window.
_SLOT_S = 60
WINDOWS_S = {"5m": 300, "30m": 1800, "1h": 3600, "6h": 21600}
_SLOTS = max(WINDOWS_S.values()) // _SLOT_S

#: Refusals with these code prefixes are caller errors and burn no error budget.
#: Every other refusal counts as a miss of the service.
_CALLER_ERROR_PREFIXES = (
    "key.",
    "request.",
    "once.in_progress",
    "once.mismatch",
    "job.",
    "list.",
    "config.",
)

ANSWERED, SLOW, REFUSED = range(3)

ClassKey = tuple[str, str]


def counts_as_miss(code: str) -> bool:
    """Return whether a refusal with this code counts as a miss."""
    return not code.startswith(_CALLER_ERROR_PREFIXES)


def new_histogram(word_bytes: int = _WORD_BYTES) -> HdrHistogram:
    """Return an empty histogram of times in microseconds."""
    return HdrHistogram(_LOW_US, _HIGH_US, _DIGITS, word_size=word_bytes)


def fleet_histogram() -> HdrHistogram:
    """Return an empty histogram for adding decoded histograms."""
    return new_histogram(_DECODED_WORD_BYTES)


class MinuteCounts:
    """Ring buffers that count the requests of each minute by their result.

    The results are answered in time (``ANSWERED``), answered later than the
    objective (``SLOW``) and refused (``REFUSED``).

    The buffers are arrays of machine integers: dictionaries of Python integers for
    120 teams with three classes would take most of an instance's memory.  There
    is one array per kind, so that a window is the sum of one or two slices.
    """

    def __init__(self) -> None:
        self._kinds = tuple(array("I", bytes(4 * _SLOTS)) for _ in range(3))
        self._latest = 0

    def add(self, minute: int, kind: int) -> None:
        """Count one request.

        :param minute: number of the current minute.
        :param kind: ``ANSWERED``, ``SLOW`` or ``REFUSED``.
        """
        self._advance(minute)
        self._kinds[kind][minute % _SLOTS] += 1

    def _advance(self, minute: int) -> None:
        """Clear the slots of the minutes that passed since the last call."""
        for passed in range(max(self._latest + 1, minute - _SLOTS + 1), minute + 1):
            for counts in self._kinds:
                counts[passed % _SLOTS] = 0
        self._latest = max(self._latest, minute)

    def sum_window(self, minute: int, window_s: int) -> list[int]:
        """Return the counts of a window that ends now: answered, slow and refused."""
        self._advance(minute)
        end = minute % _SLOTS + 1
        start = end - window_s // _SLOT_S
        return [
            sum(counts[max(start, 0) : end]) + sum(counts[start:] if start < 0 else ())
            for counts in self._kinds
        ]


@attrs.define(slots=True, eq=False)
class _RollingHistogram:
    """The histogram of the current period and the one of the period before."""

    period: int
    current: HdrHistogram = attrs.field(factory=new_histogram)
    previous: HdrHistogram | None = None

    def rotate(self, period: int) -> None:
        """Start a new histogram if the period has changed."""
        if period == self.period:
            return
        self.previous = self.current if period == self.period + 1 else None
        self.current, self.period = new_histogram(), period


@attrs.define(slots=True)
class ClassStats:
    """Statistics of one team and class for a report.

    :ivar waits: waiting times in microseconds over the last 30 to 60 minutes.
    :ivar windows: requests answered in time, answered late and refused, by window.
    """

    waits: HdrHistogram = attrs.field(factory=fleet_histogram)
    windows: dict[str, list[int]] = attrs.field(
        factory=lambda: {name: [0, 0, 0] for name in WINDOWS_S}
    )


@attrs.define(slots=True)
class FleetStats:
    """Merged statistics of several instances."""

    classes: dict[ClassKey, ClassStats] = attrs.field(factory=dict)
    refusals: Counter[str] = attrs.field(factory=Counter)

    def merge(self, data: dict[str, Any]) -> None:
        """Add the dump of an instance, as returned by :meth:`Stats.dump`."""
        for team, klass, text, windows in data["classes"]:
            stats = self.classes.setdefault((team, klass), ClassStats())
            stats.waits.decode_and_add(text.encode())
            for name, counts in windows.items():
                sums = stats.windows.setdefault(name, [0, 0, 0])
                for kind, count in enumerate(counts):
                    sums[kind] += count
        self.refusals.update(data["refusals"])


class Stats:
    """Statistics of one instance.

    A request is compared with the objective in force when it is answered, so a
    later change of the plan does not alter past results.  The counts are exact
    with respect to the objective; the histograms only show the distribution of
    waiting times.  Both are allocated when a team sends its first request.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self.objective_ms: Callable[[str, str], float] = lambda team, klass: 1000.0
        self.counters: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.answers: Counter[ClassKey] = Counter()
        self.wait_sums_s: Counter[ClassKey] = Counter()
        self._histograms: dict[ClassKey, _RollingHistogram] = {}
        self._counts: dict[ClassKey, MinuteCounts] = {}

    def count_answer(self, team: str, klass: str, wait_s: float, took_s: float) -> None:
        """Count a request that a runner answered."""
        key = (team, klass)
        period = int(self._clock() // _HISTOGRAM_PERIOD_S)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = _RollingHistogram(period)
        histogram.rotate(period)
        histogram.current.record_value(min(max(_LOW_US, int(wait_s * 1e6)), _HIGH_US))
        self.answers[key] += 1
        self.wait_sums_s[key] += wait_s
        slow = wait_s * 1000 > self.objective_ms(team, klass)
        self._count(key, SLOW if slow else ANSWERED)

    def count_refusal(self, code: str, team: str = "", klass: str = "standard") -> None:
        """Count a refused request.

        :param team: empty if the request had no valid key.
        """
        self.refusals[code] += 1
        if team and counts_as_miss(code):
            self._count((team, klass), REFUSED)

    def _count(self, key: ClassKey, kind: int) -> None:
        counts = self._counts.get(key)
        if counts is None:
            counts = self._counts[key] = MinuteCounts()
        counts.add(int(self._clock() // _SLOT_S), kind)

    def count(self, name: str, amount: float = 1) -> None:
        """Add to a counter that is exported as the metric ``firhook_NAME_total``."""
        self.counters[name] += amount

    def dump(self) -> dict[str, Any]:
        """Return all statistics as plain data for :meth:`FleetStats.merge`."""
        minute = int(self._clock() // _SLOT_S)
        return {
            "classes": [
                [
                    *key,
                    self._merged_waits(key).encode().decode(),
                    {n: counts.sum_window(minute, s) for n, s in WINDOWS_S.items()},
                ]
                for key, counts in self._counts.items()
            ],
            "refusals": dict(self.refusals),
        }

    def _merged_waits(self, key: ClassKey) -> HdrHistogram:
        merged = new_histogram()
        histogram = self._histograms.get(key)
        if histogram is not None:
            histogram.rotate(int(self._clock() // _HISTOGRAM_PERIOD_S))
            merged.add(histogram.current)
            if histogram.previous is not None:
                merged.add(histogram.previous)
        return merged
