"""Chooses the peers that answer what an instance's own replica cannot."""

from collections.abc import Sequence

from firhook.decide._election import Candidate, succession_order

#: How many instances are asked the same question, at most.
MAX_LOOKUP_PEERS = 3


def choose_lookup_peers(
    name: str, lead: str, candidates: Sequence[Candidate]
) -> list[str]:
    """Return the instances to ask, in order.

    The lead comes first because it receives every record that is appended.  Strong
    instances come next because they read the log first.  Zones alternate because
    the instances of one zone fail together.

    :param name: of the instance that asks.
    :param lead: the name of the lead, or empty if no heartbeat arrives from it.
    :param candidates: all registered instances.
    """
    order = [c.name for c, _ in succession_order(candidates, name)]
    names = ([lead] if lead else []) + [n for n in order if n != lead]
    return [n for n in names if n != name][:MAX_LOOKUP_PEERS]
