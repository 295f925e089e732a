"""Chooses the instance through which a request to the adviser is sent.

The adviser answers the requests of each calling machine one after the other.  So
each instance is a slot with a queue of its own.
"""

import math
from collections.abc import Iterable, Sequence

import attrs

#: How long an instance that did not answer is avoided, at first and at most.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
#: A request may queue at a slot for as long as its own answer takes, or for this
#: long if that is more.  The adviser then has work during the round trip.  A request
#: that would queue longer is held back instead, so that a more urgent one can
#: overtake it.
MIN_QUEUE_TIME_S = 0.06
#: A request is much faster than another if its answer takes this many times less.
CLASS_FACTOR = 3.0
#: Past demand counts with the weight ``exp(-age / _DECAY_S)``.
_DECAY_S = 2.0
#: A request whose answer takes longer is slow, whatever else is requested.
_SLOW_ANSWER_S = 0.1
#: Waiting requests should be answered within this time.
_BACKLOG_TARGET_S = 0.25
#: Slots reserved for each second of answers that are requested per second.  Requests
#: arrive in bursts, and each of them would wait at a slot that is always busy.
_SLOTS_PER_LOAD = 1.5


@attrs.define(slots=True, eq=False)
class AdviserSlot:
    """An instance through which requests to the adviser are sent.

    :ivar busy_until: when its last request will be answered.
    :ivar backoff_until: until when it is avoided after a failure.
    :ivar failures: how many requests in a row it left unanswered.
    :ivar overdue_count: how many of its requests are overdue.
    """

    name: str
    busy_until: float = 0.0
    backoff_until: float = 0.0
    failures: int = 0
    overdue_count: int = 0

    def note_overdue(self) -> None:
        """Record that an answer is overdue.

        When answers are late, for example because of a saturated link, a request
        that was given up still occupies the adviser in this instance's queue.  If
        the instance counted as free, the next request would wait behind it and be
        given up too, so that the adviser's work would be wasted.
        """
        self.overdue_count += 1

    def clear_overdue(self) -> None:
        """Record that an overdue answer arrived after all, or never will."""
        self.overdue_count -= 1

    def note_failure(self, now: float) -> None:
        """Record that the instance did not answer, and back off exponentially.

        An instance that has crashed looks idle.  Without the backoff it would be
        chosen again and again, and each of its requests would wait in vain.
        """
        self.backoff_until = now + min(
            INITIAL_BACKOFF_S * 2**self.failures, MAX_BACKOFF_S
        )
        self.failures += 1
        self.busy_until = now

    def note_answer(self) -> None:
        """Record that the instance answered."""
        self.failures = 0


@attrs.define(slots=True, eq=False)
class _Demand:
    """The demand for one kind of request.

    :ivar cost_s: how long the newest request's answer takes.
    :ivar sum_s: decayed sum of the seconds of answers that were requested.
    :ivar at: when the sum was last updated.
    :ivar waiting_s: seconds of answers that wait for a slot now.
    """

    cost_s: float
    sum_s: float = 0.0
    at: float = 0.0
    waiting_s: float = 0.0

    def add(self, cost_s: float, now: float) -> None:
        self.cost_s = cost_s
        self.sum_s = self._decayed_sum_s(now) + cost_s
        self.at = now

    def slots(self, now: float) -> float:
        """Return how many slots the incoming and the waiting requests need."""
        rate = self._decayed_sum_s(now) / _DECAY_S
        return _SLOTS_PER_LOAD * rate + self.waiting_s / _BACKLOG_TARGET_S

    def _decayed_sum_s(self, now: float) -> float:
        return self.sum_s * math.exp(-(now - self.at) / _DECAY_S)


class SlotPlan:
    """Decides how many slots are reserved for requests with faster answers.

    Answers take 9 ms, 80 ms or 480 ms.  Fast requests come in bursts of five times
    their usual rate, and a new lead requests advice again for everything that waits.
    With a small fixed number of reserved slots, fast requests waited there for
    seconds behind each other and behind medium ones, while slow requests occupied
    all other slots.  After a takeover two thirds of the workers were idle for a
    second while 160 ticket requests waited.  So as many slots are reserved for
    fast requests as these need, and slow requests share the rest.
    """

    def __init__(self) -> None:
        self._demands: dict[str, _Demand] = {}

    def record_request(self, kind: str, cost_s: float, now: float) -> None:
        """Record a new request.

        :param kind: requests of one kind take about equally long to answer.
        :param cost_s: how long the answer takes, in seconds.
        """
        self._demands.setdefault(kind, _Demand(cost_s)).add(cost_s, now)

    def set_waiting(self, waiting: Iterable[tuple[str, float]]) -> None:
        """Set the requests that wait for a slot, as pairs of kind and cost."""
        for demand in self._demands.values():
            demand.waiting_s = 0.0
        for kind, cost_s in waiting:
            demand = self._demands.setdefault(kind, _Demand(cost_s))
            demand.waiting_s += cost_s

    def reserved_slots(self, cost_s: float, slots: int, now: float) -> int:
        """Return how many slots a request must leave to faster ones.

        At least a quarter of the slots remains for it; else it might never be sent.

        :param cost_s: how long the request's answer takes, in seconds.
        :param slots: how many slots are usable.
        """
        faster = [
            d for d in self._demands.values() if _is_much_faster(d.cost_s, cost_s)
        ]
        if not faster:
            # Leaves a slot for the first fast request, as none was made yet.
            return min(1, slots // 4) if cost_s > _SLOW_ANSWER_S else 0
        needed = math.ceil(sum(d.slots(now) for d in faster))
        return min(max(needed, 1), slots * 3 // 4)


def _is_much_faster(one_s: float, other_s: float) -> bool:
    return one_s * CLASS_FACTOR <= other_s


def choose_slot(
    slots: Iterable[AdviserSlot], cost_s: float, plan: SlotPlan, now: float
) -> AdviserSlot | None:
    """Return the slot that answers a request first; ``None`` if all are full."""
    usable: Sequence[AdviserSlot] = sorted(
        (
            slot
            for slot in slots
            if slot.backoff_until <= now and not slot.overdue_count
        ),
        key=lambda s: s.name,
    )
    allowed = usable[plan.reserved_slots(cost_s, len(usable), now) :]
    best = min(allowed, key=lambda s: max(s.busy_until, now), default=None)
    if best is None or best.busy_until - now > max(cost_s, MIN_QUEUE_TIME_S):
        return None
    return best
