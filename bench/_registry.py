"""The registry of measures."""

from collections.abc import Callable, Iterable
from typing import Any

Measure = Callable[[], Iterable[dict[str, Any]]]

MEASURES: dict[str, Measure] = {}


def measure(name: str) -> Callable[[Measure], Measure]:
    """Return a decorator that registers a measure.

    A measure yields one map for each line of output.  The map states what was
    measured, the baseline, the unit and the target, if there is one.

    :param name: name on the command line.
    """

    def decorate(func: Measure) -> Measure:
        MEASURES[name] = func
        return func

    return decorate
