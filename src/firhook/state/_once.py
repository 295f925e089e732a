"""Claims and outcomes of non-idempotent requests with an idempotency key."""

import sys
from typing import Any

import attrs
import msgspec

from firhook.model import OnceClaimed, OnceDone, OnceReleased, Verdict
from firhook.state._base import StreamState


@attrs.frozen(slots=True)
class OnceEntry:
    """A claim with its holder, and its outcome once known.

    :param body: digest of the request's method, path and body.
    :param holder: lane of the instance that made the claim.
    :param nonce: number of the claim at its holder.
    :param status: status of the answer; 0 until the outcome is known.
    :param data: body of the answer in base64.
    :param whole: whether the body of the answer is kept.
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

    Every non-idempotent request with a key leaves an entry at every instance.  A
    node has 64 MB, and a process that is killed for its memory loses more than an
    old key, so the state is bounded.  Both bounds depend on the records alone, so every
    reader deletes the same entries.
    """

    #: A key is kept until this many later claims.  A request that is repeated after
    #: that runs again, so the operators' page shows how long keys are kept.
    MAX_ENTRIES = 10_000
    #: Maximum total size of the stored bodies, in base64 characters.  The oldest
    #: bodies are deleted first; their keys and statuses stay and still prevent a
    #: repeated run.
    MAX_DATA = 4 << 20

    def __init__(self) -> None:
        super().__init__()
        self.entries: dict[str, OnceEntry] = {}
        self._body_sizes: dict[str, int] = {}
        self._total_size = 0

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
            self._delete(next(iter(self.entries)))
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
        self._add_body(done.key, len(done.data))
        return Verdict.APPLIED

    def _add_body(self, key: str, size: int) -> None:
        if size:
            self._body_sizes[key] = size
            self._total_size += size
        while self._total_size > self.MAX_DATA:
            oldest = next(iter(self._body_sizes))
            self._total_size -= self._body_sizes.pop(oldest)
            self.entries[oldest] = attrs.evolve(
                self.entries[oldest], data="", whole=False
            )

    def _apply_release(self, release: OnceReleased) -> Verdict:
        entry = self.entries.get(release.key)
        if entry is None or entry.done:
            return Verdict.CONFLICT
        if (release.holder, release.nonce) != (entry.holder, entry.nonce):
            return Verdict.CONFLICT
        self._delete(release.key)
        return Verdict.APPLIED

    def _delete(self, key: str) -> None:
        del self.entries[key]
        self._total_size -= self._body_sizes.pop(key, 0)

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
            "data": list(self._body_sizes),
        }

    def load(self, data: Any) -> None:
        """Replace the state by dumped plain data, or leave it unchanged on errors."""
        rows = msgspec.convert(
            data["entries"],
            list[tuple[str, str, str, str, int, int, str, str, bool]],
        )
        entries = {row[0]: OnceEntry(*row[1:]) for row in rows}
        sizes = {key: len(entries[key].data) for key in data["data"]}
        self.entries, self._body_sizes = entries, sizes
        self._total_size = sum(sizes.values())
