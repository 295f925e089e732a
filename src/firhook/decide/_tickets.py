"""Keeps the adviser's answers for each step and decides when to ask again."""

import math
from collections.abc import Container, Iterable, Sequence

import attrs

from firhook.cell import Advice, Step
from firhook.decide._start_rejections import StartRejections

#: A ticket is not used for this long before it expires: the assignment has to be
#: stored and the start has to arrive before then, which takes 15 to 30 ms when the
#: store is fast.  A start with an expired ticket is refused and the work has to wait
#: for another answer.
_MIN_MARGIN_S = 0.12
#: A start is not sent any more if its ticket expires sooner than this.
_MIN_SENDING_S = 0.2
#: The maximum margin, as a fraction of the validity of tickets.
_MAX_MARGIN_FRACTION = 0.4
#: The weights of the newest start in the moving averages of the start latency and of
#: its deviation, as for the retransmission timeout of TCP (RFC 6298).
_MEAN_WEIGHT, _DEVIATION_WEIGHT = 0.125, 0.25
_DEVIATIONS = 4
#: The adviser's limit for one call.
MAX_WORKERS_PER_REQUEST = 100
#: An answer this fast is requested only once there is capacity, because it arrives
#: before other work can take the capacity.
FAST_ANSWER_S = 0.1


@attrs.frozen(slots=True)
class Ticket:
    """Permission to run a step's tasks on one incarnation of a worker."""

    text: str
    incarnation: int
    expires_at: float


@attrs.define(slots=True, eq=False)
class StepAdvice:
    """The adviser's answers for one step.

    Whether the adviser permits a worker never changes; only tickets expire.

    :ivar permitted: the newest ticket of each worker that may run the step.
    :ivar denied: the workers that may not run it.
    :ivar in_flight: whether a request awaits its answer.
    :ivar queued: whether the next request waits for a free adviser slot.
    :ivar widen_at: when to check next whether to ask about more workers.
    :ivar version: changes with each answer and each ticket that is expired.
    """

    permitted: dict[str, Ticket] = attrs.field(factory=dict)
    denied: set[str] = attrs.field(factory=set)
    in_flight: bool = False
    queued: bool = False
    widen_at: float = -math.inf
    version: int = 0

    def usable_ticket(
        self, worker: str, incarnation: int, usable_until: float
    ) -> Ticket | None:
        """Return a ticket that stays valid beyond a time, or ``None``."""
        ticket = self.permitted.get(worker)
        if ticket is None or ticket.incarnation != incarnation:
            return None
        return ticket if ticket.expires_at > usable_until else None

    def expire_ticket(self, worker: str) -> None:
        """Expire a ticket that was refused; the worker stays permitted."""
        ticket = self.permitted.get(worker)
        if ticket is not None:
            self.version += 1
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
        """Store an answer of the adviser.

        Answers may overtake each other, so the ticket that expires last is kept.

        :param asked: the workers that were asked about, with their incarnations.
        :param answered_at: when the validity of the tickets begins.
        """
        self.version += 1
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
    """Where the waiting steps may start, and the margin before tickets expire.

    :ivar rejections: the starts that workers rejected as malformed.
    """

    def __init__(self) -> None:
        self.rejections = StartRejections()
        self._steps: dict[str, StepAdvice] = {}
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def record_start(self, took_s: float) -> None:
        """Record how long it took from an assignment to the worker's answer."""
        if self._mean_s is None:
            self._mean_s, self._deviation_s = took_s, took_s / 2
            return
        offset_s = abs(took_s - self._mean_s)
        self._deviation_s += _DEVIATION_WEIGHT * (offset_s - self._deviation_s)
        self._mean_s += _MEAN_WEIGHT * (took_s - self._mean_s)

    def margin_s(self, valid_s: float) -> float:
        """Return how long before its expiry a ticket is no longer used, in seconds.

        Over a saturated link or with a slow store a start may take half a second.
        With a margin for fast starts, one start in ten was refused because its
        ticket had expired, and whole gangs failed with it.

        :param valid_s: the validity of tickets, in seconds.
        """
        expected_s = (self._mean_s or 0.0) + _DEVIATIONS * self._deviation_s
        return min(max(expected_s, _MIN_MARGIN_S), valid_s * _MAX_MARGIN_FRACTION)

    def advice_for(self, step: Step) -> StepAdvice:
        """Return the advice for a step; it is empty if there is none yet."""
        advice = self._steps.get(step.name)
        if advice is None:
            advice = self._steps[step.name] = StepAdvice()
        return advice

    def may_arrive(self, step: Step, worker: str, now: float) -> bool:
        """Return whether a start that is sent now may arrive with a valid ticket."""
        ticket = self.advice_for(step).permitted.get(worker)
        return ticket is not None and ticket.expires_at - now > _MIN_SENDING_S

    def ticket_text(self, step: Step, worker: str) -> str:
        """Return the newest ticket of a step for a worker, or an empty string."""
        ticket = self.advice_for(step).permitted.get(worker)
        return ticket.text if ticket is not None else ""

    def retain_jobs(self, jobs: Container[str]) -> None:
        """Delete the advice for steps of jobs that have ended.

        Advice for a started step is kept until then: it is needed again if a run
        does not complete.

        :param jobs: the ids of the jobs to keep.
        """
        self.rejections.retain_jobs(jobs)
        for name in [n for n in self._steps if n.partition(".")[0] not in jobs]:
            if not self._steps[name].in_flight:
                del self._steps[name]


