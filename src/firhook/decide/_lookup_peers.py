"""Whom an instance asks for what its own replica cannot tell."""

from collections.abc import Sequence

from firhook.decide._election import Candidate, succession_order

#: Instances that are asked one question at most.
MAX_LOOKUP_PEERS = 3


def choose_lookup_peers(
    name: str, lead: str, candidates: Sequence[Candidate]
) -> list[str]:
    """Return the instances to ask, the first one first.

    The lead is told of every record that is appended.  Strong instances come next,
    as they are the first to have read the log; zones take turns, since they fail
    together.

    :param name: of the instance that asks.
    :param lead: the name of the lead, or empty if none is heard.
    :param candidates: all instances that are registered.
    """
    order = [c.name for c, _ in succession_order(candidates, name)]
    names = ([lead] if lead else []) + [n for n in order if n != lead]
    return [n for n in names if n != name][:MAX_LOOKUP_PEERS]
