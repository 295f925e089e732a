"""The registry that measures add themselves to."""

from collections.abc import Callable, Iterable
from typing import Any

Measure = Callable[[], Iterable[dict[str, Any]]]

MEASURES: dict[str, Measure] = {}


def measure(name: str) -> Callable[[Measure], Measure]:
    """Register a measure; used as a decorator.

    A measure yields one map for each line it prints.  Each says what was
    measured against which baseline, with its unit and its target if it has
    one.
    """

    def decorate(func: Measure) -> Measure:
        MEASURES[name] = func
        return func

    return decorate
