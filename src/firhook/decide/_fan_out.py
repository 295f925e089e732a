"""Who tells whom of new records."""

from collections.abc import Mapping, Sequence

import attrs

from firhook.decide._election import Candidate, succession_order

#: Instances next in line for the lead that hold everything, so that one of them
#: leads at once although the other went with the lead.
STANDBYS = 2
#: A zone with fewer instances to tell is told directly: a relay would add a hop
#: and save the lead next to nothing.
MIN_RELAYED = 3

#: Digests are gathered for so long at least; callers see a job's end so much later.
MIN_DIGEST_DELAY_S = 0.015
#: Instances beyond so many make it longer, up to the most.
_DELAY_SCALE_PEERS = 40
_MAX_DIGEST_DELAY_S = 0.05


def digest_delay_s(peers: int) -> float:
    """Return how long the lead gathers what it hands on to so many instances.

    What it costs the cell is a message to each of them each time; what it takes from
    callers is half of that time in the mean.
    """
    wanted_s = MIN_DIGEST_DELAY_S * peers / _DELAY_SCALE_PEERS
    return min(max(wanted_s, MIN_DIGEST_DELAY_S), _MAX_DIGEST_DELAY_S)


@attrs.frozen(slots=True)
class FanOut:
    """How the lead reaches the other instances.

    :ivar standbys: those that are told every record whole.
    :ivar relays: for each of some zones the instance that passes digests on, and
        those to which it does.
    :ivar direct: those that are told digests by the lead itself.
    """

    standbys: tuple[str, ...]
    relays: tuple[tuple[str, tuple[str, ...]], ...]
    direct: tuple[str, ...]


def plan_fan_out(
    candidates: Sequence[Candidate], lead: str, unfit: Mapping[str, float]
) -> FanOut:
    """Return how the lead tells the others what it learns.

    Load: 97 instances, and a lead that writes 400 states of jobs a second, each
    some kilobytes long.  Harm: told to all of them by the lead they fill the most of
    its link; advice, orders and the lead's own heartbeat wait behind them, and on a
    thinner link the lead is replaced although nothing is wrong.

    :param unfit: instances that did not pass on what they were told, or that are
        busy with their start, each with the time until which it is passed over.
    """
    others = [c for c in candidates if c.name != lead]
    line = [c.name for c, _ in succession_order(candidates, lead)]
    standbys = tuple(name for name in line if name != lead)[:STANDBYS]
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
    """Return the strongest fit instance of a zone, if possible no standby.

    If none is fit, the one that was passed over for longest: told directly, a zone
    would add to the load that may have made them all late.
    """
    best = min(
        members,
        key=lambda c: (unfit.get(c.name, 0.0), -c.strength, c.name in standbys, c.name),
    )
    return best.name
