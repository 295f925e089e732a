"""When a zone gives spare room under a team's limit to another zone."""

import math
from collections.abc import Mapping

import attrs

#: Of its part by the lists a zone without demand keeps one in so many, so that
#: a team's first requests there run at once and need not wait for a transfer.
KEEP_SHARE = 8
#: A zone that was given room keeps it for this long, in seconds.  Demand that
#: shifts to and fro would otherwise cost the log a record for each shift.
SETTLE_S = 3.0


@attrs.frozen(slots=True)
class TeamView:
    """A team's room as a zone's lead sees it.

    :param home: the zone's part by the lists alone.
    :param spare: how much the zone could give away at this moment.
    :param short: unmet wants by zone, this one included.
    :param zones: how many zones there are.
    :param given_at: when this zone was last given room for the team.
    """

    home: int
    spare: int
    short: Mapping[str, int]
    zones: int
    given_at: float


def choose_move(me: str, view: TeamView, now: float) -> tuple[str, int] | None:
    """Return the zone to give room to and how much, or ``None``.

    Made for a team whose demand is in few zones: it should get most of its
    limit there within a couple of seconds.  Every other zone sees the same
    want, so each gives its even share of it and all together do not give
    more than was wanted; what a zone without spare cannot give is wanted
    again in the next round.

    :param me: the giving zone.
    """
    if view.short.get(me, 0) or now - view.given_at < SETTLE_S:
        return None
    wants = sorted((-n, z) for z, n in view.short.items() if n > 0)
    if not wants:
        return None
    need, zone = -wants[0][0], wants[0][1]
    keep = view.home // KEEP_SHARE
    amount = min(math.ceil(need / max(view.zones - 1, 1)), view.spare - keep)
    return (zone, amount) if amount > 0 else None
