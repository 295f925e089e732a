"""The lead's book of what it lent within its zone's part of each limit."""

import math
from collections.abc import Callable, Iterable, Mapping

import attrs


@attrs.define(slots=True)
class _Loan:
    amount: int
    #: When the holder may at the latest have stopped everything under it.
    counted_until: float


def holder_cap(part: int, holders: int) -> int:
    """Return the most of a part that one instance is lent.

    A lead that dies takes its book with it.  What an instance that does not
    answer might hold must then count as lent until it has certainly lapsed,
    and without a cap that would be the whole part.  The cap is twice an even
    share of one holder more: the platform's balancer spreads requests evenly,
    so it is rarely felt, and with three instances of which one dies half of
    the part can be lent again at once.

    :param holders: instances that may be lent to.
    """
    return math.ceil(part * 2 / (max(holders, 1) + 1))


def guest_holder_of(holder: str) -> str:
    """Return the name under which a former lead's guests are counted."""
    return f"guests of {holder}"


class GrantTable:
    """Lends room under each team's limit to the instances of one zone.

    Made for many small requests, so room is lent ahead and not asked for one
    by one.  The harm it prevents is more running than the limit when holders
    die, pause or are cut off: a holder that goes silent may still run what it
    started just before its grant lapsed, so its loan is counted for
    ``linger_s`` beyond the lapse, the longest that a request may run.

    An instance that no record names as a holder yet, since it started while
    the log was out, is a guest: it borrows under the lead's own cap, lead and
    guests together.  The next lead counts a silent lead by that cap, and so
    counts its guests without knowing of them.

    :param ttl_s: how long a grant lasts without being renewed.
    :param linger_s: the longest that a request may run.
    :ivar host: the lead's own name among the holders.
    """

    def __init__(self, ttl_s: float, linger_s: float) -> None:
        self.lead_name = ""
        self._guests: set[str] = set()
        self._ttl_s = ttl_s
        self._linger_s = linger_s
        self._loans: dict[str, dict[str, _Loan]] = {}
        self._seqs: dict[str, int] = {}
        self._asked_at: dict[str, float] = {}
        self._wants: dict[str, dict[str, tuple[int, float]]] = {}
        self._opened = False
        self._silent: set[str] = set()
        self._silent_until = float("inf")
        self._silent_caps: dict[str, int] = {}
        self._silent_holders = 1
        self._holders = 1
        self._tasks: dict[str, int] = {}
        self._promised: dict[str, int] = {}
        self.in_transfer: dict[str, int] = {}

    @property
    def ttl_s(self) -> float:
        """How long a grant lasts, in seconds."""
        return self._ttl_s

    @property
    def holders(self) -> int:
        """How many instances may be lent to."""
        return self._holders

    @holders.setter
    def holders(self, count: int) -> None:
        self._holders = count

    @property
    def tasks(self) -> dict[str, int]:
        """Tasks of each team that the zone's log holds as running."""
        return self._tasks

    @tasks.setter
    def tasks(self, counts: dict[str, int]) -> None:
        # A new count includes the tasks that the room was promised for.
        self._tasks = counts
        self._promised = {}

    def open(
        self,
        now: float,
        known: Mapping[str, Mapping[str, int]],
        silent: Iterable[str],
        silent_until: float,
        silent_holders: int,
        holders: int,
    ) -> None:
        """Start lending as a new lead.

        :param known: what each holder that answered holds, by team, and what
            guests of theirs may have, under names made by :func:`guests_of`.
        :param silent: instances that the lead before may have lent to and that
            have not answered.
        :param silent_until: when whatever those hold has certainly ended.
        :param silent_holders: the number of holders by which those were capped.
        :param holders: instances that may be lent to.
        """
        self._loans.clear()
        self._guests = {guest_holder_of(self.lead_name)}
        self._seqs.clear()
        self._wants.clear()
        self._asked_at = dict.fromkeys((*known, *silent), now)
        self._opened = True
        self._holders = holders
        for holder, teams in known.items():
            for team, held in teams.items():
                self._count(team, holder, held, now)
        self._silent = set(silent)
        self._silent_until = silent_until
        self._silent_caps.clear()
        self._silent_holders = silent_holders

    @property
    def is_open(self) -> bool:
        """Whether this instance lends."""
        return self._opened

    def close(self) -> None:
        """Stop lending, having lost the lead."""
        self._opened = False
        self.in_transfer.clear()

    def note_late_answer(
        self, holder: str, teams: Mapping[str, int], now: float
    ) -> None:
        """Note what a silent holder said that it holds, when it answers late."""
        if holder in self._silent:
            self._silent.discard(holder)
            for team, held in teams.items():
                self._count(team, holder, held, now)

    def record_guest_loans(
        self, holder: str, teams: Mapping[str, int], now: float
    ) -> None:
        """Note what a former lead says that it lent to guests.

        They ask for room themselves sooner or later and are then counted
        twice, until this entry lapses; the one error would break the limit,
        the other holds a little room back for half a minute.
        """
        for team, amount in teams.items():
            self._count(team, guest_holder_of(holder), amount, now)

    def remove_holder(self, holder: str) -> None:
        """Forget a holder that said that it holds nothing and takes no more."""
        self._silent.discard(holder)
        self._asked_at.pop(holder, None)
        for loans in self._loans.values():
            loans.pop(holder, None)

    def unaccounted(self, now: float) -> frozenset[str]:
        """Return the instances whose holdings are unknown."""
        return frozenset(self._silent if now < self._silent_until else ())

    def has_expired(self, holder: str, now: float) -> bool:
        """Return whether nothing is counted for a holder any more."""
        if holder in self.unaccounted(now):
            return False
        loans = (by_holder.get(holder) for by_holder in self._loans.values())
        return all(loan is None or loan.counted_until < now for loan in loans)

    def fits_caps(self, holders: int, part_of: Callable[[str], int]) -> bool:
        """Return whether every loan is within the cap for a number of holders.

        The cap falls when an instance joins.  Were the larger number published
        first, the next lead would count a silent holder of the old, larger cap
        as holding less than it does.
        """
        return all(
            self._largest(team) <= holder_cap(part_of(team), holders)
            for team in self._loans
        )

    def _with_host(self, team: str) -> dict[str, int]:
        """Return the loans of the lead and of its guests, by holder."""
        return {
            holder: loan.amount
            for holder, loan in self._loans.get(team, {}).items()
            if holder == self.lead_name or holder in self._guests
        }

    def _largest(self, team: str) -> int:
        """Return the largest loan, the lead's and its guests' taken as one."""
        others = self._loans.get(team, {}).keys() - self._with_host(team).keys()
        amounts = [self._loans[team][holder].amount for holder in others]
        return max([sum(self._with_host(team).values()), *amounts])

    def add_guest(self, holder: str) -> None:
        """Lend to a holder as a guest from now on."""
        self._guests.add(holder)

    def remove_guest(self, holder: str) -> None:
        """Lend to a holder under a cap of its own, now that a record names it."""
        self._guests.discard(holder)

    def lent_to_guests(self, now: float) -> dict[str, int]:
        """Return what guests may still have, by team, also after the lead's end."""
        result: dict[str, int] = {}
        for team, loans in self._loans.items():
            for holder in self._guests & loans.keys():
                if loans[holder].counted_until >= now:
                    result[team] = result.get(team, 0) + loans[holder].amount
        return result

    def _count(self, team: str, holder: str, amount: int, now: float) -> None:
        loans = self._loans.setdefault(team, {})
        if amount == 0:
            loans.pop(holder, None)
        else:
            loans[holder] = _Loan(amount, now + self._ttl_s + self._linger_s)

    def lent(self, team: str, now: float, without: str = "") -> int:
        """Return what is counted as lent to a team's holders."""
        loans = self._loans.get(team, {})
        for holder in [h for h, loan in loans.items() if loan.counted_until < now]:
            del loans[holder]
        return sum(loan.amount for h, loan in loans.items() if h != without)

    def free(self, team: str, part: int, now: float, without: str = "") -> int:
        """Return what of a part is certainly not in use; negative if over.

        :param without: a holder whose own loan is not counted.
        """
        unknown = len(self.unaccounted(now) - {without}) * self._silent_cap(team, part)
        return (
            part
            - self.lent(team, now, without)
            - self._tasks.get(team, 0)
            - self._promised.get(team, 0)
            - self.in_transfer.get(team, 0)
            - unknown
        )

    def _silent_cap(self, team: str, part: int) -> int:
        # Fixed when first asked for: room that is given to the zone later was
        # never the old lead's to lend, and counting a silent holder as having
        # some of it would keep the zone from ever using it.
        return self._silent_caps.setdefault(
            team, holder_cap(part, self._silent_holders)
        )

    def cap_holders(self, now: float, holders: int) -> int:
        """Return the number of holders by which every loan is capped.

        :param holders: the number by which loans of this lead are capped.
        """
        return min(holders, self._silent_holders) if self.unaccounted(now) else holders

    def asked_recently(self, holder: str, now: float) -> bool:
        """Return whether a holder has asked within three times a grant's time."""
        asked_at = self._asked_at.get(holder, float("-inf"))
        return now - asked_at <= 3 * self._ttl_s

    def is_outdated(self, holder: str, seq: int, now: float) -> bool:
        """Return whether an ask came after a later one of the same holder.

        Its holder may by then hold what the later one was granted, which this
        one does not count.
        """
        if seq <= self._seqs.get(holder, 0):
            return True
        self._seqs[holder] = seq
        self._asked_at[holder] = now
        return False

    def grant(
        self, team: str, holder: str, wanted: int, held: int, part: int, now: float
    ) -> int:
        """Grant a holder up to what it wants and return its grant.

        :param held: what it holds already and has not let lapse, or still has
            running: the least that must be counted.
        :param part: the zone's part of the team's limit.
        """
        self._silent.discard(holder)
        ceiling = 0
        if self._opened:
            ceiling = min(
                self.free(team, part, now, without=holder),
                self._cap(team, holder, part),
            )
        granted = max(min(wanted, ceiling), 0)
        if wanted > granted:
            self._wants.setdefault(team, {})[holder] = (wanted - granted, now)
        else:
            self._wants.get(team, {}).pop(holder, None)
        self._count(team, holder, max(granted, held), now)
        return granted

    def unmet_demand(self, now: float) -> dict[str, int]:
        """Return what each team wanted lately and was not lent."""
        result: dict[str, int] = {}
        for team, wants in list(self._wants.items()):
            for holder in [h for h, (_, at) in wants.items() if now - at > self._ttl_s]:
                del wants[holder]
            if wants:
                result[team] = sum(amount for amount, _ in wants.values())
            else:
                del self._wants[team]
        return result

    def _cap(self, team: str, holder: str, part: int) -> int:
        cap = holder_cap(part, self._holders)
        shared = self._with_host(team)
        if holder != self.lead_name and holder not in self._guests:
            return cap
        return cap - sum(shared.values()) + shared.get(holder, 0)

    def set_aside_for_tasks(self, team: str, part: int, now: float) -> int:
        """Return how many more tasks a team may start in this zone.

        The answer stays set aside until :meth:`promise` says how much of it was
        taken, or :attr:`tasks` is next set.  Between
        the decision to start a task and the log's word that it is assigned,
        the same room would otherwise be lent for requests.
        """
        if not self._opened:
            return 0
        promised = self._promised.pop(team, 0)
        room = max(self.free(team, part, now), 0)
        # Asked again before the next count, it is the same room once more.
        self._promised[team] = max(room, promised)
        return room

    def keep_set_aside(self, counts: Mapping[str, int]) -> None:
        """Keep aside only the room of the tasks that were chosen, by team.

        Called between :meth:`room_for_tasks` and the append, without a wait in
        between; room that was not chosen may be lent for requests meanwhile.
        """
        self._promised = dict(counts)

    def transferable(self, team: str, part: int, now: float) -> int:
        """Return how much of a part may be moved to another zone.

        What is left must still have every loan under the cap, by which the
        next lead judges what a silent holder may have.
        """
        if not self._opened:
            return 0
        spare = max(self.free(team, part, now), 0)
        most = self._largest(team)
        while spare and holder_cap(part - spare, self._holders) < most:
            spare -= 1
        return spare


class CapacityDemand:
    """What an instance wants to hold for each team.

    A burst raises it at once; afterwards it falls by half every
    ``half_life_s`` to what is running.  Without the fall an instance that
    once saw a burst would keep the room from its peers until a restart; with
    an immediate fall it would have to ask again for every request.

    :param half_life_s: in seconds.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._peaks: dict[str, tuple[int, float]] = {}

    def raise_to(self, team: str, wanted: int, now: float) -> None:
        """Note that work waits which could use so much room in all."""
        self._peaks[team] = (max(wanted, self.wanted(team, 0, now)), now)

    def wanted(self, team: str, least: int, now: float) -> int:
        """Return how much room the team could use now.

        :param least: what it uses or could use now in any case.
        """
        peak, at = self._peaks.get(team, (0, now))
        fallen = peak * 0.5 ** ((now - at) / self._half_life_s)
        return max(least, round(fallen))

    def teams(self, now: float) -> list[str]:
        """Return the teams with demand, and forget those without."""
        for team in list(self._peaks):
            if self.wanted(team, 0, now) == 0:
                del self._peaks[team]
        return list(self._peaks)
