"""Claims of keyed non-idempotent requests and their outcomes."""

from typing import Any

import attrs

from firhook.model import OnceClaimed, OnceDone, OnceReleased, Verdict
from firhook.state._base import StreamState


@attrs.frozen(slots=True)
class OnceEntry:
    """A claim: its holder, and its outcome once that is known."""

    team: str
    body: str
    holder: str
    status: int = 0
    content_type: str = ""
    data: str = ""

    @property
    def done(self) -> bool:
        """Whether the outcome is known."""
        return self.status > 0


class OnceState(StreamState):
    """Claims by the digest of team and Idempotency-Key."""

    #: An outcome is repeated for as long as it is kept here.  Oldest go
    #: first; 4,900 jobs and as many charges a day fill this in ten days.
    MAX_ENTRIES = 50_000

    def __init__(self) -> None:
        super().__init__()
        self.entries: dict[str, OnceEntry] = {}

    def apply_body(self, offset: int, lane: str, body: Any) -> Verdict:
        """Apply a claim, an outcome or a release."""
        if isinstance(body, OnceClaimed):
            if body.key in self.entries:
                return Verdict.CONFLICT
            self.entries[body.key] = OnceEntry(body.team, body.body, body.holder)
            if len(self.entries) > self.MAX_ENTRIES:
                del self.entries[next(iter(self.entries))]
            return Verdict.APPLIED
        if isinstance(body, OnceDone):
            entry = self.entries.get(body.key)
            if entry is None or entry.done:
                return Verdict.CONFLICT
            self.entries[body.key] = attrs.evolve(
                entry,
                status=body.status,
                content_type=body.content_type,
                data=body.data,
            )
            return Verdict.APPLIED
        if isinstance(body, OnceReleased):
            entry = self.entries.get(body.key)
            if entry is None or entry.done or entry.holder != body.holder:
                return Verdict.CONFLICT
            del self.entries[body.key]
            return Verdict.APPLIED
        return Verdict.IGNORED

    def dump(self) -> Any:
        """Return the state as plain data."""
        return [
            [k, e.team, e.body, e.holder, e.status, e.content_type, e.data]
            for k, e in self.entries.items()
        ]

    def load(self, data: Any) -> None:
        """Replace the state by dumped plain data."""
        self.entries = {row[0]: OnceEntry(*row[1:]) for row in data}
