"""Ownership of the units of a team's limit by zones.

A limit of 30 consists of 30 numbered tokens.  With n zones in order of name,
zone ``i mod n`` is the home of token ``i``; a transfer gives tokens of one zone to
another.  A zone's part is the number of tokens below the limit that it owns.

Limits are in stream ``config`` and transfers in stream ``cell``.  Two zones may
have read these up to different records: one knows a new limit or a transfer that
the other has not read.  Parts by token are still safe.
At each offset a token has one owner, a giver knows of its transfer before the
receiver does, and a higher limit only adds tokens.  The parts of all zones
therefore never add up to more than the largest limit that any of them still uses.
Net amounts per zone would give no such bound once a limit falls below what has
been transferred.
"""

from collections.abc import Iterable, Sequence

import attrs

#: Maximum number of spans per team.  Every instance stores this state for every
#: team and includes it in snapshots.  A team whose tokens are more fragmented may
#: only transfer whole spans until they are merged again.
MAX_SPANS = 256


@attrs.frozen(slots=True)
class Span:
    """A range of tokens that another zone than their home owns.

    :param home: the home zone of the tokens.
    :param first: first row; row ``r`` of the zone at position ``p`` of n is token
        ``r * n + p``.
    :param last: the row after the last one.
    :param owner: the zone that owns the tokens.
    """

    home: str
    first: int
    last: int
    owner: str

    def __len__(self) -> int:
        return max(self.last - self.first, 0)

    def below(self, rows: int) -> int:
        """Return how many rows of the span are below a row."""
        return max(min(self.last, rows) - self.first, 0)


def split(limit: int, holders: Sequence[str]) -> dict[str, int]:
    """Split a limit into whole parts that add up to it.

    :param limit: the team's limit over the fleet.
    :param holders: names that get a part, in any order.
    :return: each holder's part.  The remainder goes to the first holders by name,
        so every instance computes the same parts from the same lists.
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

    :param moved: the team's spans.
    """
    rows = split(limit, zones)
    parts = dict(rows)
    for span in moved:
        if span.home in rows and span.owner in rows:
            away = span.below(rows[span.home])
            parts[span.home] -= away
            parts[span.owner] += away
    return parts


def _tokens_to_give(
    moved: Sequence[Span], rows: dict[str, int], owner: str, receiver: str
) -> list[Span]:
    """Return an owner's tokens in the order in which it should give them away.

    Tokens whose home is the receiver come first, then the smallest spans of other
    zones, then the owner's own tokens from the top.  This reverses earlier
    transfers instead of increasing the fragmentation.
    """
    away = [
        attrs.evolve(s, last=min(s.last, rows[s.home]))
        for s in moved
        if s.owner == owner and s.home in rows and s.below(rows[s.home])
    ]
    away.sort(key=lambda s: (s.home != receiver, len(s), s.home, s.first))
    at_home, first = [], 0
    for span in sorted((s for s in moved if s.home == owner), key=lambda s: s.first):
        at_home.append(Span(owner, first, min(span.first, rows[owner]), owner))
        first = span.last
    at_home.append(Span(owner, first, rows[owner], owner))
    return away + [s for s in reversed(at_home) if len(s) > 0]


def _reassign(moved: Sequence[Span], piece: Span, owner: str) -> tuple[Span, ...]:
    """Return the spans after ``piece`` changed its owner."""
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
    """Return the spans after a transfer, or ``None`` if the transfer is void.

    It is void if the giver owns too few tokens below the limit, or if there would
    be more than :data:`MAX_SPANS` spans.

    :param moved: the team's spans before the transfer.
    :param limit: the limit known to the giver; only tokens below it move.
    """
    rows = split(limit, zones)
    if giver not in rows or receiver not in rows or giver == receiver or amount < 1:
        return None
    result: tuple[Span, ...] = tuple(moved)
    for piece in _tokens_to_give(moved, rows, giver, receiver):
        taken = min(amount, len(piece))
        top = attrs.evolve(piece, first=piece.last - taken)
        result = _reassign(result, top, receiver)
        amount -= taken
        if amount == 0:
            break
    return None if amount or len(result) > MAX_SPANS else result
