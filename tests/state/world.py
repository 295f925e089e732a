"""A fake log and instances around the real lanes, states and claim books."""

import attrs
import msgspec

from firhook.decide.claims import ClaimTable, Phase, SendStatus
from firhook.decide.outbox import Outbox, OutgoingRecord
from firhook.model import (
    KeyGiven,
    OnceClaimed,
    OnceDone,
    OnceReleased,
    Row,
    RowsChanged,
    SnapshotChunk,
    Verdict,
    decode_envelope,
    encode_envelope,
)
from firhook.state import (
    ConfigState,
    OnceState,
    SnapshotFinder,
    StreamState,
    split_snapshot,
)

STREAMS = {"config": ConfigState, "once": OnceState}


def facts(state: StreamState) -> bytes:
    """Return what all readers of the same records must agree on."""
    data = [state.lanes.dump(), state.dump()]
    return msgspec.json.encode(data, order="sorted")


@attrs.define(eq=False)
class FakeStream:
    """One stream: all its records, of which the log still keeps some."""

    kind: type
    first: int = 0
    records: list[bytes] = attrs.field(factory=list)
    bodies: list[object] = attrs.field(factory=list)
    highest: dict[str, int] = attrs.field(factory=dict)
    verdicts: list[Verdict] = attrs.field(factory=list)
    history: list[bytes] = attrs.field(factory=list)
    reference: StreamState = None

    def __attrs_post_init__(self) -> None:
        self.reference = self.kind()
        self.history.append(facts(self.reference))

    @property
    def end(self) -> int:
        """The offset that the next record gets."""
        return len(self.records)

    def land(self, payloads: tuple[bytes, ...]) -> None:
        """Take records, and apply them to the reference that reads all."""
        for payload in payloads:
            self.records.append(payload)
            envelope = decode_envelope(payload)
            self.bodies.append(envelope.body)
            verdict = self.reference.apply(self.end - 1, envelope)
            if verdict is Verdict.APPLIED:
                # What came behind a later number of its lane stays void.
                assert envelope.seq > self.highest.get(envelope.lane, 0)
            seqs = envelope.seq, self.highest.get(envelope.lane, 0)
            self.highest[envelope.lane] = max(seqs)
            self.verdicts.append(verdict)
            self.history.append(facts(self.reference))


@attrs.define(eq=False)
class Ticket:
    """What somebody who asked for a record was told."""

    body: object
    told: str = ""
    offset: int = -1
    verdict: Verdict | None = None


@attrs.define(eq=False)
class Copy:
    """An append on its way to the log."""

    stream: str
    payloads: tuple[bytes, ...]


class Port:
    """One instance's end of one stream, as the journal's lane drives it."""

    def __init__(self, name: str, lane: str, stream: FakeStream) -> None:
        self.name = name
        self.lane = lane
        self.log = stream
        self.state: StreamState = stream.kind()
        self.outbox = Outbox(lane)
        self.rebuild: SnapshotFinder | None = None
        self.copy: Copy | None = None
        self.waiting: list[OutgoingRecord] = []
        self.on_applied = lambda envelope, verdict: None

    def add(self, body: object, urgent: bool = False) -> Ticket:
        """Ask for a record."""
        ticket = Ticket(body)
        self.waiting.append(self.outbox.add(body, urgent, ticket))
        return ticket

    def send(self) -> Copy | None:
        """Send the next append unless one is in flight."""
        if self.copy is not None:
            return None
        batch = self.outbox.next_append()
        if batch:
            payloads = tuple(encode_envelope(e) for e in batch)
            self.copy = Copy(self.name, payloads)
        return self.copy

    def give_up(self, item: OutgoingRecord) -> None:
        """Stop waiting, and tell whoever asked what is known."""
        self.waiting.remove(item)
        item.token.told = "unknown" if self.outbox.give_up(item) else "never"

    def read(self, count: int) -> None:
        """Read some records, or start a rebuild where they have expired."""
        source = self.rebuild or self.state
        if source.next_offset < self.log.first:
            self.rebuild = SnapshotFinder(self.log.first)
            return
        for offset in range(source.next_offset, self.log.end)[:count]:
            envelope = decode_envelope(self.log.records[offset])
            if self.rebuild is not None:
                self._scan(offset, envelope)
                if self.rebuild is None:
                    return
                continue
            verdict = self.state.apply(offset, envelope)
            self.on_applied(envelope, verdict)
            if envelope.lane == self.lane:
                self._resolve(offset, envelope.seq, verdict)

    def _scan(self, offset, envelope) -> None:
        self.rebuild.next_offset = offset + 1
        if isinstance(envelope.body, SnapshotChunk):
            snapshot = self.rebuild.add(envelope.lane, envelope.body)
            if snapshot is not None:
                self.load(snapshot.upto, snapshot.text)

    def load(self, offset: int, text: str) -> None:
        """Take over a snapshot."""
        self.state.from_text(offset, text)
        self.rebuild = None
        last = self.state.lanes.last(self.lane)
        for item in self.outbox.take_landed(last):
            self.waiting.remove(item)
            held = self.state.has_applied(self.lane, item.body)
            item.token.told = "applied" if held else "unknown"
            item.token.verdict = Verdict.APPLIED if held else None
        self.outbox.note_last_read(last)

    def _resolve(self, offset: int, seq: int, verdict: Verdict) -> None:
        item = self.outbox.read_back(seq)
        if item is not None:
            self.waiting.remove(item)
            item.token.told = "applied"
            item.token.offset, item.token.verdict = offset, verdict
        self.outbox.note_last_read(self.state.lanes.last(self.lane))

    @property
    def ready(self) -> bool:
        """Whether the state is whole up to the end."""
        return self.rebuild is None and self.state.next_offset == self.log.end


