"""Remembers why waiting steps could not start, until that may have changed.

Looking at 2,000 waiting steps took 200 ms a round on 176 workers, and a leader runs up
to a hundred rounds a second.
"""

import math

import attrs

from firhook.cell import Step
from firhook.decide._tickets import AdviceRequest, StepAdvice
from firhook.decide._wait_reasons import WaitReason

#: The set of all workers, see :class:`RoomIndex`.
ALL_WORKERS = -1
#: Each step is looked at again within this time, whatever is remembered.
LOOK_INTERVAL_S = 1.0
#: Steps that were remembered in the same round are looked at again in as many parts.
_PARTS = 16
#: A step that did not start although workers have room, which may be reserved for
#: others or has to stay free for urgent work, is looked at again after this time.
_RETRY_S = 0.25


@attrs.frozen(slots=True)
class Obstacle:
    """Why a step could not start, and what has to change before it may.

    :param reason: the reason that is reported.
    :param until: when to look at the step again in any case.
    :param idle: how many of its tasks waited.
    :param excluded: the workers that must not run it.
    :param request: the request to the adviser that waits to be sent, if any.
    :param advice: the adviser's answers, ``None`` if it needs none.
    """

    reason: WaitReason
    until: float
    idle: int
    excluded: int
    advice: StepAdvice | None
    version: int
    in_flight: bool
    request: AdviceRequest | None

    def may_have_changed(self, step: Step, now: float) -> bool:
        """Return whether something else than capacity may have changed."""
        if now >= self.until or len(step.idle) != self.idle:
            return True
        advice = self.advice
        return advice is not None and (
            advice.version != self.version or advice.in_flight != self.in_flight
        )


class BlockedSteps:
    """The steps that could not start, with what each waits for.

    A step that was passed over is looked at within :data:`LOOK_INTERVAL_S`; the steps
    take their turns in parts, so that no round has to look at all of them.

    :ivar obstacles: what steps wait for, by the step's name.
    """

    def __init__(self) -> None:
        self.obstacles: dict[str, Obstacle] = {}
        self._look_by: dict[str, float] = {}
        self._sequence = 0

    def clear(self, step: Step) -> None:
        """Forget what a step waits for."""
        self.obstacles.pop(step.name, None)

    def must_look(self, step: Step, now: float) -> bool:
        """Return whether it is the turn of a step that was passed over."""
        return self._look_by.get(step.name, math.inf) <= now

    def note_look(self, step: Step) -> None:
        """Note that workers were looked at for a step."""
        self._look_by.pop(step.name, None)

    def pass_over(self, step: Step, now: float) -> float:
        """Note that a step was passed over; return when to look at it."""
        at = self._look_by.get(step.name)
        if at is None:
            at = self._look_by[step.name] = self._next_look(now)
        return at

    def block(
        self,
        step: Step,
        reason: WaitReason,
        now: float,
        *,
        until: float = math.inf,
        excluded: int = 0,
        advice: StepAdvice | None = None,
        request: AdviceRequest | None = None,
        retry: bool = False,
    ) -> None:
        """Remember why a step could not start.

        :param until: when to look at it again at the latest.
        :param retry: whether to look at it soon, as something else than a change of
            the free capacity may let it start.
        """
        until = min(until, self._next_look(now))
        if retry:
            until = min(until, now + _RETRY_S)
        self.obstacles[step.name] = Obstacle(
            reason,
            until,
            len(step.idle),
            excluded,
            advice,
            advice.version if advice is not None else 0,
            advice.in_flight if advice is not None else False,
            request,
        )

    def forget_closed(self, open_steps: dict[str, Step]) -> None:
        """Delete what belongs to steps that do not wait any more."""
        limit = 2 * len(open_steps) + 64
        if len(self.obstacles) > limit:
            self.obstacles = {
                n: o for n, o in self.obstacles.items() if n in open_steps
            }
        if len(self._look_by) > limit:
            self._look_by = {n: t for n, t in self._look_by.items() if n in open_steps}

    def _next_look(self, now: float) -> float:
        """Return a time in the second half of the interval, spread over the steps."""
        self._sequence = (self._sequence + 1) % _PARTS
        return now + LOOK_INTERVAL_S * (0.5 + 0.5 * self._sequence / _PARTS)
