"""Whom an instance asks for what its own replica cannot tell."""

from collections.abc import Sequence

from firhook.decide._election import Candidate, line_of_succession

#: Instances that are asked one question at most.
MOST_ASKED = 3


def whom_to_ask(name: str, lead: str, candidates: Sequence[Candidate]) -> list[str]:
    """Return the instances to ask, the first one first.

    The lead is told of every record that is appended.  Strong instances come next,
    as they are the first to have read the log; zones take turns, since they fail
    together.

    :param name: of the instance that asks.
    :param lead: the name of the lead, or empty if none is heard.
    :param candidates: all instances that are registered.
    """
    line = [c.name for c, _ in line_of_succession(candidates, name)]
    names = ([lead] if lead else []) + [n for n in line if n != lead]
    return [n for n in names if n != name][:MOST_ASKED]
