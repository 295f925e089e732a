"""The lead's book of what it lent within its zone's part of each limit."""

import attrs


@attrs.define(slots=True)
class _Loan:
    amount: int
    #: When the holder may at the latest have stopped everything under it.
    counted_until: float


class GrantBook:
    """Lends room under each team's limit to the instances of one zone.

    A holder that goes silent may still run requests that it sent just before
    its grant lapsed.  Its loan is therefore counted for ``linger_s`` beyond
    the lapse: the longest that a request may run.

    :param ttl_s: how long a grant lasts without being renewed.
    :param linger_s: the longest that a request may run.
    """

    def __init__(self, ttl_s: float, linger_s: float) -> None:
        self._ttl_s = ttl_s
        self._linger_s = linger_s
        self._loans: dict[str, dict[str, _Loan]] = {}
        self._closed_until = float("inf")
        self.tasks: dict[str, int] = {}

    @property
    def ttl_s(self) -> float:
        """How long a grant lasts, in seconds."""
        return self._ttl_s

    def open(self, now: float, first: bool) -> None:
        """Start lending as a new lead.

        Loans of the lead before are unknown here; until the last of them has
        lapsed, only what holders report back as theirs is renewed.

        :param first: whether the zone never had a lead before, and so no loans.
        """
        self._loans.clear()
        self._closed_until = now if first else now + self._ttl_s + self._linger_s

    def close(self) -> None:
        """Stop lending, having lost the lead."""
        self._closed_until = float("inf")

    def lent(self, team: str, now: float, without: str = "") -> int:
        """Return what is counted as lent to a team's holders."""
        loans = self._loans.get(team, {})
        for holder in [h for h, loan in loans.items() if loan.counted_until < now]:
            del loans[holder]
        return sum(loan.amount for h, loan in loans.items() if h != without)

    def ask(
        self, team: str, holder: str, wanted: int, held: int, part: int, now: float
    ) -> int:
        """Grant a holder up to what it wants and return its grant.

        :param held: what it holds already and has not let lapse, or still has
            running: the least that must be counted.
        :param part: the zone's part of the team's limit.
        """
        free = part - self.lent(team, now, without=holder) - self.tasks.get(team, 0)
        ceiling = free if now >= self._closed_until else min(free, held)
        granted = max(min(wanted, ceiling), 0)
        counted = max(granted, held)
        loans = self._loans.setdefault(team, {})
        if counted == 0:
            loans.pop(holder, None)
        else:
            loans[holder] = _Loan(counted, now + self._ttl_s + self._linger_s)
        return granted

    def room_for_tasks(self, team: str, part: int, now: float) -> int:
        """Return how many more tasks a team may start in this zone."""
        if now < self._closed_until:
            return 0
        return max(part - self.lent(team, now) - self.tasks.get(team, 0), 0)
