"""Claims of keyed non-idempotent requests and their outcomes."""

import sys
from typing import Any

import attrs
import msgspec

from firhook.model import OnceClaimed, OnceDone, OnceReleased, Verdict
from firhook.state._base import StreamState


@attrs.frozen(slots=True)
class OnceEntry:
    """A claim: its holder, and its outcome once that is known.

    :param data: the answer's body in base64.
    :param whole: whether the body of the outcome is kept.
    """

    team: str
    body: str
    holder: str
    nonce: int = 0
    status: int = 0
    content_type: str = ""
    data: str = ""
    whole: bool = True

    @property
    def done(self) -> bool:
        """Whether the outcome is known."""
        return self.status > 0


class OnceState(StreamState):
    """Claims by the digest of team and Idempotency-Key.

    Load: each keyed charge or declaration leaves an entry here, at every
    instance.  Harm prevented: a node has 64 MB, and a state that grows until
    the process is killed loses more than an old key.  Both bounds depend on
    the records alone, so every reader drops the same.
    """

    #: A key is known for this many claims.  Whoever repeats a request later
    #: than that runs it again, so the operators' page says how long it is.
    MAX_ENTRIES = 10_000
    #: Characters of bodies that are kept, in base64.  The oldest bodies go
    #: first; their keys and statuses stay, and still keep a repeat from
    #: running.
    MAX_DATA = 4 << 20

    def __init__(self) -> None:
        super().__init__()
        self.entries: dict[str, OnceEntry] = {}
        self._data: dict[str, int] = {}
        self._total = 0

    def apply_body(self, offset: int, lane: str, body: Any) -> Verdict:
        """Apply a claim, an outcome or a release."""
        if isinstance(body, OnceClaimed):
            return self._apply_claim(body)
        if isinstance(body, OnceDone):
            return self._apply_done(body)
        if isinstance(body, OnceReleased):
            return self._apply_release(body)
        return Verdict.IGNORED

    def _apply_claim(self, claim: OnceClaimed) -> Verdict:
        if claim.key in self.entries:
            return Verdict.CONFLICT
        self.entries[claim.key] = OnceEntry(
            sys.intern(claim.team), claim.body, sys.intern(claim.holder), claim.nonce
        )
        if len(self.entries) > self.MAX_ENTRIES:
            self._drop(next(iter(self.entries)))
        return Verdict.APPLIED

    def _apply_done(self, done: OnceDone) -> Verdict:
        entry = self.entries.get(done.key)
        if entry is None or entry.done or done.status < 1:
            return Verdict.CONFLICT
        if done.holder and (done.holder, done.nonce) != (entry.holder, entry.nonce):
            return Verdict.CONFLICT
        self.entries[done.key] = attrs.evolve(
            entry,
            status=done.status,
            content_type=sys.intern(done.content_type),
            data=done.data,
            whole=done.whole,
        )
        self._count_data(done.key, len(done.data))
        return Verdict.APPLIED

    def _count_data(self, key: str, size: int) -> None:
        if size:
            self._data[key] = size
            self._total += size
        while self._total > self.MAX_DATA:
            oldest = next(iter(self._data))
            self._total -= self._data.pop(oldest)
            self.entries[oldest] = attrs.evolve(
                self.entries[oldest], data="", whole=False
            )

    def _apply_release(self, release: OnceReleased) -> Verdict:
        entry = self.entries.get(release.key)
        if entry is None or entry.done:
            return Verdict.CONFLICT
        if (release.holder, release.nonce) != (entry.holder, entry.nonce):
            return Verdict.CONFLICT
        self._drop(release.key)
        return Verdict.APPLIED

    def _drop(self, key: str) -> None:
        del self.entries[key]
        self._total -= self._data.pop(key, 0)

    def has_applied(self, lane: str, body: Any) -> bool:
        """Return whether a claim is held, or an outcome is stored."""
        entry = self.entries.get(getattr(body, "key", ""))
        if entry is None or (entry.holder, entry.nonce) != (
            getattr(body, "holder", ""),
            getattr(body, "nonce", 0),
        ):
            return False
        if isinstance(body, OnceClaimed):
            return True
        return isinstance(body, OnceDone) and entry.done

    def dump(self) -> Any:
        """Return the state as plain data."""
        return {
            "entries": [[key, *attrs.astuple(e)] for key, e in self.entries.items()],
            "data": list(self._data),
        }

    def load(self, data: Any) -> None:
        """Replace the state by dumped plain data, all of it or nothing."""
        rows = msgspec.convert(
            data["entries"],
            list[tuple[str, str, str, str, int, int, str, str, bool]],
        )
        entries = {row[0]: OnceEntry(*row[1:]) for row in rows}
        sizes = {key: len(entries[key].data) for key in data["data"]}
        self.entries, self._data = entries, sizes
        self._total = sum(sizes.values())
