"""The clocks that firhook uses."""

import time
from collections.abc import Callable


def _read_boot_clock() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_boot_clock: Callable[[], float] = _read_boot_clock
_unix_clock: Callable[[], float] = time.time


def boot_time() -> float:
    """Return seconds since the machine booted, including time suspended.

    The monotonic clock does not advance while the machine is suspended.  A lead
    that measured its lease with it would resume and keep sending orders although
    its lease had expired during the suspension.  The wall clock does advance, but
    may jump.
    """
    return _boot_clock()


def unix_time() -> float:
    """Return the wall-clock time in seconds since the Unix epoch; it may jump."""
    return _unix_clock()


def set_clocks(
    boot: Callable[[], float] | None = None, unix: Callable[[], float] | None = None
) -> None:
    """Replace the clocks, for tests in virtual time; ``None`` restores the real one."""
    global _boot_clock, _unix_clock
    _boot_clock = boot or _read_boot_clock
    _unix_clock = unix or time.time