@attrs.frozen(slots=True)
class AdviceRequest:
    """A request to the adviser about workers for a step.

    :param workers: the workers with their incarnations.
    :param cost_s: how long the answer takes, in seconds.
    :param order_key: requests with a lower value go first.
    """

    step: Step
    workers: tuple[tuple[str, int], ...]
    cost_s: float
    order_key: float


def next_advice_request(
    step: Step,
    advice: StepAdvice,
    workers: list[tuple[str, int]],
    has_capacity: bool,
    now: float,
    margin_s: float,
) -> AdviceRequest | None:
    """Return the request to send to the adviser for a step now, if any.

    Every step needs advice before it starts, and its tickets may expire while it
    waits for capacity.  If advice were requested only once there is capacity, a step
    of a queue with slow answers (about 1 s) would leave that capacity idle for a
    second or lose it to others.  If it were requested all the time, the answers
    would take the adviser's time from steps that can start.

    The first request covers all workers, up to the adviser's limit, because each adds
    only a hundredth of the call's duration.  Later requests cover only permitted
    workers: before their tickets expire if the answer is slow, and once there is
    capacity if it is fast.

    :param workers: workers that suit the step, with their incarnations, those with
        most free capacity first.
    :param has_capacity: whether a permitted worker has capacity for the step.
    :param margin_s: how long before its expiry a ticket is no longer used.
    """
    policy = step.job.queue.advice
    if policy is None or advice.in_flight:
        return None
    usable = [w for w in workers if w[0] in advice.permitted][:MAX_WORKERS_PER_REQUEST]
    if not usable:
        unknown = [w for w in workers if not advice.has_answer_for(w[0])][
            :MAX_WORKERS_PER_REQUEST
        ]
        return make_request(step, unknown, now) if unknown else None
    expires_at = min(_expires_at(advice, w) for w in usable)
    cost_s = policy.answer_s(len(usable))
    if cost_s > FAST_ANSWER_S:
        due = expires_at - margin_s - cost_s <= now
    else:
        due = has_capacity and expires_at - margin_s <= now
    return make_request(step, usable, now) if due else None


def more_workers_request(
    step: Step, advice: StepAdvice, workers: Iterable[tuple[str, int]], now: float
) -> AdviceRequest | None:
    """Return a request about workers without an answer yet, if there are any.

    A new lead may request advice for a gang before most workers have answered its
    polls, or a gang may need more workers than one request finds permitted.  If only
    permitted workers were asked about again, the gang would wait for them forever
    while all other workers are idle.
    """
    unknown = [w for w in workers if not advice.has_answer_for(w[0])][
        :MAX_WORKERS_PER_REQUEST
    ]
    return make_request(step, unknown, now)


def _expires_at(advice: StepAdvice, worker: tuple[str, int]) -> float:
    ticket = advice.permitted[worker[0]]
    return ticket.expires_at if ticket.incarnation == worker[1] else 0.0


def make_request(
    step: Step, workers: Sequence[tuple[str, int]], now: float
) -> AdviceRequest | None:
    """Return a request about workers for a step; ``None`` if there are none."""
    policy = step.job.queue.advice
    if not workers or policy is None:
        return None
    cost_s = policy.answer_s(len(workers))
    latest_start = step.latest_start()
    # Steps that can still be in time go before those that cannot.
    order_key = latest_start if latest_start > now else latest_start + 1e6
    return AdviceRequest(step, tuple(workers), cost_s, order_key)
