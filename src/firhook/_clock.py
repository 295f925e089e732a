"""The clocks that firhook goes by."""

import time
from collections.abc import Callable


def _read_boot_clock() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_boot_clock: Callable[[], float] = _read_boot_clock
_unix_clock: Callable[[], float] = time.time


def boot_time() -> float:
    """Return seconds since the machine started, suspensions included.

    The monotonic clock leaves out the time in which a machine was suspended.
    A lead that measured its lease by it would wake up and go on giving orders
    with a lease that lapsed while it slept; the time of day, which does count
    suspensions, may jump.
    """
    return _boot_clock()


def unix_time() -> float:
    """Return the time of day in seconds since 1970; it may jump."""
    return _unix_clock()


def set_clocks(
    boot: Callable[[], float] | None = None, unix: Callable[[], float] | None = None
) -> None:
    """Go by other clocks, for tests in virtual time; by the real ones if none."""
    global _boot_clock, _unix_clock
    _boot_clock = boot or _read_boot_clock
    _unix_clock = unix or time.time
