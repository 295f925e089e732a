"""What the adviser said of each step, and when to ask it again."""

import math
from collections.abc import Container, Iterable

import attrs

from firhook.cell import Advice, Step

#: A ticket is not used in the last part of its time: the assignment has to be
#: stored and the start has to arrive before it ends, which takes 15 to 30 ms at
#: a calm store; a start with a ticket that is out of date is refused and the
#: work waits for another answer.
_MIN_MARGIN_S = 0.12
#: The most that is left unused, as a part of the time for which tickets hold.
_MAX_MARGIN_FRACTION = 0.4
#: The weight of the newest start in the mean of how long starts take, and in that
#: of how far they are from it, as for the timeouts of TCP (RFC 6298).
_MEAN_WEIGHT, _DEVIATION_WEIGHT = 0.125, 0.25
_DEVIATIONS = 4
#: The adviser takes so many workers in one call.
MAX_WORKERS_PER_REQUEST = 100
#: An answer that costs so little is asked for only when there is room, since
#: it then comes before anything else could take the room.
FAST_ANSWER_S = 0.1


@attrs.frozen(slots=True)
class Ticket:
    """Permission to run a step's tasks on one life of a worker."""

    text: str
    incarnation: int
    expires_at: float


@attrs.define(slots=True, eq=False)
class StepAdvice:
    """What is known of one step.

    The adviser's yes or no to a worker never changes; only tickets end.

    :ivar permitted: the newest ticket of each worker that may run it.
    :ivar denied: the workers that may not.
    :ivar in_flight: whether an answer is on its way.
    :ivar queued: whether the next question is waiting for an instance to ask it.
    :ivar widen_at: when to look next whether to ask about more workers.
    """

    permitted: dict[str, Ticket] = attrs.field(factory=dict)
    denied: set[str] = attrs.field(factory=set)
    in_flight: bool = False
    queued: bool = False
    widen_at: float = -math.inf

    def usable_ticket(
        self, worker: str, incarnation: int, usable_until: float
    ) -> Ticket | None:
        """Return a ticket that holds beyond a time."""
        ticket = self.permitted.get(worker)
        if ticket is None or ticket.incarnation != incarnation:
            return None
        return ticket if ticket.expires_at > usable_until else None

    def expire_ticket(self, worker: str) -> None:
        """Forget a ticket that was refused; the yes stays known."""
        ticket = self.permitted.get(worker)
        if ticket is not None:
            self.permitted[worker] = attrs.evolve(ticket, expires_at=0.0)

    def has_answer_for(self, worker: str) -> bool:
        """Return whether the adviser has answered for a worker."""
        return worker in self.permitted or worker in self.denied

    def answered_count(self) -> int:
        """Return for how many workers the adviser has answered."""
        return len(self.permitted) + len(self.denied)

    def record_answer(
        self,
        asked: Iterable[tuple[str, int]],
        advice: Advice,
        answered_at: float,
    ) -> None:
        """Take in an answer.

        Answers may overtake each other; of two tickets the one that lasts is kept.

        :param asked: the workers that were asked about, with their lives.
        """
        for worker, incarnation in asked:
            text = advice.tickets.get(worker)
            if text is None:
                self.denied.add(worker)
                self.permitted.pop(worker, None)
            else:
                expires_at = answered_at + advice.valid_s
                known = self.permitted.get(worker)
                if (
                    known is None
                    or known.incarnation != incarnation
                    or known.expires_at <= expires_at
                ):
                    self.permitted[worker] = Ticket(text, incarnation, expires_at)