class Node:
    """One instance: its ports, and its part in claims as the once role has it."""

    def __init__(self, name: str, run: int, log: dict[str, FakeStream]) -> None:
        self.name = name
        self.lane = f"{name}#{run}"
        self.ports = {s: Port(s, self.lane, log[s]) for s in STREAMS}
        self.book = ClaimTable()
        self.claims: dict[str, Ticket] = {}
        self.dispatched: set[str] = set()
        self.version = 0
        self.ports["once"].on_applied = self._on_once

    def change_rows(self, team: str) -> Ticket:
        """Change the lists on the version that this instance has in force."""
        base = self.ports["config"].state.version
        plan = Row("plans", "small", {"share": "1", "limit": "4"})
        row = Row("teams", team, {"plan": "small"})
        return self.ports["config"].add(RowsChanged(base, (plan, row), self.lane))

    def give_key(self, number: int, urgent: bool) -> Ticket:
        """Give a key."""
        record = KeyGiven(f"k{number}", "", f"d{number}")
        return self.ports["config"].add(record, urgent)

    def claim(self, key: str) -> None:
        """Claim a key, unless one is held."""
        port = self.ports["once"]
        if key in port.state.entries or self.book.find(key) is not None:
            return
        nonce = self.book.begin(key)
        record = OnceClaimed(key, "lisboa", "body", self.lane, nonce)
        self.claims[key] = port.add(record)

    def step_claims(self) -> list[str]:
        """Go on with what became of claims; return the keys won just now."""
        won = []
        for key, ticket in list(self.claims.items()):
            if not ticket.told:
                continue
            del self.claims[key]
            if ticket.told == "applied" and ticket.verdict is Verdict.APPLIED:
                self.book.set_phase(key, Phase.HELD)
                won.append(key)
            else:
                self.book.remove(key)
        return won

    def dispatch(self, key: str) -> None:
        """Send a claimed request to a runner."""
        self.book.set_phase(key, Phase.SENDING)
        self.dispatched.add(key)

    def give_back(self, key: str) -> None:
        """Give back a claim that was not dispatched."""
        nonce = self.book.find(key).nonce
        self.book.remove(key)
        self.ports["once"].add(OnceReleased(key, self.lane, nonce))

    def finish(self, key: str) -> None:
        """Store the outcome of a dispatched request."""
        nonce = self.book.find(key).nonce
        self.book.set_phase(key, Phase.DONE)
        done = OnceDone(key, 200, "", "", True, self.lane, nonce)
        self.ports["once"].add(done)

    def inquire(self, key: str, holder: "Node | None") -> None:
        """Ask the holder of a claim, and give the claim back on its word."""
        entry = self.ports["once"].state.entries.get(key)
        if entry is None or entry.done or holder is None:
            return
        if holder.book.send_status(key, entry.nonce) is SendStatus.NEVER:
            release = OnceReleased(key, entry.holder, entry.nonce)
            self.ports["once"].add(release)

    def _on_once(self, envelope, verdict: Verdict) -> None:
        body = envelope.body
        if verdict is not Verdict.APPLIED or not isinstance(body, OnceClaimed):
            return
        if body.holder != self.lane:
            return
        if self.book.send_status(body.key, body.nonce) is SendStatus.NEVER:
            release = OnceReleased(body.key, body.holder, body.nonce)
            self.ports["once"].add(release)

    def carry(self, stream: str) -> None:
        """Carry a stream's state forward."""
        port = self.ports[stream]
        for chunk in split_snapshot(port.state.next_offset, port.state.to_text()):
            port.add(chunk)
