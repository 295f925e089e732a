"""Parts of the runners' slots: how the instances share them without asking."""

from collections.abc import Mapping, Sequence

import attrs

#: Each instance keeps at least this part of an equal split, though it has no
#: work, so that its first request need not wait for the next gossip.  More
#: would leave more slots idle when few instances get all the work.
FLOOR_PART = 1 / 16


def fair_amounts(
    capacity: float, wanted: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Share a capacity by weighted max-min fairness.

    Nobody gets more than it wants; what the modest leave is shared among the
    others by weight.

    :return: what each one is due.
    """
    due: dict[str, float] = {}
    left = capacity
    # Whoever wants least for its weight is satisfied first; from the first
    # that cannot be satisfied on, all get the same for each unit of weight.
    order = sorted(wanted, key=lambda n: (wanted[n] / weights.get(n, 1.0), n))
    weight_left = sum(weights.get(n, 1.0) for n in order)
    for name in order:
        weight = weights.get(name, 1.0)
        due[name] = min(wanted[name], left * weight / weight_left)
        left -= due[name]
        weight_left -= weight
    return due


@attrs.frozen(slots=True)
class FleetUse:
    """What the instances said they have, and use lately, by team.

    :param demand: for each instance, requests running and waiting by team.
    :param served_s: slot seconds served lately over the fleet, by team.
    """

    demand: Mapping[str, Mapping[str, float]]
    served_s: Mapping[str, float] = attrs.field(factory=dict)

    def wanted(self) -> dict[str, float]:
        """Return the demand of each team over the fleet."""
        total: dict[str, float] = {}
        for teams in self.demand.values():
            for team, n in teams.items():
                total[team] = total.get(team, 0.0) + n
        return total


def instance_parts(
    capacity: int, use: FleetUse, shares: Mapping[str, float]
) -> dict[str, float]:
    """Return how many slots each instance is due.

    Made for requests that reach the instances unevenly.  Each team is due its
    fair amount of the fleet, spread over the instances as its requests are;
    an instance is due what its teams are due there.  A team's share is then
    the same wherever its requests come in, and an instance full of a large
    team's requests takes nothing from the small team at the next one.
    """
    instances = sorted(use.demand)
    floor = capacity * FLOOR_PART / len(instances)
    wanted = use.wanted()
    due = fair_amounts(capacity - floor * len(instances), wanted, shares)
    parts = dict.fromkeys(instances, floor)
    for name in instances:
        for team, n in use.demand[name].items():
            if n > 0:
                parts[name] += due[team] * n / wanted[team]
    spare = (capacity - sum(parts.values())) / len(instances)
    return {name: part + spare for name, part in parts.items()}


def local_weights(
    instance: str, capacity: int, use: FleetUse, shares: Mapping[str, float]
) -> dict[str, float]:
    """Return the weights of the teams at one instance.

    A team's weight is its share times the part of its requests that came in
    here, corrected by how far what it got over the fleet lately is from what
    it was due.  The correction stays within a factor of two: usage is known
    with a lag, and more would swing from one side to the other.
    """
    wanted = use.wanted()
    due = fair_amounts(capacity, wanted, shares)
    total_due = sum(due.values())
    served = {team: use.served_s.get(team, 0.0) for team in due}
    total_served = sum(served.values())
    weights = {}
    for team, n in use.demand.get(instance, {}).items():
        if n <= 0:
            continue
        weight = shares.get(team, 1.0) * n / wanted[team]
        # Only a team that wants more than its due is held to it.
        if wanted[team] > due[team] and total_served > 0 and served[team] > 0:
            ratio = (due[team] / total_due) / (served[team] / total_served)
            weight *= min(max(ratio, 0.5), 2.0)
        weights[team] = weight
    return weights


def runner_parts(
    instance: str, parts: Mapping[str, float], slots: Mapping[str, int]
) -> dict[str, int]:
    """Return how many slots of each runner are one instance's part.

    All slots are laid in one row, the first of every runner, then the second
    of every runner and so on; each instance takes a stretch of it as long as
    its part, in order of names.  The stretches do not overlap, so the parts
    of one runner never add up to more than it has; neighbours in the row are
    slots of different runners, so each instance reaches many runners; and a
    small change of the parts moves few slots.
    """
    start = 0.0
    for name in sorted(parts):
        if name == instance:
            break
        start += parts[name]
    first, last = round(start), round(start + parts[instance])
    result: dict[str, int] = {}
    at = 0
    for depth in range(max(slots.values(), default=0)):
        row = [key for key in sorted(slots) if slots[key] > depth]
        for key in row[max(first - at, 0) : max(last - at, 0)]:
            result[key] = result.get(key, 0) + 1
        at += len(row)
    return result


def usable_parts(history: Sequence[Mapping[str, int]]) -> dict[str, int]:
    """Return the parts that may be used, given the latest ones in order.

    A slot that moves is given up at once and used by its new holder only once
    it stood in all of the latest parts.  The time between is longer than a
    gossip takes, so the old holder has heard of the move as well.
    """
    if not history:
        return {}
    latest = history[-1]
    return {k: min(parts.get(k, 0) for parts in history) for k in latest}
