"""Whether an instance stands for the lead of a cell."""

from collections.abc import Iterable

#: A member with so many times the processor of an instance is the better lead.
#: Shares of a core are handed out in steps of two and more, and machines of one
#: kind differ by less than this.
STRONGER_FACTOR = 1.5
#: Without a stronger member for so long, a weaker instance stands.  A member that
#: dies is replaced by another within 1.2 s, its time to live and a join; standing
#: sooner would put a weak lead between two strong ones.
PATIENCE_S = 1.5


class Candidacy:
    """Keeps weak instances out of the group while stronger ones are in it.

    Load: instances that differ fourfold in processor, and a cell with 350
    starts a second, which take most of the strongest one's.  Harm: with a weak
    lead nine tenths of the work was never served, as each round came later than
    the one before; with a strong one of the same cell a tenth was not.

    :param strength: of this instance, in cores.
    """

    def __init__(self, strength: float) -> None:
        self._strength = strength
        self._seen_at = float("-inf")

    def stronger(self, strengths: Iterable[float]) -> bool:
        """Return whether one of these is the better lead."""
        return any(s >= self._strength * STRONGER_FACTOR for s in strengths)

    def note_members(self, strengths: Iterable[float], now: float) -> None:
        """Take note of how strong the members of the group are."""
        if self.stronger(strengths):
            self._seen_at = now

    def stands(self, now: float) -> bool:
        """Return whether this instance should be a member."""
        return now - self._seen_at >= PATIENCE_S
