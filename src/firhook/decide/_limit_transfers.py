"""When a zone gives spare room under a team's limit to another zone."""

import math
from collections.abc import Mapping

import attrs

#: Of its part by the lists a zone without demand keeps one in so many, so that
#: a team's first requests there run at once and need not wait for a transfer.
RESERVE_DIVISOR = 8
#: A zone that was given room keeps it for this long, in seconds.  Demand that
#: shifts to and fro would otherwise cost the log a record for each shift.
MIN_KEEP_S = 3.0


@attrs.frozen(slots=True)
class TeamCapacity:
    """A team's room as a zone's lead sees it.

    :param home: the zone's part by the lists alone.
    :param spare: how much the zone could give away at this moment.
    :param short: unmet wants by zone, this one included.
    :param zones: how many zones there are.
    :param given_at: when this zone was last given room for the team.
    """

    base_part: int
    transferable: int
    unmet_demand: Mapping[str, int]
    zones: int
    received_at: float


def choose_transfer(me: str, view: TeamCapacity, now: float) -> tuple[str, int] | None:
    """Return the zone to give room to and how much, or ``None``.

    Made for a team whose demand is in few zones: it should get most of its
    limit there within a couple of seconds.  Every other zone sees the same
    want, so each gives its even share of it and all together do not give
    more than was wanted; what a zone without spare cannot give is wanted
    again in the next round.

    :param me: the giving zone.
    """
    if view.unmet_demand.get(me, 0) or now - view.received_at < MIN_KEEP_S:
        return None
    wants = sorted((-n, z) for z, n in view.unmet_demand.items() if n > 0)
    if not wants:
        return None
    need, zone = -wants[0][0], wants[0][1]
    keep = view.base_part // RESERVE_DIVISOR
    amount = min(math.ceil(need / max(view.zones - 1, 1)), view.transferable - keep)
    return (zone, amount) if amount > 0 else None
