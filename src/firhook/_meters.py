"""Counters and latency histograms of one instance."""

from collections import Counter

from hdrh.histogram import HdrHistogram

#: 0.1 ms to ten minutes with two significant digits: about 10 KB per histogram.
_LOW_US, _HIGH_US, _DIGITS = 100, 600_000_000, 2
#: Maximum number of label values per metric.  Further values are counted under
#: "other", so that a caller who invents names cannot exhaust the memory.
MAX_LABELS = 40
OTHER_LABEL = "other"


class Meters:
    """The counters and latency histograms of an instance, by name and label."""

    def __init__(self) -> None:
        self.counters: dict[str, Counter[str]] = {}
        self.histograms: dict[str, dict[str, HdrHistogram]] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Increment a counter."""
        counter = self.counters.setdefault(name, Counter())
        if label not in counter and len(counter) >= MAX_LABELS:
            label = OTHER_LABEL
        counter[label] += amount

    def record_duration(self, name: str, label: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        histograms = self.histograms.setdefault(name, {})
        if label not in histograms and len(histograms) >= MAX_LABELS:
            label = OTHER_LABEL
        if label not in histograms:
            histograms[label] = HdrHistogram(_LOW_US, _HIGH_US, _DIGITS)
        value = min(max(int(seconds * 1e6), _LOW_US), _HIGH_US)
        histograms[label].record_value(value)
