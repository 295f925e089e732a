"""A fake log and instances around the real outboxes, states and claim tables."""

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


def comparable_state(state: StreamState) -> bytes:
    """Return the part of a state that is equal at all readers of the same records."""
    data = [state.lanes.dump(), state.dump()]
    return msgspec.json.encode(data, order="sorted")


@attrs.define(eq=False)
class FakeStream:
    """One stream with all its records; the log retains those from ``first``."""

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
        self.history.append(comparable_state(self.reference))

    @property
    def end(self) -> int:
        """The offset that the next record gets."""
        return len(self.records)

    def land(self, payloads: tuple[bytes, ...]) -> None:
        """Append records and apply them to the reference state."""
        for payload in payloads:
            self.records.append(payload)
            envelope = decode_envelope(payload)
            self.bodies.append(envelope.body)
            verdict = self.reference.apply(self.end - 1, envelope)
            if verdict is Verdict.APPLIED:
                # Records after a higher number of their lane must stay void.
                assert envelope.seq > self.highest.get(envelope.lane, 0)
            seqs = envelope.seq, self.highest.get(envelope.lane, 0)
            self.highest[envelope.lane] = max(seqs)
            self.verdicts.append(verdict)
            self.history.append(comparable_state(self.reference))


@attrs.define(eq=False)
class Ticket:
    """The outcome that the submitter of a record received."""

    body: object
    reported: str = ""
    offset: int = -1
    verdict: Verdict | None = None


@attrs.define(eq=False)
class AppendInFlight:
    """An append in transit to the log."""

    stream: str
    payloads: tuple[bytes, ...]


class Port:
    """One instance's client of one stream, like the real stream client."""

    def __init__(self, name: str, lane: str, stream: FakeStream) -> None:
        self.name = name
        self.lane = lane
        self.log = stream
        self.state: StreamState = stream.kind()
        self.outbox = Outbox(lane)
        self.rebuild: SnapshotFinder | None = None
        self.in_flight: AppendInFlight | None = None
        self.waiting: list[OutgoingRecord] = []
        self.on_applied = lambda envelope, verdict: None

    def add(self, body: object, urgent: bool = False) -> Ticket:
        """Submit a record."""
        ticket = Ticket(body)
        self.waiting.append(self.outbox.add(body, urgent, ticket))
        return ticket

    def send(self) -> AppendInFlight | None:
        """Send the next append unless one is in flight."""
        if self.in_flight is not None:
            return None
        batch = self.outbox.next_append()
        if batch:
            payloads = tuple(encode_envelope(e) for e in batch)
            self.in_flight = AppendInFlight(self.name, payloads)
        return self.in_flight

    def give_up(self, item: OutgoingRecord) -> None:
        """Stop waiting and report the known outcome."""
        self.waiting.remove(item)
        item.token.reported = "unknown" if self.outbox.give_up(item) else "never"

    def read(self, count: int) -> None:
        """Read some records, or start a rebuild if they have expired."""
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
        """Load a snapshot."""
        self.state.from_text(offset, text)
        self.rebuild = None
        last = self.state.lanes.last(self.lane)
        for item in self.outbox.take_landed(last):
            self.waiting.remove(item)
            held = self.state.has_applied(self.lane, item.body)
            item.token.reported = "applied" if held else "unknown"
            item.token.verdict = Verdict.APPLIED if held else None
        self.outbox.note_last_read(last)

    def _resolve(self, offset: int, seq: int, verdict: Verdict) -> None:
        item = self.outbox.read_back(seq)
        if item is not None:
            self.waiting.remove(item)
            item.token.reported = "applied"
            item.token.offset, item.token.verdict = offset, verdict
        self.outbox.note_last_read(self.state.lanes.last(self.lane))

    @property
    def ready(self) -> bool:
        """Whether the state is complete up to the end of the stream."""
        return self.rebuild is None and self.state.next_offset == self.log.end


class Node:
    """One instance: its ports, and the handling of claims like in the once role."""

    def __init__(self, name: str, run: int, log: dict[str, FakeStream]) -> None:
        self.name = name
        self.lane = f"{name}#{run}"
        self.ports = {s: Port(s, self.lane, log[s]) for s in STREAMS}
        self.claim_table = ClaimTable()
        self.claims: dict[str, Ticket] = {}
        self.dispatched: set[str] = set()
        self.version = 0
        self.ports["once"].on_applied = self._on_once

    def change_rows(self, team: str) -> Ticket:
        """Change the lists based on this instance's version."""
        base = self.ports["config"].state.version
        plan = Row("plans", "small", {"share": "1", "limit": "4"})
        row = Row("teams", team, {"plan": "small"})
        return self.ports["config"].add(RowsChanged(base, (plan, row), self.lane))

    def give_key(self, number: int, urgent: bool) -> Ticket:
        """Give a key."""
        record = KeyGiven(f"k{number}", "", f"d{number}")
        return self.ports["config"].add(record, urgent)

    def claim(self, key: str) -> None:
        """Claim a key unless it is claimed already."""
        port = self.ports["once"]
        if key in port.state.entries or self.claim_table.find(key) is not None:
            return
        nonce = self.claim_table.begin(key)
        record = OnceClaimed(key, "lisboa", "body", self.lane, nonce)
        self.claims[key] = port.add(record)

    def step_claims(self) -> list[str]:
        """Process the outcomes of claims; return the keys that were just won."""
        won = []
        for key, ticket in list(self.claims.items()):
            if not ticket.reported:
                continue
            del self.claims[key]
            if ticket.reported == "applied" and ticket.verdict is Verdict.APPLIED:
                self.claim_table.set_phase(key, Phase.HELD)
                won.append(key)
            else:
                self.claim_table.remove(key)
        return won

    def dispatch(self, key: str) -> None:
        """Send a claimed request to a runner."""
        self.claim_table.set_phase(key, Phase.SENDING)
        self.dispatched.add(key)

    def give_back(self, key: str) -> None:
        """Release a claim that was not dispatched."""
        nonce = self.claim_table.find(key).nonce
        self.claim_table.remove(key)
        self.ports["once"].add(OnceReleased(key, self.lane, nonce))

    def finish(self, key: str) -> None:
        """Store the outcome of a dispatched request."""
        nonce = self.claim_table.find(key).nonce
        self.claim_table.set_phase(key, Phase.DONE)
        done = OnceDone(key, 200, "", "", True, self.lane, nonce)
        self.ports["once"].add(done)

    def inquire(self, key: str, holder: "Node | None") -> None:
        """Ask the holder of a claim, and release the claim if it was never sent."""
        entry = self.ports["once"].state.entries.get(key)
        if entry is None or entry.done or holder is None:
            return
        if holder.claim_table.send_status(key, entry.nonce) is SendStatus.NEVER:
            release = OnceReleased(key, entry.holder, entry.nonce)
            self.ports["once"].add(release)

    def _on_once(self, envelope, verdict: Verdict) -> None:
        body = envelope.body
        if verdict is not Verdict.APPLIED or not isinstance(body, OnceClaimed):
            return
        if body.holder != self.lane:
            return
        if self.claim_table.send_status(body.key, body.nonce) is SendStatus.NEVER:
            release = OnceReleased(body.key, body.holder, body.nonce)
            self.ports["once"].add(release)

    def append_snapshot(self, stream: str) -> None:
        """Append a snapshot of a stream's state."""
        port = self.ports[stream]
        for chunk in split_snapshot(port.state.next_offset, port.state.to_text()):
            port.add(chunk)
