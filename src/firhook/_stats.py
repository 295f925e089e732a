"""Waiting times by team and class, and what was refused."""

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

#: 1 microsecond to one hour, to two significant digits: about 20 KB each, so
#: that 120 teams of three classes stay within the memory of an instance.
_LOW_US, _HIGH_US, _DIGITS = 1, 3_600_000_000, 2


def _new() -> HdrHistogram:
    return HdrHistogram(_LOW_US, _HIGH_US, _DIGITS)


class Stats:
    """What one instance has seen since it started."""

    def __init__(self) -> None:
        self.waits: dict[tuple[str, str], HdrHistogram] = {}
        self.refusals: Counter[str] = Counter()

    def answered(self, team: str, klass: str, wait_s: float, took_s: float) -> None:
        """Count a request that got a runner's answer."""
        hist = self.waits.get((team, klass))
        if hist is None:
            hist = self.waits[team, klass] = _new()
        hist.record_value(max(1, int(wait_s * 1e6)))

    def refused(self, code: str) -> None:
        """Count a request that was refused."""
        self.refusals[code] += 1

    def dump(self) -> dict[str, Any]:
        """Return everything as plain data."""
        return {
            "waits": [
                [team, klass, hist.encode().decode()]
                for (team, klass), hist in self.waits.items()
            ],
            "refusals": dict(self.refusals),
        }

    def merge(self, data: dict[str, Any]) -> None:
        """Add what another instance dumped."""
        for team, klass, text in data["waits"]:
            hist = self.waits.setdefault((team, klass), _new())
            hist.decode_and_add(text.encode())
        self.refusals.update(data["refusals"])
