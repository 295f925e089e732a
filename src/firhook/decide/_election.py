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
LEAD_TIMEOUT_S = 0.4
#: After so long without a message of the lead it is not asked for anything.
HEARTBEAT_FRESH_S = 0.25
#: Each in the line waits so much longer than the one before it, which is enough
#: for that one to claim the lead (two calls to the store) and to be heard.
RANK_DELAY_S = 0.15
#: An instance waits so much longer for each class that it is weaker than the
#: strongest: a strong one that only restarts is back in about this time.
CLASS_DELAY_S = 1.0
#: An instance with so many times the processor of another is the better lead.
#: Machines of one kind differ by less than this.
STRONGER_FACTOR = 1.5
#: An instance listens for so long before it stands: a lead that lives has written
#: to the store by then, as it does every 0.2 s at least.
LISTEN_DELAY_S = 0.3
#: The first lead of a cell waits so long for the others to register, as all
#: start within 0.3 s of each other.
FIRST_ELECTION_DELAY_S = 0.4


@attrs.frozen(slots=True)
class Candidate:
    """An instance that may lead.

    :param strength: its processors, in cores.
    """

    name: str
    zone: str
    strength: float


def is_much_stronger(one: float, other: float) -> bool:
    """Return whether the first of two strengths makes the better lead."""
    return one >= other * STRONGER_FACTOR


def _strength_class(candidate: Candidate, strongest: float) -> int:
    """Return by how many classes a candidate is weaker than the strongest."""
    if candidate.strength <= 0 or strongest <= 0:
        return 0
    return int(math.log(strongest / candidate.strength) / math.log(STRONGER_FACTOR))


def succession_order(
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
        strength_class = _strength_class(row, strongest)
        turn = in_zone[strength_class, row.zone] = (
            in_zone.get((strength_class, row.zone), -1) + 1
        )
        first = (
            strength_class,
            row.name == last,
            turn,
            row.zone == last_zone,
            row.zone,
        )
        keyed.append((first, row, strength_class))
    keyed.sort(key=lambda k: k[0])
    return [(row, strength_class) for _, row, strength_class in keyed]


def campaign_delay_s(
    name: str, candidates: Sequence[Candidate], last: str
) -> float | None:
    """Return how long after the lead's silence an instance stands.

    :return: ``None`` if the instance is not among the candidates.
    """
    ranks: dict[int, int] = {}
    for candidate, strength_class in succession_order(candidates, last):
        rank = ranks[strength_class] = ranks.get(strength_class, -1) + 1
        if candidate.name == name:
            return strength_class * CLASS_DELAY_S + rank * RANK_DELAY_S
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
        self._alive_at = -math.inf
        self._heartbeat_at = -math.inf
        self._newest_version = 0
        self._ready_since: float | None = None
        self._listening_since: float | None = None
        self._backoff_until = -math.inf

    def record_heartbeat(self, epoch: int, name: str, newest: int, now: float) -> None:
        """Take note of a message of a lead.

        One that was replaced may go on speaking; it does not count.

        :param newest: the version of the newest record that it has written.
        """
        if epoch < self.epoch:
            return
        self.epoch, self.lead = epoch, name
        self._newest_version = max(self._newest_version, newest)
        self._heartbeat_at = max(self._heartbeat_at, now)
        self._alive_at = max(self._alive_at, now)

    def observe_record(self, epoch: int, version: int, now: float) -> None:
        """Take note of a record of a lead that was read from the store.

        It may be read long after it was written.  So it tells that the lead lives
        only if it is newer than what the lead told of, and than what was read.
        """
        if epoch < self.epoch or version <= self._newest_version:
            return
        self._newest_version = version
        self._alive_at = max(self._alive_at, now)

    def learn_lead(self, epoch: int, name: str) -> None:
        """Take note of a lead that is on record, which need not live."""
        if epoch > self.epoch:
            self.epoch, self.lead = epoch, name

    def mark_log_read(self, now: float) -> None:
        """Take note that all was read that leads had written until now."""
        if self._listening_since is None:
            self._listening_since = now

    def set_ready(self, ready: bool, now: float) -> None:
        """Take note of whether this instance could lead."""
        if not ready:
            if self._ready_since is not None:
                self._listening_since = None
            self._ready_since = None
        elif self._ready_since is None:
            self._ready_since = now
            self.mark_log_read(now)

    def ready_duration_s(self, now: float) -> float:
        """Return for how long this instance could have led, in seconds."""
        return 0.0 if self._ready_since is None else now - self._ready_since

    def back_off(self, until: float) -> None:
        """Leave the lead to others until then, after a takeover that failed."""
        self._backoff_until = max(self._backoff_until, until)

    def lead_timed_out(self, now: float) -> bool:
        """Return whether the lead was not heard for too long."""
        return now - self._alive_at >= LEAD_TIMEOUT_S

    def lead_unresponsive(self, now: float) -> bool:
        """Return whether no message of the lead came lately.

        It is then not asked for anything: it may be gone, or behind a cut.
        """
        return now - self._heartbeat_at >= HEARTBEAT_FRESH_S

    def should_campaign(self, candidates: Sequence[Candidate], now: float) -> bool:
        """Return whether this instance stands now.

        :param candidates: the instances that are registered, this one included.
        """
        if self._ready_since is None or self._listening_since is None:
            return False
        if now < self._backoff_until:
            return False
        if not self.lead_timed_out(now):
            return False
        delay = campaign_delay_s(self._name, candidates, self.lead)
        if delay is None:
            return False
        listened = self._listening_since + (
            LISTEN_DELAY_S if self.epoch else FIRST_ELECTION_DELAY_S
        )
        since = max(self._alive_at + LEAD_TIMEOUT_S, self._ready_since, listened)
        return now >= since + delay
