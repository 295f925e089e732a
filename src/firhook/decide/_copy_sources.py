"""Chooses the peers from which a starting instance copies the cell's records."""

from collections.abc import Sequence

from firhook.decide._election import Candidate, is_much_stronger


def choose_copy_sources(
    name: str, zone: str, strength: float, candidates: Sequence[Candidate]
) -> list[str]:
    """Return the instances to copy from, best first; empty to read the store.

    Only weak instances copy.  Strong ones may have to lead, which requires every
    record in full, and their links can carry that.  Peers of the same zone come
    first because copying from them causes no traffic between zones.

    :param strength: of the starting instance, in cores.
    """
    strong = [
        c
        for c in candidates
        if c.name != name and is_much_stronger(c.strength, strength)
    ]
    strong.sort(key=lambda c: (c.zone != zone, -c.strength, c.name))
    # Spreads instances that start at the same time over the sources.
    mine = [c.name for c in strong if c.zone == zone]
    others = [c.name for c in strong if c.zone != zone]
    return _rotated(mine, name) + _rotated(others, name)


def _rotated(names: list[str], name: str) -> list[str]:
    if not names:
        return []
    first = sum(name.encode()) % len(names)
    return names[first:] + names[:first]
