"""The capacity that a zone's lead lends within its part of each team's limit."""

import math
from collections.abc import Callable, Iterable, Mapping

import attrs


@attrs.define(slots=True)
class _Loan:
    amount: int
    #: Latest time at which requests started under the loan may still run.
    counts_until: float


def holder_cap(part: int, holders: int) -> int:
    """Return the largest share of a part that one instance may hold.

    The table of grants is lost with the lead.  Whatever an unreachable instance
    may hold must then count as lent until it has certainly expired; without a cap
    that would be the whole part.  The cap is twice an even share, with one holder
    more than there are.  The platform's load balancer spreads requests evenly, so
    the cap rarely matters, and if one of three instances dies, half of the part can
    be lent again at once.

    :param holders: number of instances that may receive grants.
    """
    return math.ceil(part * 2 / (max(holders, 1) + 1))


def guest_holder_of(holder: str) -> str:
    """Return the holder name for the loans of a former lead's guests."""
    return f"guests of {holder}"


class GrantTable:
    """Lends capacity under each team's limit to the instances of one zone.

    Capacity is lent in advance rather than per request, since requests are many
    and small.  The limit must hold even when holders die, pause or are
    partitioned: an unreachable holder may still run what it started just before
    its grant expired.  Its loan therefore counts for another ``linger_s``, the
    longest that a request may run.

    An instance that started during an outage of the log is not yet named as a
    holder by any record.  It is a guest: the lead and its guests share the lead's
    cap.  The next lead counts an unreachable lead by that cap and so covers its
    guests without knowing of them.

    :param ttl_s: lifetime of a grant that is not renewed, in seconds.
    :param linger_s: longest time that a request may run, in seconds.
    :ivar lead_name: the lead's own holder name.
    :ivar in_transfer: capacity by team that is being transferred to other zones.
    """

    def __init__(self, ttl_s: float, linger_s: float) -> None:
        self.lead_name = ""
        self._guests: set[str] = set()
        self._ttl_s = ttl_s
        self._linger_s = linger_s
        self._loans: dict[str, dict[str, _Loan]] = {}
        self._seqs: dict[str, int] = {}
        self._last_ask_at: dict[str, float] = {}
        self._unmet: dict[str, dict[str, tuple[int, float]]] = {}
        self._opened = False
        self._unaccounted: set[str] = set()
        self._unaccounted_until = float("inf")
        self._unaccounted_caps: dict[str, int] = {}
        self._unaccounted_cap_holders = 1
        self._holders = 1
        self._tasks: dict[str, int] = {}
        self._set_aside: dict[str, int] = {}
        self.in_transfer: dict[str, int] = {}

    @property
    def ttl_s(self) -> float:
        """Lifetime of a grant, in seconds."""
        return self._ttl_s

    @property
    def holders(self) -> int:
        """Number of instances that may receive grants."""
        return self._holders

    @holders.setter
    def holders(self, count: int) -> None:
        self._holders = count

    @property
    def tasks(self) -> dict[str, int]:
        """Running tasks of each team according to the zone's log."""
        return self._tasks

    @tasks.setter
    def tasks(self, counts: dict[str, int]) -> None:
        # The new counts include the tasks for which capacity was set aside.
        self._tasks = counts
        self._set_aside = {}

    def open(
        self,
        now: float,
        known: Mapping[str, Mapping[str, int]],
        unanswered: Iterable[str],
        unanswered_until: float,
        unanswered_cap_holders: int,
        holders: int,
    ) -> None:
        """Start lending as a new lead.

        :param known: amounts by team for each holder that answered, and for its
            guests under the names returned by :func:`guest_holder_of`.
        :param unanswered: instances that have not answered and that the previous
            lead may have lent to.
        :param unanswered_until: when their loans have certainly expired.
        :param unanswered_cap_holders: number of holders that determined their cap.
        :param holders: number of instances that may receive grants.
        """
        self._loans.clear()
        self._guests = {guest_holder_of(self.lead_name)}
        self._seqs.clear()
        self._unmet.clear()
        self._last_ask_at = dict.fromkeys((*known, *unanswered), now)
        self._opened = True
        self._holders = holders
        for holder, teams in known.items():
            for team, held in teams.items():
                self._count(team, holder, held, now)
        self._unaccounted = set(unanswered)
        self._unaccounted_until = unanswered_until
        self._unaccounted_caps.clear()
        self._unaccounted_cap_holders = unanswered_cap_holders

    @property
    def is_open(self) -> bool:
        """Whether this instance lends capacity."""
        return self._opened

    def close(self) -> None:
        """Stop lending after the loss of the lead."""
        self._opened = False
        self.in_transfer.clear()

    def note_late_answer(
        self, holder: str, teams: Mapping[str, int], now: float
    ) -> None:
        """Record the holdings of a holder that did not answer in time."""
        if holder in self._unaccounted:
            self._unaccounted.discard(holder)
            for team, held in teams.items():
                self._count(team, holder, held, now)

    def record_guest_loans(
        self, holder: str, teams: Mapping[str, int], now: float
    ) -> None:
        """Record what a former lead reports as lent to its guests.

        Guests that then ask for capacity themselves count twice until this entry
        expires.  Counting them twice withholds some capacity for half a minute;
        not counting them would break the limit.
        """
        for team, amount in teams.items():
            self._count(team, guest_holder_of(holder), amount, now)

    def remove_holder(self, holder: str) -> None:
        """Remove a holder that reported no holdings and will not ask again."""
        self._unaccounted.discard(holder)
        self._last_ask_at.pop(holder, None)
        for loans in self._loans.values():
            loans.pop(holder, None)

    def unaccounted(self, now: float) -> frozenset[str]:
        """Return the instances whose holdings are unknown."""
        return frozenset(self._unaccounted if now < self._unaccounted_until else ())

    def has_expired(self, holder: str, now: float) -> bool:
        """Return whether no loan of a holder counts any longer."""
        if holder in self.unaccounted(now):
            return False
        loans = (by_holder.get(holder) for by_holder in self._loans.values())
        return all(loan is None or loan.counts_until < now for loan in loans)

    def fits_caps(self, holders: int, part_of: Callable[[str], int]) -> bool:
        """Return whether every loan is within the cap for a number of holders.

        The cap falls when an instance joins.  If the larger number of holders were
        published first, the next lead could underestimate an unreachable holder
        that still has a loan up to the old, larger cap.
        """
        return all(
            self._largest_loan(team) <= holder_cap(part_of(team), holders)
            for team in self._loans
        )

    def _lead_loans(self, team: str) -> dict[str, int]:
        """Return the loans of the lead and its guests, by holder."""
        return {
            holder: loan.amount
            for holder, loan in self._loans.get(team, {}).items()
            if holder == self.lead_name or holder in self._guests
        }

    def _largest_loan(self, team: str) -> int:
        """Return the largest loan, counting the lead and its guests as one holder."""
        others = self._loans.get(team, {}).keys() - self._lead_loans(team).keys()
        amounts = [self._loans[team][holder].amount for holder in others]
        return max([sum(self._lead_loans(team).values()), *amounts])

    def add_guest(self, holder: str) -> None:
        """Treat a holder as a guest from now on."""
        self._guests.add(holder)

    def remove_guest(self, holder: str) -> None:
        """Give a holder its own cap, now that a record names it."""
        self._guests.discard(holder)

    def lent_to_guests(self, now: float) -> dict[str, int]:
        """Return what guests may still hold, by team, also after the term has ended."""
        result: dict[str, int] = {}
        for team, loans in self._loans.items():
            for holder in self._guests & loans.keys():
                if loans[holder].counts_until >= now:
                    result[team] = result.get(team, 0) + loans[holder].amount
        return result

    def _count(self, team: str, holder: str, amount: int, now: float) -> None:
        loans = self._loans.setdefault(team, {})
        if amount == 0:
            loans.pop(holder, None)
        else:
            loans[holder] = _Loan(amount, now + self._ttl_s + self._linger_s)

    def lent(self, team: str, now: float, without: str = "") -> int:
        """Return the total of a team's loans that still count.

        :param without: a holder whose loan is left out.
        """
        loans = self._loans.get(team, {})
        for holder in [h for h, loan in loans.items() if loan.counts_until < now]:
            del loans[holder]
        return sum(loan.amount for h, loan in loans.items() if h != without)

    def free(self, team: str, part: int, now: float, without: str = "") -> int:
        """Return how much of a part is certainly unused; negative if exceeded.

        :param without: a holder whose own loan is left out.
        """
        unknown = len(self.unaccounted(now) - {without}) * self._unaccounted_cap(
            team, part
        )
        return (
            part
            - self.lent(team, now, without)
            - self._tasks.get(team, 0)
            - self._set_aside.get(team, 0)
            - self.in_transfer.get(team, 0)
            - unknown
        )

    def _unaccounted_cap(self, team: str, part: int) -> int:
        # The cap is fixed at first use.  Capacity that the zone receives later was
        # never lent by the previous lead, and counting a share of it for an
        # unreachable holder would keep the zone from ever using it.
        return self._unaccounted_caps.setdefault(
            team, holder_cap(part, self._unaccounted_cap_holders)
        )

    def cap_holders(self, now: float, holders: int) -> int:
        """Return the number of holders that determines the cap of every loan.

        :param holders: the number that determines the cap of this lead's loans.
        """
        return (
            min(holders, self._unaccounted_cap_holders)
            if self.unaccounted(now)
            else holders
        )

    def asked_recently(self, holder: str, now: float) -> bool:
        """Return whether a holder has asked within three grant lifetimes."""
        asked_at = self._last_ask_at.get(holder, float("-inf"))
        return now - asked_at <= 3 * self._ttl_s

    def is_outdated(self, holder: str, seq: int, now: float) -> bool:
        """Return whether a request arrived after a newer one of the same holder.

        The holder may already hold what the newer request was granted, which the
        older request does not count.
        """
        if seq <= self._seqs.get(holder, 0):
            return True
        self._seqs[holder] = seq
        self._last_ask_at[holder] = now
        return False

    def grant(
        self, team: str, holder: str, wanted: int, held: int, part: int, now: float
    ) -> int:
        """Grant a holder up to the amount it wants and return the grant.

        :param held: unexpired or still running amount of the holder, the minimum
            that must be counted.
        :param part: the zone's part of the team's limit.
        """
        self._unaccounted.discard(holder)
        ceiling = 0
        if self._opened:
            ceiling = min(
                self.free(team, part, now, without=holder),
                self._cap(team, holder, part),
            )
        granted = max(min(wanted, ceiling), 0)
        if wanted > granted:
            self._unmet.setdefault(team, {})[holder] = (wanted - granted, now)
        else:
            self._unmet.get(team, {}).pop(holder, None)
        self._count(team, holder, max(granted, held), now)
        return granted

    def unmet_demand(self, now: float) -> dict[str, int]:
        """Return the recent demand of each team that was not granted."""
        result: dict[str, int] = {}
        for team, wants in list(self._unmet.items()):
            for holder in [h for h, (_, at) in wants.items() if now - at > self._ttl_s]:
                del wants[holder]
            if wants:
                result[team] = sum(amount for amount, _ in wants.values())
            else:
                del self._unmet[team]
        return result

    def _cap(self, team: str, holder: str, part: int) -> int:
        cap = holder_cap(part, self._holders)
        shared = self._lead_loans(team)
        if holder != self.lead_name and holder not in self._guests:
            return cap
        return cap - sum(shared.values()) + shared.get(holder, 0)

    def set_aside_for_tasks(self, team: str, part: int, now: float) -> int:
        """Set capacity aside for tasks and return how many a team may start.

        The amount stays set aside until :meth:`keep_set_aside` reduces it to what
        was used, or :attr:`tasks` is next set.  Otherwise the same capacity could
        be lent for requests between the decision to start a task and the record
        of its assignment.
        """
        if not self._opened:
            return 0
        earlier = self._set_aside.pop(team, 0)
        capacity = max(self.free(team, part, now), 0)
        # A second call before the next count sets the same capacity aside.
        self._set_aside[team] = max(capacity, earlier)
        return capacity

    def keep_set_aside(self, counts: Mapping[str, int]) -> None:
        """Keep only the capacity of the chosen tasks set aside, by team.

        Called between :meth:`set_aside_for_tasks` and the append without awaiting
        in between.  The remaining capacity may be lent for requests again.
        """
        self._set_aside = dict(counts)

    def transferable(self, team: str, part: int, now: float) -> int:
        """Return how much of a part may be transferred to another zone.

        Every loan must stay within the cap of the remaining part, since the next
        lead estimates the holdings of an unreachable holder by that cap.
        """
        if not self._opened:
            return 0
        amount = max(self.free(team, part, now), 0)
        largest = self._largest_loan(team)
        while amount and holder_cap(part - amount, self._holders) < largest:
            amount -= 1
        return amount


class CapacityDemand:
    """The capacity that an instance wants to hold for each team.

    A burst raises the demand at once; afterwards it halves every ``half_life_s``
    until it reaches what is running.  Without this decay an instance would
    withhold capacity from its peers until a restart after a single burst; with an
    immediate drop it would have to ask the lead for every request.

    :param half_life_s: half-life of the demand, in seconds.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._peaks: dict[str, tuple[int, float]] = {}

    def raise_to(self, team: str, wanted: int, now: float) -> None:
        """Raise the demand to the total amount that waiting work could use."""
        self._peaks[team] = (max(wanted, self.wanted(team, 0, now)), now)

    def wanted(self, team: str, least: int, now: float) -> int:
        """Return how much capacity the team could use now.

        :param least: lower bound, the amount in use or needed right now.
        """
        peak, at = self._peaks.get(team, (0, now))
        fallen = peak * 0.5 ** ((now - at) / self._half_life_s)
        return max(least, round(fallen))

    def teams(self, now: float) -> list[str]:
        """Return the teams with demand and remove those without."""
        for team in list(self._peaks):
            if self.wanted(team, 0, now) == 0:
                del self._peaks[team]
        return list(self._peaks)
