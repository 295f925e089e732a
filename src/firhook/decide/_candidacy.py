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
    starts a second, which take a third of the strongest one's.  Harm: with a weak
    lead nine tenths of the work was never served, as each round came later than
    the one before; with a strong one of the same cell a tenth was not.

    :param strength: of this instance, in cores.
    :ivar stands: whether this instance should be a member.
    """

    def __init__(self, strength: float) -> None:
        self._strength = strength
        self._none_since: float | None = None
        self.stands = False

    def stronger(self, strengths: Iterable[float]) -> bool:
        """Return whether one of these is the better lead."""
        return any(s >= self._strength * STRONGER_FACTOR for s in strengths)

    def note_members(self, strengths: Iterable[float], now: float) -> None:
        """Take note of how strong the members of the group are."""
        if self.stronger(strengths):
            self._none_since, self.stands = None, False
        elif self._none_since is None:
            self._none_since = now
        elif now - self._none_since >= PATIENCE_S:
            self.stands = True

    def note_silence(self) -> None:
        """Take note that the members could not be learned.

        An instance that was cut off from the store must not come back as a
        member only because it saw no others meanwhile: the lead would move to
        it, and on to a stronger one a second later.  One that is a member stays.
        """
        self._none_since = None
