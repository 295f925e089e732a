"""Decides when refused callers should retry.

In a burst of 4 to 8 s a team sends five to seven times its usual work, and some
hundreds of its callers are refused.  With a constant delay all of them would return
at once, and most would be refused again; a caller retries only four times.
"""

import math
from collections import OrderedDict

import attrs

#: Callers give up after this many retries.
MAX_RETRIES = 4
#: The longest delay that callers can be sure to keep to: the Retry-After header holds
#: whole seconds, so that a shorter delay may become this long.
HEADER_STEP_S = 1.0
_MIN_RETRY_S = 0.2
_MAX_RETRY_S = 30.0
#: Limits of the delay while the store is unavailable.
_MIN_OUTAGE_RETRY_S = 0.5
_MAX_OUTAGE_RETRY_S = 4.0
#: The most refused ids that are remembered.
_MAX_IDS = 4096
#: The most virtual queues; 120 teams with a queue for each of eight priorities fit.
_MAX_QUEUES = 1024
#: A promise is kept for a caller that is late by at most this time.
_PROMISE_GRACE_S = 1.5
#: Work is classed by size in steps of this factor; smaller classes return first.
_SIZE_FACTOR = 4.0
_SIZE_CLASSES = 8


@attrs.define(slots=True)
class RefusedCaller:
    """A submission that was refused and may be retried.

    :ivar first_at: when its id was first submitted here.
    :ivar refusals: how often it was refused.
    :ivar return_at: when it was told to retry.
    """

    team: str
    priority: int
    work_core_s: float
    first_at: float
    refusals: int = 0
    return_at: float = 0.0


class ReturnOrder:
    """The order in which the refused callers of one instance retry.

    Each team and priority has virtual queues, one for each size of work, that drain at
    the team's rate times the instance's part of the arrivals.  A refused submission
    joins its queue behind those of its size and smaller ones, and its caller retries
    when it would be through.  So small teams, whose queues are short, and short work
    return first, and equal ones in the order of their arrival.
    """

    def __init__(self) -> None:
        self._callers: OrderedDict[str, RefusedCaller] = OrderedDict()
        self._promised: dict[tuple[str, int], dict[str, RefusedCaller]] = {}
        self._through_at: dict[tuple[str, int], list[float]] = {}

    def find(self, job_id: str) -> RefusedCaller | None:
        """Return what is known of a refused id; ``None`` if it was not refused here."""
        return self._callers.get(job_id)

    def remove(self, job_id: str) -> None:
        """Forget an id that was accepted."""
        caller = self._callers.pop(job_id, None)
        if caller is not None:
            self._withdraw(job_id, caller)

    def _withdraw(self, job_id: str, caller: RefusedCaller) -> None:
        """Remove the promise to a caller."""
        key = (caller.team, caller.priority)
        promised = self._promised.get(key, {})
        promised.pop(job_id, None)
        if not promised:
            self._promised.pop(key, None)

    def promised_core_s(
        self, team: str, priority: int, until: float, now: float
    ) -> float:
        """Return the work of a team's refused callers that are due to retry.

        :param priority: only work of this or a more urgent priority counts.
        :param until: only callers that were told to retry by then count.
        """
        return sum(
            caller.work_core_s
            for (other, urgency), promised in self._promised.items()
            if other == team and urgency <= priority
            for caller in promised.values()
            if now - _PROMISE_GRACE_S <= caller.return_at <= until
        )

    def refuse(
        self,
        job_id: str,
        team: str,
        priority: int,
        work_core_s: float,
        rate_cores: float,
        earliest_s: float,
        latest_s: float,
        now: float,
        random: float,
    ) -> float:
        """Record a refusal and return after how many seconds to retry.

        :param rate_cores: the rate at which this instance's part of the team's work
            drains.
        :param earliest_s: how long the work that waits already needs to drain.
        :param latest_s: the longest delay after which the work is still of value.
        :param random: a number from 0 to 1.
        """
        caller = self._callers.pop(job_id, None)
        if caller is None:
            caller = RefusedCaller(team, priority, work_core_s, now)
        else:
            self._withdraw(job_id, caller)
        delay_s = self._join(
            team, priority, work_core_s, rate_cores, earliest_s, now, random
        )
        if HEADER_STEP_S <= latest_s < delay_s:
            # The queue is longer than the work has value.  The caller retries late in
            # that time, when fewer others may wait, and not all at the same moment.
            latest_s = math.floor(latest_s)
            delay_s = latest_s * (0.5 + 0.5 * random)
        delay_s = min(max(delay_s, _MIN_RETRY_S), _MAX_RETRY_S)
        delay_s = math.ceil(delay_s * 100) / 100
        caller.refusals += 1
        caller.return_at = now + delay_s
        self._callers[job_id] = caller
        self._promised.setdefault((team, priority), {})[job_id] = caller
        if len(self._callers) > _MAX_IDS:
            oldest, dropped = self._callers.popitem(last=False)
            self._withdraw(oldest, dropped)
        return delay_s

    def _join(
        self,
        team: str,
        priority: int,
        work_core_s: float,
        rate_cores: float,
        earliest_s: float,
        now: float,
        random: float,
    ) -> float:
        """Add work to its virtual queue; return the seconds until it is through."""
        if not rate_cores > 0:
            return earliest_s + HEADER_STEP_S * (1 + random)
        if len(self._through_at) >= _MAX_QUEUES:
            self._through_at.pop(next(iter(self._through_at)))
        times = self._through_at.setdefault((team, priority), [now] * _SIZE_CLASSES)
        size = _size_class(work_core_s)
        slot_s = min(work_core_s / rate_cores, _MAX_RETRY_S)
        for larger in range(size, _SIZE_CLASSES):
            begins_at = max(times[larger], now + earliest_s)
            times[larger] = min(begins_at + slot_s, now + 2 * _MAX_RETRY_S)
        # The random part interleaves the callers of several instances, each of which
        # has a queue of its own.
        return times[size] - now + random * slot_s


def _size_class(work_core_s: float) -> int:
    if work_core_s <= 1:
        return 0
    size = 1 + int(math.log(work_core_s, _SIZE_FACTOR))
    return min(size, _SIZE_CLASSES - 1)


def outage_retry_s(unavailable_for_s: float, random: float) -> float:
    """Return after how many seconds to retry while the store is unavailable.

    The delay grows with the outage, as a longer one is likelier to last, and is spread
    by half of it to either side.  With a constant delay all callers of an outage retry
    in the same second.  Its limit lets the four retries of a caller cover an outage of
    16 s.

    :param random: a number from 0 to 1.
    """
    delay_s = min(max(unavailable_for_s, _MIN_OUTAGE_RETRY_S), _MAX_OUTAGE_RETRY_S)
    return delay_s * (0.5 + random)
