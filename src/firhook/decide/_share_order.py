"""The order in which the steps of one band of urgency are placed in a crowded cell."""

import heapq
from collections import deque
from collections.abc import Callable, Iterable

from firhook.cell import Step
from firhook.decide._team_shares import TeamShares

#: Places at most a number of a step's tasks, or a gang as a whole; returns whether more
#: of the step's tasks may be placed in this round.
PlacePart = Callable[[Step, int], bool]


def place_by_share(
    steps: Iterable[Step],
    shares: TeamShares,
    is_blocked: Callable[[Step], bool],
    place_part: PlacePart,
) -> None:
    """Place steps of teams below their share first, then those of the others.

    Without this a team at nine times its usual rate takes the capacity of each task
    that ends, since most of the waiting steps are its own.  The use is compared again
    after each part of a step, because a single step may need several times a share.

    What the teams below their share leave is divided so that the use of the others,
    for their weight, rises evenly.

    :param steps: the most urgent first.
    :param is_blocked: whether a step certainly cannot start; costs little.
    """
    over: dict[str, deque[Step]] = {}
    for step in steps:
        if is_blocked(step):
            continue
        team, need, has_more = step.job.team, step.spec.need, True
        while has_more and not shares.is_over(team):
            has_more = place_part(step, shares.tasks_until_over(team, need))
        if has_more:
            over.setdefault(team, deque()).append(step)
    heap = [(shares.relative_use(team), team) for team in over]
    heapq.heapify(heap)
    while heap:
        _, team = heapq.heappop(heap)
        queue = over[team]
        while queue and is_blocked(queue[0]):
            queue.popleft()
        if not queue:
            continue
        step = queue[0]
        next_use = heap[0][0] if heap else float("inf")
        limit = shares.tasks_until(team, step.spec.need, next_use)
        if not place_part(step, limit):
            queue.popleft()
        heapq.heappush(heap, (shares.relative_use(team), team))
