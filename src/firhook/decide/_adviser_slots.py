"""Through which instance the adviser is asked.

The adviser answers each calling machine's questions one after the other, so that
each instance is a seat at which questions wait in turn.
"""

import math
from collections.abc import Iterable, Sequence

import attrs

#: An instance that did not answer is left alone for so long at first, and at
#: the longest.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
#: A question waits at a seat for as long as its own answer takes, or so long if
#: that is more: it hides the way there and back, and what waits longer is better
#: kept back, where a more urgent question may go before it.
MIN_QUEUE_TIME_S = 0.06
#: Questions are alike if the answer to one takes less than so many times as long
#: as that to the other.
CLASS_FACTOR = 3.0
#: The demand of the last seconds counts, each with the weight of ``exp(-age/this)``.
_DECAY_S = 2.0
#: A question that takes so long is slow, whatever else is asked.
_SLOW_ANSWER_S = 0.1
#: What waits should be answered within this time.
_BACKLOG_TARGET_S = 0.25
#: Seats that are kept for a class of questions, for each second of answers that it
#: asks for in a second: they come unevenly, and a seat that is always busy makes
#: each of them wait.
_SLOTS_PER_LOAD = 1.5


@attrs.define(slots=True, eq=False)
class AdviserSlot:
    """An instance through which the adviser can be asked.

    :ivar busy_until: when its last question will be answered.
    :ivar backoff_until: an instance that did not answer is left alone till then.
    :ivar overdue_count: how many of its questions should have been answered by now.
    """

    name: str
    busy_until: float = 0.0
    backoff_until: float = 0.0
    failures: int = 0
    overdue_count: int = 0

    def note_overdue(self) -> None:
        """Take note that an answer is overdue.

        Load: something makes answers late, as a full link does.  Harm: a question
        that is given up still stands at the adviser in this instance's turn.  Taken
        for free, the instance gets the next one, which waits behind it and is given
        up too: the adviser works, and nothing of it is of use.
        """
        self.overdue_count += 1

    def clear_overdue(self) -> None:
        """Take note that an answer came after all, or that none will."""
        self.overdue_count -= 1

    def note_failure(self, now: float) -> None:
        """Take note that it did not answer: it may be gone.

        One that is gone looks as free as can be.  It would be asked again and
        again, and each of its questions would wait for nothing.
        """
        self.backoff_until = now + min(
            INITIAL_BACKOFF_S * 2**self.failures, MAX_BACKOFF_S
        )
        self.failures += 1
        self.busy_until = now

    def note_answer(self) -> None:
        """Take note that it answered."""
        self.failures = 0


@attrs.define(slots=True, eq=False)
class _Demand:
    """What is asked of one kind of question.

    :ivar sum_s: seconds of answers that were asked for, the latest counting most.
    :ivar waiting_s: seconds of answers that wait for a seat now.
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
        """Return how many seats would answer what comes, and soon what waits."""
        rate = self._decayed_sum_s(now) / _DECAY_S
        return _SLOTS_PER_LOAD * rate + self.waiting_s / _BACKLOG_TARGET_S

    def _decayed_sum_s(self, now: float) -> float:
        return self.sum_s * math.exp(-(now - self.at) / _DECAY_S)


class SlotPlan:
    """How many seats are kept for questions that are answered faster.

    Load: questions of 9 ms, 80 ms and 480 ms, of which the fast ones come in bursts
    of five times the usual, and a new lead that has to ask anew about all that
    waits.  Harm: with the same few seats kept at all times, the fast ones wait at
    them for seconds, behind each other and behind the middling ones, while slow
    questions occupy all the others; after a takeover two thirds of the workers stood
    idle for a second before 160 tickets.  So as many seats are kept for the fast
    ones as they need; slow ones have the rest.
    """

    def __init__(self) -> None:
        self._demands: dict[str, _Demand] = {}

    def record_request(self, kind: str, cost_s: float, now: float) -> None:
        """Take note of a question that is to be asked.

        :param kind: questions of one kind are answered alike fast.
        """
        self._demands.setdefault(kind, _Demand(cost_s)).add(cost_s, now)

    def set_waiting(self, waiting: Iterable[tuple[str, float]]) -> None:
        """Take note of all questions that wait for a seat, by kind and length."""
        for demand in self._demands.values():
            demand.waiting_s = 0.0
        for kind, cost_s in waiting:
            demand = self._demands.setdefault(kind, _Demand(cost_s))
            demand.waiting_s += cost_s

    def reserved_slots(self, cost_s: float, slots: int, now: float) -> int:
        """Return how many seats a question has to leave to faster ones.

        A quarter of the seats is left to it at least, or it would never be asked.
        """
        faster = [
            d for d in self._demands.values() if _is_much_faster(d.cost_s, cost_s)
        ]
        if not faster:
            # None were asked yet, and one that comes next should find a seat.
            return min(1, slots // 4) if cost_s > _SLOW_ANSWER_S else 0
        needed = math.ceil(sum(d.slots(now) for d in faster))
        return min(max(needed, 1), slots * 3 // 4)


def _is_much_faster(one_s: float, other_s: float) -> bool:
    return one_s * CLASS_FACTOR <= other_s


def choose_slot(
    slots: Iterable[AdviserSlot], cost_s: float, plan: SlotPlan, now: float
) -> AdviserSlot | None:
    """Return the instance that answers a question first; ``None`` if all are full."""
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
