"""Which zone owns which unit of a team's upper limit.

A limit of 30 is 30 numbered tokens.  Over n zones in order of name, token
``i`` is at home in zone ``i mod n``; a transfer gives tokens of one zone to
another.  A zone's part is the number of tokens below the limit that it owns.

Two zones may have read the two streams up to different records: one knows a
new limit that the other does not, or a transfer that the other has not read.
Parts by token stay safe all the same.  At each offset a token has one owner,
a giver knows of its gift before the receiver does, and a higher limit only
adds tokens.  So the parts of all zones never add up to more than the largest
limit that any of them still reads.  Net amounts per zone, which an earlier
version kept, gave no such bound once a limit fell below what had been moved.
"""

from collections.abc import Iterable, Sequence

import attrs

#: Spans kept for one team.  Each instance holds and carries forward this state
#: for every team, so a team whose tokens are scattered further may only move
#: whole spans until it has gathered them again.
MAX_SPANS = 256


@attrs.frozen(slots=True)
class Span:
    """Tokens that are away from home.

    :param home: the zone whose tokens they are.
    :param first: first row; row ``r`` of the zone at place ``p`` of n is
        token ``r * n + p``.
    :param last: the row after the last.
    :param owner: the zone that owns them.
    """

    home: str
    first: int
    last: int
    owner: str

    def __len__(self) -> int:
        return max(self.last - self.first, 0)

    def below(self, rows: int) -> int:
        """Return how many of its rows are below a row."""
        return max(min(self.last, rows) - self.first, 0)


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
    limit: int, zones: Sequence[str], moved: Iterable[Span] = ()
) -> dict[str, int]:
    """Return each zone's part of a limit after transfers between zones.

    :param moved: the team's tokens that are away from home.
    """
    rows = split(limit, zones)
    parts = dict(rows)
    for span in moved:
        if span.home in rows and span.owner in rows:
            away = span.below(rows[span.home])
            parts[span.home] -= away
            parts[span.owner] += away
    return parts


def _owned(
    moved: Sequence[Span], rows: dict[str, int], owner: str, favoured: str
) -> list[Span]:
    """Return an owner's tokens, those first that it should give first.

    Tokens go back to the favoured zone's home first, then the smallest spans
    of others, then own ones from the top: this undoes earlier transfers
    instead of scattering the tokens ever further.
    """
    away = [
        attrs.evolve(s, last=min(s.last, rows[s.home]))
        for s in moved
        if s.owner == owner and s.home in rows and s.below(rows[s.home])
    ]
    away.sort(key=lambda s: (s.home != favoured, len(s), s.home, s.first))
    gaps, first = [], 0
    for span in sorted((s for s in moved if s.home == owner), key=lambda s: s.first):
        gaps.append(Span(owner, first, min(span.first, rows[owner]), owner))
        first = span.last
    gaps.append(Span(owner, first, rows[owner], owner))
    return away + [s for s in reversed(gaps) if len(s) > 0]


def _assign(moved: Sequence[Span], piece: Span, owner: str) -> tuple[Span, ...]:
    """Return the spans after a piece changed its owner."""
    result = []
    for span in moved:
        if span.home != piece.home:
            result.append(span)
            continue
        left = attrs.evolve(span, last=min(span.last, piece.first))
        right = attrs.evolve(span, first=max(span.first, piece.last))
        result += [s for s in (left, right) if len(s) > 0]
    if owner != piece.home:
        result.append(attrs.evolve(piece, owner=owner))
    result.sort(key=lambda s: (s.home, s.first))
    merged: list[Span] = []
    for span in result:
        last = merged[-1] if merged else None
        if last and (last.home, last.owner, last.last) == (
            span.home,
            span.owner,
            span.first,
        ):
            merged[-1] = attrs.evolve(last, last=span.last)
        else:
            merged.append(span)
    return tuple(merged)


def move_tokens(
    moved: Sequence[Span],
    zones: Sequence[str],
    limit: int,
    giver: str,
    receiver: str,
    amount: int,
) -> tuple[Span, ...] | None:
    """Return the spans after a transfer, or ``None`` if it is void.

    It is void if the giver owns too few tokens below the limit, or if the
    tokens would be scattered over more than :data:`MAX_SPANS` spans.

    :param limit: the limit that the giver knew; only tokens below it move.
    """
    rows = split(limit, zones)
    if giver not in rows or receiver not in rows or giver == receiver or amount < 1:
        return None
    result: tuple[Span, ...] = tuple(moved)
    for piece in _owned(moved, rows, giver, receiver):
        taken = min(amount, len(piece))
        top = attrs.evolve(piece, first=piece.last - taken)
        result = _assign(result, top, receiver)
        amount -= taken
        if amount == 0:
            break
    return None if amount or len(result) > MAX_SPANS else result
