"""When a zone transfers unused capacity under a team's limit to another zone."""

import math
from collections.abc import Mapping

import attrs

#: A zone without demand keeps its base part divided by this, so that a team's
#: first requests there need not wait for a transfer.
RESERVE_DIVISOR = 8
#: Minimum time that a zone keeps received capacity.  Otherwise demand that moves
#: back and forth would write a log record for every change.
MIN_KEEP_S = 3.0


@attrs.frozen(slots=True)
class TeamCapacity:
    """A team's capacity as a zone's lead sees it.

    :param base_part: the zone's part according to the lists, without transfers.
    :param transferable: how much the zone could give away now.
    :param unmet_demand: unmet demand by zone, including this one.
    :param zones: number of zones.
    :param received_at: when this zone last received capacity for the team.
    """

    base_part: int
    transferable: int
    unmet_demand: Mapping[str, int]
    zones: int
    received_at: float


def choose_transfer(
    giver: str, view: TeamCapacity, now: float
) -> tuple[str, int] | None:
    """Return the zone that receives capacity and the amount, or ``None``.

    A team whose demand is in few zones should get most of its limit there within a
    couple of seconds.  Every other zone sees the same unmet demand, so each gives
    an even share of it, and together they do not give more than was wanted.  What
    a zone cannot give remains unmet demand in the next round.

    :param giver: this zone.
    """
    if view.unmet_demand.get(giver, 0) or now - view.received_at < MIN_KEEP_S:
        return None
    demands = sorted((-n, z) for z, n in view.unmet_demand.items() if n > 0)
    if not demands:
        return None
    amount_needed, zone = -demands[0][0], demands[0][1]
    reserve = view.base_part // RESERVE_DIVISOR
    amount = min(
        math.ceil(amount_needed / max(view.zones - 1, 1)), view.transferable - reserve
    )
    return (zone, amount) if amount > 0 else None