class TicketTable:
    """The advice on all steps that wait, and how soon a ticket has to be used."""

    def __init__(self) -> None:
        self._steps: dict[str, StepAdvice] = {}
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def record_start(self, took_s: float) -> None:
        """Take note of how long it took from an assignment to the worker's answer."""
        if self._mean_s is None:
            self._mean_s, self._deviation_s = took_s, took_s / 2
            return
        off_s = abs(took_s - self._mean_s)
        self._deviation_s += _DEVIATION_WEIGHT * (off_s - self._deviation_s)
        self._mean_s += _MEAN_WEIGHT * (took_s - self._mean_s)

    def margin_s(self, valid_s: float) -> float:
        """Return how long before its end a ticket is not used any more.

        Load: a full link, or a slow store, on which a start takes half a second.
        Harm: with a margin for calm times one start in ten was refused for its
        ticket, and whole gangs fell with it.

        :param valid_s: for how long tickets hold.
        """
        expected_s = (self._mean_s or 0.0) + _DEVIATIONS * self._deviation_s
        return min(max(expected_s, _MIN_MARGIN_S), valid_s * _MAX_MARGIN_FRACTION)

    def advice_for(self, step: Step) -> StepAdvice:
        """Return what is known of a step."""
        advice = self._steps.get(step.name)
        if advice is None:
            advice = self._steps[step.name] = StepAdvice()
        return advice

    def ticket_text(self, step: Step, worker: str) -> str:
        """Return the newest ticket of a step for a worker, if there is one."""
        ticket = self.advice_for(step).permitted.get(worker)
        return ticket.text if ticket is not None else ""

    def retain_jobs(self, jobs: Container[str]) -> None:
        """Forget the steps of jobs that are over.

        A step that has started may need its advice again, when a run ends
        otherwise than done.
        """
        for name in [n for n in self._steps if n.partition(".")[0] not in jobs]:
            if not self._steps[name].in_flight:
                del self._steps[name]


@attrs.frozen(slots=True)
class AdviceRequest:
    """Workers to ask the adviser about for a step.

    :param cost_s: how long the answer takes.
    :param order_key: wishes with a lower value go first.
    """

    step: Step
    workers: tuple[tuple[str, int], ...]
    cost_s: float
    order_key: float


def next_advice_request(
    step: Step,
    advice: StepAdvice,
    workers: list[tuple[str, int]],
    has_room: bool,
    now: float,
    margin_s: float,
) -> AdviceRequest | None:
    """Return what to ask the adviser about a step now, if anything.

    Load: every step needs an answer before it starts, and its tickets end
    while it waits for room.  Harm: with the answer asked for only once there is
    room, a step of a slow queue (about 1 s an answer) leaves that room empty
    for a second or loses it to others; asked for all the time, the answers
    would take the adviser's time from the steps that can start.

    All workers are asked about at first, as each costs a hundredth of the call.
    Later only those that may run it are, ahead of the end of their tickets if
    the answer is slow, and once there is room if it is fast.

    :param workers: those that could run it, with their lives; the ones with
        most room first.
    :param has_room: whether one of those that may run it has room.
    :param margin_s: how long before its end a ticket is not used any more.
    """
    policy = step.job.queue.advice
    if policy is None or advice.in_flight:
        return None
    usable = [w for w in workers if w[0] in advice.permitted][:MAX_WORKERS_PER_REQUEST]
    if not usable:
        unknown = [w for w in workers if not advice.has_answer_for(w[0])][
            :MAX_WORKERS_PER_REQUEST
        ]
        return _request(step, unknown, now) if unknown else None
    ends_at = min(_expires_at(advice, w) for w in usable)
    cost_s = policy.answer_s(len(usable))
    if cost_s > FAST_ANSWER_S:
        due = ends_at - margin_s - cost_s <= now
    else:
        due = has_room and ends_at - margin_s <= now
    return _request(step, usable, now) if due else None


def more_workers_request(
    step: Step, advice: StepAdvice, workers: Iterable[tuple[str, int]], now: float
) -> AdviceRequest | None:
    """Return the question about workers that were not asked about yet, if any are.

    Load: a new lead asks about a gang when it has heard a few of the workers, or a
    gang is wider than what may run it of those that one question takes.  Harm: with
    only those asked about again that may run it, it waits for room on them for ever,
    while all others stand idle.
    """
    unknown = [w for w in workers if not advice.has_answer_for(w[0])][
        :MAX_WORKERS_PER_REQUEST
    ]
    return _request(step, unknown, now)


def _expires_at(advice: StepAdvice, worker: tuple[str, int]) -> float:
    ticket = advice.permitted[worker[0]]
    return ticket.expires_at if ticket.incarnation == worker[1] else 0.0


def _request(
    step: Step, workers: list[tuple[str, int]], now: float
) -> AdviceRequest | None:
    policy = step.job.queue.advice
    if not workers or policy is None:
        return None
    cost_s = policy.answer_s(len(workers))
    latest = step.latest_start()
    # What can still be in time goes before what cannot.
    order_key = latest if latest > now else latest + 1e6
    return AdviceRequest(step, tuple(workers), cost_s, order_key)
