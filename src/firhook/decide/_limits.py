"""Parts of a team's upper limit, and the count of what runs under them."""

from collections.abc import Mapping, Sequence


def split(limit: int, holders: Sequence[str]) -> dict[str, int]:
    """Split a limit into whole parts that add up to it.

    :param limit: the team's upper limit over the fleet.
    :param holders: who gets a part; the order does not matter.
    :return: each holder's part.  The remainder goes to the first by name, so
        that every instance computes the same parts from the same lists.
    """
    ordered = sorted(holders)
    if not ordered:
        return {}
    base, rest = divmod(max(limit, 0), len(ordered))
    return {h: base + (i < rest) for i, h in enumerate(ordered)}


def zone_parts(
    limit: int, zones: Sequence[str], moved: Mapping[str, int]
) -> dict[str, int]:
    """Return each zone's part of a limit after transfers between zones.

    When the limit was lowered under what was moved, a zone may stand below
    zero; it then has no room, and the others' parts are cut by the shortfall,
    so that the sum stays within the limit.

    :param moved: net amount moved to each zone, adding up to zero.
    """
    parts = {z: p + moved.get(z, 0) for z, p in split(limit, zones).items()}
    short = -sum(p for p in parts.values() if p < 0)
    result = {}
    for zone in sorted(parts):
        part = max(parts[zone], 0)
        cut = min(part, short)
        short -= cut
        result[zone] = part - cut
    return result


class Account:
    """What each team has running here, against the room this holder has.

    Counted at dispatch and given back only on a known end: an attempt whose
    end is unknown may still be running, and counting it as ended would let
    the team exceed its limit just when things go wrong.
    """

    def __init__(self) -> None:
        self.room: dict[str, int] = {}
        self.running: dict[str, int] = {}

    def take(self, team: str, amount: int = 1) -> bool:
        """Count ``amount`` more as running if there is room for all of it."""
        used = self.running.get(team, 0)
        if used + amount > self.room.get(team, 0):
            return False
        self.running[team] = used + amount
        return True

    def give_back(self, team: str, amount: int = 1) -> None:
        """Count ``amount`` less as running."""
        left = self.running.get(team, 0) - amount
        if left > 0:
            self.running[team] = left
        else:
            self.running.pop(team, None)
