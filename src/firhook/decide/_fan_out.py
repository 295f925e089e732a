"""Plans how the lead distributes new records to the other instances.

The standbys receive every record in full.  The other instances receive digests:
the part of the records that they need to answer callers.
"""

from collections.abc import Mapping, Sequence

import attrs

from firhook.decide._election import Candidate, succession_order

#: Candidates next in order that hold full replicas.  With two, one of them can take
#: over at once even if the other fails together with the lead.
STANDBYS = 2
#: The lead sends directly to zones with fewer recipients: a relay would add a hop
#: and save the lead almost nothing.
MIN_RELAYED = 3

#: Digests are batched for at least this long, which delays the notice of a job's end
#: to callers.
MIN_DIGEST_DELAY_S = 0.015
#: The delay grows with the number of peers beyond this, up to the maximum.
_DELAY_SCALE_PEERS = 40
_MAX_DIGEST_DELAY_S = 0.05


def digest_delay_s(peers: int) -> float:
    """Return how long the lead batches digests before it sends them, in seconds.

    Each batch costs the cell one message per peer.  Batching delays callers by half
    of this time on average.

    :param peers: the number of instances that receive the digests.
    """
    wanted_s = MIN_DIGEST_DELAY_S * peers / _DELAY_SCALE_PEERS
    return min(max(wanted_s, MIN_DIGEST_DELAY_S), _MAX_DIGEST_DELAY_S)


@attrs.frozen(slots=True)
class FanOut:
    """The routes by which the lead reaches the other instances.

    :ivar standbys: instances that receive every record in full.
    :ivar relays: for some zones, the instance that forwards digests and the
        instances it forwards them to.
    :ivar direct: instances to which the lead sends digests itself.
    """

    standbys: tuple[str, ...]
    relays: tuple[tuple[str, tuple[str, ...]], ...]
    direct: tuple[str, ...]


def standby_names(candidates: Sequence[Candidate], lead: str) -> tuple[str, ...]:
    """Return the instances that receive every record in full, in order."""
    order = [c.name for c, _ in succession_order(candidates, lead)]
    return tuple(name for name in order if name != lead)[:STANDBYS]


def plan_fan_out(
    candidates: Sequence[Candidate], lead: str, unfit: Mapping[str, float]
) -> FanOut:
    """Return the routes by which the lead distributes new records.

    In a cell with 97 instances the lead may write 400 job states a second of some
    kilobytes each.  If it sent all of them to every instance itself, they would fill
    most of its link.  Advice, orders and the lead's own heartbeat would queue behind
    them, and on a slower link the lead would be replaced although it is healthy.

    :param unfit: instances that failed to forward messages or are still starting,
        each with the time until which it is not chosen as a relay.
    """
    others = [c for c in candidates if c.name != lead]
    standbys = standby_names(candidates, lead)
    by_zone: dict[str, list[Candidate]] = {}
    for row in others:
        by_zone.setdefault(row.zone, []).append(row)
    relays: list[tuple[str, tuple[str, ...]]] = []
    direct: list[str] = []
    for zone in sorted(by_zone):
        members = [c.name for c in by_zone[zone] if c.name not in standbys]
        relay = _choose_relay(by_zone[zone], standbys, unfit)
        if len(members) < MIN_RELAYED:
            direct += members
        else:
            relays.append((relay, tuple(n for n in members if n != relay)))
    return FanOut(standbys, tuple(relays), tuple(direct))


def _choose_relay(
    members: Sequence[Candidate], standbys: Sequence[str], unfit: Mapping[str, float]
) -> str:
    """Return the strongest fit instance of a zone, preferably not a standby.

    If none is fit, return the one whose exclusion ends first.  Sending to the zone
    directly would add to the load that may have delayed them all.
    """
    best = min(
        members,
        key=lambda c: (unfit.get(c.name, 0.0), -c.strength, c.name in standbys, c.name),
    )
    return best.name
