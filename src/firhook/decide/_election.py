"""Which instance stands for the lead of a cell, and when.

The store settles who leads: whoever sets the highest epoch there fences all
leads before it.  What is decided here is only who tries, so that one instance
does, a fit one, and soon after the lead falls silent.
"""

import math
from collections.abc import Iterable, Sequence

import attrs

#: A lead is silent if it was heard neither from itself nor through the store for
#: so long.  It speaks every 0.1 s, so that three lost messages are borne.
SILENT_S = 0.4
#: After so long without a message of the lead it is not asked for anything.
QUIET_S = 0.25
#: Each in the line waits so much longer than the one before it, which is enough
#: for that one to claim the lead (two calls to the store) and to be heard.
RANK_S = 0.15
#: An instance waits so much longer for each class that it is weaker than the
#: strongest: a strong one that only restarts is back in about this time.
WEAKER_S = 1.0
#: An instance with so many times the processor of another is the better lead.
#: Machines of one kind differ by less than this.
STRONGER_FACTOR = 1.5
#: An instance listens for so long before it stands: a lead that lives has written
#: to the store by then, as it does every 0.2 s at least.
LISTEN_S = 0.3
#: The first lead of a cell waits so long for the others to register, as all
#: start within 0.3 s of each other.
FIRST_S = 0.4


@attrs.frozen(slots=True)
class Candidate:
    """An instance that may lead.

    :param strength: its processors, in cores.
    """

    name: str
    zone: str
    strength: float


def much_stronger(one: float, other: float) -> bool:
    """Return whether the first of two strengths makes the better lead."""
    return one >= other * STRONGER_FACTOR


def _strength_class(candidate: Candidate, strongest: float) -> int:
    """Return by how many classes a candidate is weaker than the strongest."""
    if candidate.strength <= 0 or strongest <= 0:
        return 0
    return int(math.log(strongest / candidate.strength) / math.log(STRONGER_FACTOR))


def line_of_succession(
    candidates: Iterable[Candidate], last: str
) -> list[tuple[Candidate, int]]:
    """Return who stands after whom, each with its class of strength.

    Load: a zone is cut off with the lead and others in it.  Harm: with the next
    in line in the same zone nobody leads until the one after it stands.  So the
    zones take turns, and the zone of the last lead comes last.

    :param last: the name of the instance that led last, which comes last of its
        class: it was silent when it was replaced.
    """
    rows = list(candidates)
    strongest = max((c.strength for c in rows), default=0.0)
    last_zone = next((c.zone for c in rows if c.name == last), "")
    in_zone: dict[tuple[int, str], int] = {}
    keyed = []
    for row in sorted(rows, key=lambda c: (c.name == last, c.name)):
        weaker = _strength_class(row, strongest)
        turn = in_zone[weaker, row.zone] = in_zone.get((weaker, row.zone), -1) + 1
        first = (weaker, row.name == last, turn, row.zone == last_zone, row.zone)
        keyed.append((first, row, weaker))
    keyed.sort(key=lambda k: k[0])
    return [(row, weaker) for _, row, weaker in keyed]


def standing_delay(
    name: str, candidates: Sequence[Candidate], last: str
) -> float | None:
    """Return how long after the lead's silence an instance stands.

    :return: ``None`` if the instance is not among the candidates.
    """
    places: dict[int, int] = {}
    for candidate, weaker in line_of_succession(candidates, last):
        place = places[weaker] = places.get(weaker, -1) + 1
        if candidate.name == name:
            return weaker * WEAKER_S + place * RANK_S
    return None


class Election:
    """When one instance stands for the lead.

    Load: instances that restart, are cut off and come back, and that differ
    fourfold in processor, in a cell with 400 starts a second.  Harm: each change
    of the lead costs a third of a second in which nothing starts, and a lead that
    cannot keep up serves a tenth of the work.  So the present lead stays while it
    is heard or while the store takes what it appends; else the first in line
    stands at once, and the others after it in turn.

    :param name: of this instance.
    :ivar epoch: the highest epoch of a lead that was heard of.
    :ivar lead: the name of the instance with that epoch.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self.epoch = 0
        self.lead = ""
        self._heard_at = -math.inf
        self._told_at = -math.inf
        self._newest = 0
        self._ready_since: float | None = None
        self._listens_since: float | None = None
        self._rests_until = -math.inf

    def hear(self, epoch: int, name: str, newest: int, now: float) -> None:
        """Take note of a message of a lead.

        One that was replaced may go on speaking; it does not count.

        :param newest: the version of the newest record that it has written.
        """
        if epoch < self.epoch:
            return
        self.epoch, self.lead = epoch, name
        self._newest = max(self._newest, newest)
        self._told_at = max(self._told_at, now)
        self._heard_at = max(self._heard_at, now)

    def read(self, epoch: int, version: int, now: float) -> None:
        """Take note of a record of a lead that was read from the store.

        It may be read long after it was written.  So it tells that the lead lives
        only if it is newer than what the lead told of, and than what was read.
        """
        if epoch < self.epoch or version <= self._newest:
            return
        self._newest = version
        self._heard_at = max(self._heard_at, now)

    def know(self, epoch: int, name: str) -> None:
        """Take note of a lead that is on record, which need not live."""
        if epoch > self.epoch:
            self.epoch, self.lead = epoch, name

    def note_listening(self, now: float) -> None:
        """Take note that all was read that leads had written until now."""
        if self._listens_since is None:
            self._listens_since = now

    def note_ready(self, ready: bool, now: float) -> None:
        """Take note of whether this instance could lead."""
        if not ready:
            if self._ready_since is not None:
                self._listens_since = None
            self._ready_since = None
        elif self._ready_since is None:
            self._ready_since = now
            self.note_listening(now)

    def ready_for(self, now: float) -> float:
        """Return for how long this instance could have led, in seconds."""
        return 0.0 if self._ready_since is None else now - self._ready_since

    def rest(self, until: float) -> None:
        """Leave the lead to others until then, after a takeover that failed."""
        self._rests_until = max(self._rests_until, until)

    def silent(self, now: float) -> bool:
        """Return whether the lead was not heard for too long."""
        return now - self._heard_at >= SILENT_S

    def quiet(self, now: float) -> bool:
        """Return whether no message of the lead came lately.

        It is then not asked for anything: it may be gone, or behind a cut.
        """
        return now - self._told_at >= QUIET_S

    def stands(self, candidates: Sequence[Candidate], now: float) -> bool:
        """Return whether this instance stands now.

        :param candidates: the instances that are registered, this one included.
        """
        if self._ready_since is None or self._listens_since is None:
            return False
        if now < self._rests_until:
            return False
        if not self.silent(now):
            return False
        delay = standing_delay(self._name, candidates, self.lead)
        if delay is None:
            return False
        listened = self._listens_since + (LISTEN_S if self.epoch else FIRST_S)
        since = max(self._heard_at + SILENT_S, self._ready_since, listened)
        return now >= since + delay
