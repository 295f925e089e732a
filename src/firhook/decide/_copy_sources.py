"""From whom a starting instance learns what it needs of the cell's records."""

from collections.abc import Sequence

from firhook.decide._election import Candidate, is_much_stronger


def choose_copy_sources(
    name: str, zone: str, strength: float, candidates: Sequence[Candidate]
) -> list[str]:
    """Return the instances to copy from, the best first; empty to read the store.

    Only weak instances copy: the strong ones may have to lead, for which they need
    all of each record, and their links carry that.  A peer of the own zone costs no
    bytes between zones.

    :param strength: of the instance that starts, in cores.
    """
    strong = [
        c
        for c in candidates
        if c.name != name and is_much_stronger(c.strength, strength)
    ]
    strong.sort(key=lambda c: (c.zone != zone, -c.strength, c.name))
    # Those that start at once do not all ask the same one.
    mine = [c.name for c in strong if c.zone == zone]
    others = [c.name for c in strong if c.zone != zone]
    return _rotated(mine, name) + _rotated(others, name)


def _rotated(names: list[str], name: str) -> list[str]:
    if not names:
        return []
    first = sum(name.encode()) % len(names)
    return names[first:] + names[:first]
