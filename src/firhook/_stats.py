"""Waiting times, objectives kept and missed, and refusals of one instance."""

import time
from array import array
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

#: 0.1 ms to ten minutes, to two significant digits: about 10 KB each, so that
#: two for each of 120 teams of three classes take 7 MB.  Finer than 0.1 ms is
#: below what a caller over the network can notice.
_LOW_US, _HIGH_US, _DIGITS, _WORD_BYTES = 100, 600_000_000, 2, 4
#: The library decodes into words of this size, and only adds histograms of one
#: word size quickly: 35 us against 390 us, for each class of each instance.
_DECODED_WORD_BYTES = 8

#: Histograms are changed this often; a report merges the last two.
_HISTOGRAM_S = 1800

#: Counts are kept by the minute for the longest window.
_SLOT_S = 60
WINDOWS_S = {"5m": 300, "30m": 1800, "1h": 3600, "6h": 21600}
_SLOTS = max(WINDOWS_S.values()) // _SLOT_S

#: Refusals with these codes are the caller's own doing, so that they burn no
#: error budget; every other refusal is a request that the service missed.
_CALLERS_FAULTS = (
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
    """Return whether a refusal with the code counts as a miss."""
    return not code.startswith(_CALLERS_FAULTS)


def new_histogram(word_bytes: int = _WORD_BYTES) -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(_LOW_US, _HIGH_US, _DIGITS, word_size=word_bytes)


def fleet_histogram() -> HdrHistogram:
    """Return an empty histogram to which decoded ones are added."""
    return new_histogram(_DECODED_WORD_BYTES)


class MinuteCounts:
    """A ring of answered, slow and refused requests by the minute.

    Arrays of machine integers, since 120 teams of three classes in maps of
    Python integers would take most of an instance's memory; and one array for
    each kind, so that a window is the sum of one or two slices.
    """

    def __init__(self) -> None:
        self._kinds = tuple(array("I", bytes(4 * _SLOTS)) for _ in range(3))
        self._latest = 0

    def add(self, minute: int, kind: int) -> None:
        """Count one request in a minute."""
        self._advance(minute)
        self._kinds[kind][minute % _SLOTS] += 1

    def _advance(self, minute: int) -> None:
        """Empty the slots of the minutes that went by since the last one."""
        for passed in range(max(self._latest + 1, minute - _SLOTS + 1), minute + 1):
            for counts in self._kinds:
                counts[passed % _SLOTS] = 0
        self._latest = max(self._latest, minute)

    def sum_window(self, minute: int, window_s: int) -> list[int]:
        """Return answered, slow and refused over a window that ends now."""
        self._advance(minute)
        end = minute % _SLOTS + 1
        start = end - window_s // _SLOT_S
        return [
            sum(counts[max(start, 0) : end]) + sum(counts[start:] if start < 0 else ())
            for counts in self._kinds
        ]


@attrs.define(slots=True, eq=False)
class _RollingHistogram:
    """The histogram in use and the one before it."""

    age: int
    now: HdrHistogram = attrs.field(factory=new_histogram)
    before: HdrHistogram | None = None

    def rotate(self, age: int) -> None:
        """Change histograms if their time is over."""
        if age == self.age:
            return
        self.before = self.now if age == self.age + 1 else None
        self.now, self.age = new_histogram(), age


@attrs.define(slots=True)
class ClassStats:
    """What a report needs of one team and class.

    :ivar waits: waiting times in microseconds over the last half-hour to hour.
    :ivar windows: answered, slow and refused by window.
    """

    waits: HdrHistogram = attrs.field(factory=fleet_histogram)
    windows: dict[str, list[int]] = attrs.field(
        factory=lambda: {name: [0, 0, 0] for name in WINDOWS_S}
    )


@attrs.define(slots=True)
class FleetStats:
    """The sum of what several instances dumped."""

    classes: dict[ClassKey, ClassStats] = attrs.field(factory=dict)
    refusals: Counter[str] = attrs.field(factory=Counter)

    def merge(self, data: dict[str, Any]) -> None:
        """Add what an instance dumped."""
        for team, klass, text, windows in data["classes"]:
            stats = self.classes.setdefault((team, klass), ClassStats())
            stats.waits.decode_and_add(text.encode())
            for name, counts in windows.items():
                sums = stats.windows.setdefault(name, [0, 0, 0])
                for kind, count in enumerate(counts):
                    sums[kind] += count
        self.refusals.update(data["refusals"])


class Stats:
    """What one instance has seen.

    A request is held against the objective that is in force when it is
    answered, so that a later change of the plan does not rewrite the past.
    Counts are exact at the objective; the histograms only show how waits are
    spread.  They start small and appear when a team first sends something.

    :param clock: monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self.objective_ms: Callable[[str, str], float] = lambda team, klass: 1000.0
        self.counters: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.answers: Counter[ClassKey] = Counter()
        self.wait_sums_s: Counter[ClassKey] = Counter()
        self._recent: dict[ClassKey, _RollingHistogram] = {}
        self._counts: dict[ClassKey, MinuteCounts] = {}

    def count_answer(self, team: str, klass: str, wait_s: float, took_s: float) -> None:
        """Count a request that got a runner's answer."""
        key = (team, klass)
        age = int(self._clock() // _HISTOGRAM_S)
        recent = self._recent.get(key)
        if recent is None:
            recent = self._recent[key] = _RollingHistogram(age)
        recent.rotate(age)
        recent.now.record_value(min(max(_LOW_US, int(wait_s * 1e6)), _HIGH_US))
        self.answers[key] += 1
        self.wait_sums_s[key] += wait_s
        slow = wait_s * 1000 > self.objective_ms(team, klass)
        self._count(key, SLOW if slow else ANSWERED)

    def count_refusal(self, code: str, team: str = "", klass: str = "standard") -> None:
        """Count a request that was refused.

        :param team: empty if the request came without a valid key.
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
        """Add to a counter that the metrics show as ``firhook_NAME_total``."""
        self.counters[name] += amount

    def dump(self) -> dict[str, Any]:
        """Return everything as plain data for :meth:`FleetStats.merge`."""
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
        recent = self._recent.get(key)
        if recent is not None:
            recent.rotate(int(self._clock() // _HISTOGRAM_S))
            merged.add(recent.now)
            if recent.before is not None:
                merged.add(recent.before)
        return merged
