"""Parts of the runners' slots: how the instances share them without asking."""

from collections import Counter
from collections.abc import Mapping, Sequence

import attrs

#: Each instance keeps at least this part of an equal split, though it has no
#: work, so that its first request need not wait for the next gossip.  More
#: would leave more slots idle when few instances get all the work.
FLOOR_PART = 1 / 16
#: How strongly a team's share answers to its having got too little or too much.
_GAIN = 2.0


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

    def smoothed(self, last: "FleetUse", weight: float) -> "FleetUse":
        """Return this use, moved only part of the way from the last one.

        :param weight: 0 to 1, of this use.
        """
        return FleetUse(
            {
                name: _blend(teams, last.demand.get(name, teams), weight)
                for name, teams in self.demand.items()
            },
            self.served_s,
        )

    def wanted(self) -> dict[str, float]:
        """Return the demand of each team over the fleet."""
        total: dict[str, float] = {}
        for teams in self.demand.values():
            for team, n in teams.items():
                total[team] = total.get(team, 0.0) + n
        return total


def _blend(
    new: Mapping[str, float], old: Mapping[str, float], weight: float
) -> dict[str, float]:
    blend = {
        t: old.get(t, 0.0) + weight * (new.get(t, 0.0) - old.get(t, 0.0))
        for t in {*new, *old}
    }
    return {team: n for team, n in blend.items() if n > 1e-3}


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


def corrected_shares(
    capacity: float, use: FleetUse, shares: Mapping[str, float]
) -> dict[str, float]:
    """Return the shares, corrected by what the teams got over the fleet lately.

    Parts are whole slots, teams' requests differ in length and slots that move
    stand idle for a moment; each pulls what a team gets away from its share.
    The correction closes most of that gap.  It stays within a factor of two:
    usage is known with a lag, and more would swing from one side to the other.
    Teams that want no more than they are due are left alone, since they get
    what they want.
    """
    wanted = use.wanted()
    due = fair_amounts(capacity, wanted, shares)
    held = [t for t in due if wanted[t] > due[t] and use.served_s.get(t, 0.0) > 0]
    total_due = sum(due[t] for t in held)
    total_served = sum(use.served_s[t] for t in held)
    corrected = dict(shares)
    for team in held:
        ratio = due[team] / total_due * total_served / use.served_s[team]
        gain = min(max(ratio**_GAIN, 0.5), 2.0)
        corrected[team] = shares.get(team, 1.0) * gain
    return corrected


def local_weights(
    instance: str, use: FleetUse, shares: Mapping[str, float]
) -> dict[str, float]:
    """Return the weights of the teams at one instance.

    A team's weight is its share times the part of its requests that came in
    here: a team whose requests reach every instance has no more turns in all
    than one whose requests reach a single one.  The part counts as an equal
    one at least.  A team that sent little here lately would else weigh next to
    nothing, its next requests would be refused for their long wait, and it
    would go on sending little.
    """
    wanted = use.wanted()
    mine = use.demand.get(instance, {})
    least = 1.0 / max(len(use.demand), 1)
    weights = {team: share * least for team, share in shares.items()}
    for team, n in mine.items():
        if n > 0:
            part = max(n / wanted[team], least)
            weights[team] = shares.get(team, 1.0) * part
    return weights


def slot_row(slots: Mapping[str, int]) -> list[str]:
    """Return the runner of every slot, in the order that all instances use.

    The first slot of every runner comes first, then the second of every
    runner and so on, so that neighbours are slots of different runners and
    each instance's stretch reaches many of them.
    """
    names = sorted(slots)
    depth = max(slots.values(), default=0)
    return [name for d in range(depth) for name in names if slots[name] > d]


def runner_parts(
    instance: str, parts: Mapping[str, float], row: Sequence[str]
) -> dict[str, int]:
    """Return how many slots of each runner are one instance's part.

    Each instance takes a stretch of the row as long as its part, in order of
    names.  The stretches do not overlap, so the parts of one runner never add
    up to more than it has, and a small change of the parts moves few slots.
    """
    start = sum(part for name, part in parts.items() if name < instance)
    stretch = row[round(start) : round(start + parts[instance])]
    return dict(Counter(stretch))


def usable_parts(history: Sequence[Mapping[str, int]]) -> dict[str, int]:
    """Return the parts that may be used, given the latest ones in order.

    A slot that moves is given up at once and used by its new holder only once
    it stood in all of the latest parts.  The time between is longer than a
    gossip takes to arrive, so the old holder has worked out the same move.
    """
    if not history:
        return {}
    latest = history[-1]
    return {k: min(parts.get(k, 0) for parts in history) for k in latest}
