"""The clock that leases are measured with."""

import time


def boot_time() -> float:
    """Return seconds since the machine started, suspensions included.

    The monotonic clock leaves out the time in which a machine was suspended.
    A lead that measured its lease by it would wake up and go on giving orders
    with a lease that lapsed while it slept; the time of day, which does count
    suspensions, may jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
