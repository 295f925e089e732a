"""Division of the runners' slots among instances without coordination."""

from collections import Counter
from collections.abc import Mapping, Sequence

import attrs

#: Each instance keeps at least this fraction of an equal split even without work,
#: so its first request need not wait for the next gossip.  A larger fraction would
#: leave more slots idle when few instances receive all the work.
MIN_PART_FRACTION = 1 / 16
#: Exponent of the correction of a team's share by its recent usage.
_CORRECTION_EXPONENT = 2.0


def fair_amounts(
    capacity: float, wanted: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Divide a capacity by weighted max-min fairness.

    Nobody gets more than it wants; the remainder is divided among the others by
    weight.

    :return: the amount due to each name.
    """
    due: dict[str, float] = {}
    remaining = capacity
    # Names are satisfied in order of demand per weight.  From the first that
    # cannot be satisfied on, all get the same amount per unit of weight.
    order = sorted(wanted, key=lambda n: (wanted[n] / weights.get(n, 1.0), n))
    weight_left = sum(weights.get(n, 1.0) for n in order)
    for name in order:
        weight = weights.get(name, 1.0)
        due[name] = min(wanted[name], remaining * weight / weight_left)
        remaining -= due[name]
        weight_left -= weight
    return due


@attrs.frozen(slots=True)
class FleetUse:
    """Demand and recent usage by team, as the instances report them.

    :param demand: for each instance, running and waiting requests by team.
    :param served_s: slot seconds recently served over the fleet, by team.
    """

    demand: Mapping[str, Mapping[str, float]]
    served_s: Mapping[str, float] = attrs.field(factory=dict)

    def smoothed(self, last: "FleetUse", weight: float) -> "FleetUse":
        """Return this use, smoothed exponentially with the last one.

        :param weight: weight of this use, from 0 to 1.
        """
        return FleetUse(
            {
                name: _interpolate(teams, last.demand.get(name, teams), weight)
                for name, teams in self.demand.items()
            },
            self.served_s,
        )

    def wanted(self) -> dict[str, float]:
        """Return each team's demand over the fleet."""
        total: dict[str, float] = {}
        for teams in self.demand.values():
            for team, n in teams.items():
                total[team] = total.get(team, 0.0) + n
        return total


def _interpolate(
    new: Mapping[str, float], old: Mapping[str, float], weight: float
) -> dict[str, float]:
    mixed = {
        t: old.get(t, 0.0) + weight * (new.get(t, 0.0) - old.get(t, 0.0))
        for t in {*new, *old}
    }
    return {team: n for team, n in mixed.items() if n > 1e-3}


def instance_parts(
    capacity: int, use: FleetUse, shares: Mapping[str, float]
) -> dict[str, float]:
    """Return how many slots are due to each instance.

    Requests may reach the instances unevenly.  Each team is due its fair amount of
    the fleet, distributed over the instances like its requests; an instance is due
    the sum for its teams.  A team's share is then the same wherever its requests
    arrive, and an instance full of a large team's requests takes nothing from a
    small team at another instance.
    """
    instances = sorted(use.demand)
    floor = capacity * MIN_PART_FRACTION / len(instances)
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
    """Return the shares, corrected by the teams' recent usage over the fleet.

    Usage deviates from the shares because parts are whole slots, requests differ
    in length and slots that move are briefly idle.  The correction removes most of
    that error.  It is limited to a factor of two, since usage is known with a lag
    and a stronger correction would oscillate.  Teams that want no more than they
    are due are not corrected.
    """
    wanted = use.wanted()
    due = fair_amounts(capacity, wanted, shares)
    limited = [t for t in due if wanted[t] > due[t] and use.served_s.get(t, 0.0) > 0]
    total_due = sum(due[t] for t in limited)
    total_served = sum(use.served_s[t] for t in limited)
    corrected = dict(shares)
    for team in limited:
        ratio = due[team] / total_due * total_served / use.served_s[team]
        gain = min(max(ratio**_CORRECTION_EXPONENT, 0.5), 2.0)
        corrected[team] = shares.get(team, 1.0) * gain
    return corrected


def local_weights(
    instance: str, use: FleetUse, shares: Mapping[str, float]
) -> dict[str, float]:
    """Return the weights of the teams at one instance.

    A team's weight is its share times the fraction of its requests that arrive
    here, so a team whose requests reach every instance gets no more service in
    total than one whose requests reach a single instance.  The fraction is at
    least an equal one.  Otherwise a team that recently sent little here would have
    almost no weight, its next requests would be refused for their long wait, and
    it would keep sending little.
    """
    wanted = use.wanted()
    own_demand = use.demand.get(instance, {})
    least = 1.0 / max(len(use.demand), 1)
    weights = {team: share * least for team, share in shares.items()}
    for team, n in own_demand.items():
        if n > 0:
            part = max(n / wanted[team], least)
            weights[team] = shares.get(team, 1.0) * part
    return weights


def slot_row(slots: Mapping[str, int]) -> list[str]:
    """Return the runner of every slot, in the order that all instances use.

    The first slots of all runners precede the second slots and so on.  Adjacent
    slots thus belong to different runners, and each instance's range covers many
    runners.
    """
    names = sorted(slots)
    max_slots = max(slots.values(), default=0)
    return [name for d in range(max_slots) for name in names if slots[name] > d]


def runner_parts(
    instance: str, parts: Mapping[str, float], row: Sequence[str]
) -> dict[str, int]:
    """Return how many slots of each runner belong to one instance.

    Each instance takes a contiguous range of the row as long as its part, in order
    of name.  The ranges do not overlap, so the parts of a runner never exceed its
    slots, and a small change of the parts moves few slots.
    """
    start = sum(part for name, part in parts.items() if name < instance)
    slots = row[round(start) : round(start + parts[instance])]
    return dict(Counter(slots))


def usable_parts(history: Sequence[Mapping[str, int]]) -> dict[str, int]:
    """Return the parts that may be used, given the latest ones in order.

    A slot that moves is released at once, and its new holder uses it only after it
    was in all of the latest parts.  That takes longer than gossip needs to arrive,
    so the old holder has computed the same move by then.
    """
    if not history:
        return {}
    latest = history[-1]
    return {k: min(parts.get(k, 0) for parts in history) for k in latest}
