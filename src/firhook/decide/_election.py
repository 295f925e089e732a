"""Decides which instance campaigns to lead a cell, and when.

The store decides who leads: the instance that sets the highest epoch there fences
all earlier leads.  This module only picks the candidate, so that a single, suitable
instance campaigns soon after the lead stops sending heartbeats.
"""

import math
from collections.abc import Iterable, Sequence

import attrs

#: The lead has timed out if neither a heartbeat nor a new record of it arrived for
#: this long.  It sends a heartbeat every 0.1 s, so three may be lost in a row.
LEAD_TIMEOUT_S = 0.4
#: The lead receives no requests after this long without a heartbeat.
HEARTBEAT_FRESH_S = 0.25
#: Extra delay of each candidate after the one before it: enough for that one to
#: claim the lead, which takes two calls to the store, and to send a heartbeat.
RANK_DELAY_S = 0.15
#: Extra delay for each strength class below the strongest: a strong instance that
#: restarts is back in about this time.
CLASS_DELAY_S = 1.0
#: An instance with this many times the cores of another is the better lead.
#: Machines of one kind differ by less.
STRONGER_FACTOR = 1.5
#: An instance listens for this long before it campaigns.  A live lead writes to the
#: store at least every 0.2 s.
LISTEN_DELAY_S = 0.3
#: The first lead of a cell waits this long for the other instances to register.
#: They all start within 0.3 s of each other.
FIRST_ELECTION_DELAY_S = 0.4


@attrs.frozen(slots=True)
class Candidate:
    """An instance that may lead.

    :param strength: its cores.
    """

    name: str
    zone: str
    strength: float


def is_much_stronger(one: float, other: float) -> bool:
    """Return whether the first strength exceeds the second by a class or more."""
    return one >= other * STRONGER_FACTOR


def _strength_class(candidate: Candidate, strongest: float) -> int:
    """Return how many strength classes a candidate is below the strongest."""
    if candidate.strength <= 0 or strongest <= 0:
        return 0
    return int(math.log(strongest / candidate.strength) / math.log(STRONGER_FACTOR))


def succession_order(
    candidates: Iterable[Candidate], last: str
) -> list[tuple[Candidate, int]]:
    """Return the candidates in the order in which they campaign.

    A network partition may isolate the lead's whole zone.  If the next candidate
    were in the same zone, the cell would have no lead until the one after it
    campaigns.  So the order alternates between zones, with the zone of the last
    lead at the end.

    :param last: the name of the last lead.  It comes last in its class because it
        was unreachable when it was replaced.
    :return: each candidate with the number of strength classes by which it is
        below the strongest.
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
    """Return how long after the lead's timeout an instance campaigns, in seconds.

    :return: ``None`` if the instance is not among the candidates.
    """
    ranks: dict[int, int] = {}
    for candidate, strength_class in succession_order(candidates, last):
        rank = ranks[strength_class] = ranks.get(strength_class, -1) + 1
        if candidate.name == name:
            return strength_class * CLASS_DELAY_S + rank * RANK_DELAY_S
    return None


class Election:
    """Decides when one instance campaigns to become the lead.

    Instances restart, become unreachable and come back, and their cores differ
    fourfold.  In a cell with 400 starts a second, each change of the lead costs a
    third of a second in which nothing starts, and a lead that is too weak serves a
    tenth of the work.  So the current lead stays as long as its heartbeats arrive
    or the store accepts its appends.  Otherwise the first candidate campaigns at
    once and the others follow in order.

    :param name: of this instance.
    :ivar epoch: the highest known epoch of a lead.
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
        self._predecessor_epoch = 0

    def record_heartbeat(self, epoch: int, name: str, newest: int, now: float) -> None:
        """Record a heartbeat of a lead.

        Heartbeats of a superseded lead are ignored.

        :param newest: the version of the newest record that the lead has written.
        """
        if epoch < self.epoch:
            return
        self.epoch, self.lead = epoch, name
        self._newest_version = max(self._newest_version, newest)
        self._heartbeat_at = max(self._heartbeat_at, now)
        self._alive_at = max(self._alive_at, now)

    def observe_record(self, epoch: int, version: int, now: float) -> None:
        """Record that a record of a lead was read from the store.

        It may be read long after it was written.  So it proves that the lead is
        alive only if it is newer than the last heartbeat and all earlier records.
        """
        if epoch < self.epoch or version <= self._newest_version:
            return
        self._newest_version = version
        self._alive_at = max(self._alive_at, now)

    def learn_lead(self, epoch: int, name: str) -> None:
        """Record a lead that is stored in the log; it need not be alive."""
        if epoch > self.epoch:
            self.epoch, self.lead = epoch, name

    def note_predecessor(self, epoch: int) -> None:
        """Record that an earlier incarnation of this instance led in an epoch.

        It has ended, as only one process of an instance runs at a time.
        """
        self._predecessor_epoch = max(self._predecessor_epoch, epoch)

    def mark_log_read(self, now: float) -> None:
        """Record that everything that leads have written so far was read."""
        if self._listening_since is None:
            self._listening_since = now

    def set_ready(self, ready: bool, now: float) -> None:
        """Record whether this instance is able to lead."""
        if not ready:
            if self._ready_since is not None:
                self._listening_since = None
            self._ready_since = None
        elif self._ready_since is None:
            self._ready_since = now
            self.mark_log_read(now)

    def ready_duration_s(self, now: float) -> float:
        """Return how long this instance has been able to lead, in seconds."""
        return 0.0 if self._ready_since is None else now - self._ready_since

    def back_off(self, until: float) -> None:
        """Do not campaign until a time, after a term or a takeover has failed."""
        self._backoff_until = max(self._backoff_until, until)

    def lead_timed_out(self, now: float) -> bool:
        """Return whether heartbeats and new records of the lead are overdue."""
        return now - self._alive_at >= LEAD_TIMEOUT_S

    def lead_unresponsive(self, now: float) -> bool:
        """Return whether no heartbeat of the lead arrived recently.

        It then receives no requests, because it may have crashed or be unreachable.
        """
        return now - self._heartbeat_at >= HEARTBEAT_FRESH_S

    def should_campaign(self, candidates: Sequence[Candidate], now: float) -> bool:
        """Return whether this instance campaigns now.

        :param candidates: the registered instances, including this one.
        """
        if self._ready_since is None or self._listening_since is None:
            return False
        if now < self._backoff_until:
            return False
        if self._succeeds_itself(candidates):
            return True
        if not self.lead_timed_out(now):
            return False
        delay = campaign_delay_s(self._name, candidates, self.lead)
        if delay is None:
            return False
        listened_until = self._listening_since + (
            LISTEN_DELAY_S if self.epoch else FIRST_ELECTION_DELAY_S
        )
        since = max(self._alive_at + LEAD_TIMEOUT_S, self._ready_since, listened_until)
        return now >= since + delay

    def _succeeds_itself(self, candidates: Sequence[Candidate]) -> bool:
        """Return whether the last lead was this instance, which has restarted since.

        After all instances were killed at once, the others listen for a heartbeat of
        the last lead before they campaign.  This instance knows that none will come,
        so that the cell starts work a third of a second sooner.  If others are much
        stronger, it leaves the lead to them, as it would have to hand it over soon.
        """
        if not self.epoch or self._predecessor_epoch != self.epoch:
            return False
        own = next((c.strength for c in candidates if c.name == self._name), None)
        return own is not None and not any(
            is_much_stronger(c.strength, own) for c in candidates
        )
