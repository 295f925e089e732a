"""State machine of outboxes, states, rebuilds and claims under log failures."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from firhook.decide.claims import Phase
from firhook.model import SnapshotChunk, Verdict
from firhook.state import _snapshots
from tests.state.world import (
    STREAMS,
    AppendInFlight,
    FakeStream,
    Node,
    comparable_state,
)

#: Few instances and keys, so that events interact.  With more of them, the order of
#: events that a fault requires would be drawn far less often.
NAMES = ("a", "b")
names = st.sampled_from(NAMES)
streams = st.sampled_from(sorted(STREAMS))
fates = st.sampled_from(("ok", "lost answer", "late", "dropped", "refused"))
keys = st.just("renewal-1")


class LogMachine(RuleBasedStateMachine):
    """Appends lose their answers or arrive late or twice; instances crash and lag.

    The log retains records for a limited time, and instances that lag rebuild from
    snapshots.  No charge may run twice, no accepted change of the lists may disappear,
    and nothing that was reported as "not recorded" may take effect.
    """

    def __init__(self) -> None:
        super().__init__()
        self.chunk_chars = _snapshots.CHUNK_CHARS
        _snapshots.CHUNK_CHARS = 150
        self.log = {name: FakeStream(kind) for name, kind in STREAMS.items()}
        self.runs = 0
        self.nodes: dict[str, Node] = {}
        self.late: list[AppendInFlight] = []
        self.tickets = []
        self.dispatches: dict[str, int] = {}
        for name in NAMES:
            self._start(name)

    def teardown(self) -> None:
        try:
            self._settle_everything()
        finally:
            _snapshots.CHUNK_CHARS = self.chunk_chars

    def _start(self, name: str) -> None:
        self.runs += 1
        self.nodes[name] = Node(name, self.runs, self.log)

    # -- requests of callers ---------------------------------------------

    @rule(name=names, team=st.sampled_from(("lisboa", "porto")))
    def change_rows(self, name, team):
        if self.nodes[name].ports["config"].ready:
            self.tickets.append(self.nodes[name].change_rows(team))

    @rule(name=names, urgent=st.booleans())
    def give_key(self, name, urgent):
        if self.nodes[name].ports["config"].rebuild is None:
            number = len(self.tickets)
            self.tickets.append(self.nodes[name].give_key(number, urgent))

    @rule(name=names, key=keys, well=st.booleans())
    def claim(self, name, key, well):
        if self.nodes[name].ports["once"].rebuild is None:
            self.nodes[name].claim(key)
        if well:
            self.run_well(name)

    @rule(name=names, key=keys, send=st.booleans())
    def go_on(self, name, key, send):
        """Advance a claimed request by one step."""
        node = self.nodes[name]
        claim = node.claim_table.find(key)
        if claim is None:
            return
        if claim.phase is Phase.SENDING:
            node.finish(key)
        elif claim.phase is Phase.HELD and send:
            node.dispatch(key)
            self.dispatches[key] = self.dispatches.get(key, 0) + 1
            assert self.dispatches[key] == 1, f"{key} was run twice"
        elif claim.phase is Phase.HELD:
            node.give_back(key)

    @rule(name=names, key=keys)
    def inquire(self, name, key):
        node = self.nodes[name]
        entry = node.ports["once"].state.entries.get(key)
        holders = {n.lane: n for n in self.nodes.values()}
        node.inquire(key, holders.get(entry.holder) if entry else None)

    def _ports(self, wanted):
        return [
            port
            for name in NAMES
            for port in self.nodes[name].ports.values()
            if wanted(port)
        ]

    @precondition(lambda self: self._ports(lambda port: port.waiting))
    @rule(data=st.data())
    def give_up(self, data):
        ports = self._ports(lambda port: port.waiting)
        port = data.draw(st.sampled_from(ports))
        port.give_up(data.draw(st.sampled_from(port.waiting)))
        self._step_claims()

    # -- behaviour of the log --------------------------------------------

    @precondition(lambda self: self._ports(lambda port: port.outbox.busy))
    @rule(data=st.data(), fate=fates)
    def append(self, data, fate):
        ports = self._ports(lambda port: port.outbox.busy)
        self._append(data.draw(st.sampled_from(ports)), fate)

    def _append(self, port, fate):
        in_flight = port.in_flight or port.send()
        if in_flight is None:
            return
        if fate in ("ok", "lost answer"):
            port.log.land(in_flight.payloads)
        elif fate == "late":
            self.late.append(in_flight)
        port.in_flight = None
        if fate == "ok":
            port.outbox.note_appended()
        elif fate == "refused":
            port.outbox.note_rejected()
        else:
            port.outbox.note_unknown()

    @rule(name=names)
    def send(self, name):
        """Leave appends in flight while other events happen."""
        for port in self.nodes[name].ports.values():
            port.send()

    @rule(name=names)
    def run_well(self, name):
        """Let an instance append and read for a while without a failure."""
        for _ in range(2):
            for port in self.nodes[name].ports.values():
                if port.outbox.busy:
                    self._append(port, "ok")
                port.read(100)
            self._step_claims()

    @precondition(lambda self: self.late)
    @rule(data=st.data(), again=st.booleans())
    def land_late(self, data, again):
        in_flight = data.draw(st.sampled_from(self.late))
        self.log[in_flight.stream].land(in_flight.payloads)
        if not again:
            self.late.remove(in_flight)

    @rule(name=names, stream=streams, count=st.integers(1, 20))
    def read(self, name, stream, count):
        self.nodes[name].ports[stream].read(count)
        self._step_claims()

    @rule(name=names, stream=streams)
    def carry(self, name, stream):
        self.run_well(name)
        if self.nodes[name].ports[stream].ready and self.log[stream].end:
            self.nodes[name].append_snapshot(stream)

    @rule(stream=streams, keep=st.integers(0, 12), wild=st.integers(0, 19))
    def trim(self, stream, keep, wild):
        """Let records expire, mostly but not always those before a snapshot."""
        log = self.log[stream]
        first = log.end - keep
        if wild != 13:
            first = min(first, log.reference.snapshot_offset)
        log.first = max(log.first, first)

    @rule(name=names, chance=st.integers(0, 3))
    def crash(self, name, chance):
        if chance != 2:
            return
        for port in self.nodes[name].ports.values():
            if port.in_flight is not None:
                self.late.append(port.in_flight)
        self._start(name)

    @rule(name=names, peer=names, stream=streams)
    def load_from_peer(self, name, peer, stream):
        port, other = self.nodes[name].ports[stream], self.nodes[peer].ports[stream]
        ahead = other.state.next_offset > port.state.next_offset
        if other.rebuild is None and ahead:
            port.load(other.state.next_offset, other.state.to_text())
            self._step_claims()

    def _step_claims(self):
        for node in self.nodes.values():
            node.step_claims()

    # -- invariants ------------------------------------------------------

    @invariant()
    def every_reader_reaches_the_same_state(self):
        for node in self.nodes.values():
            for port in node.ports.values():
                expected = port.log.history[port.state.next_offset]
                assert comparable_state(port.state) == expected

    @invariant()
    def version_never_falls(self):
        for node in self.nodes.values():
            version = node.ports["config"].state.version
            assert version >= node.version
            node.version = version

    @invariant()
    def what_callers_were_told_is_true(self):
        for ticket in self.tickets:
            applied = ticket.verdict is Verdict.APPLIED
            if ticket.reported == "never" or (
                ticket.reported == "applied" and not applied
            ):
                # Neither "not recorded" nor a conflict with the own record.
                assert not self._was_applied(ticket.body)
            if ticket.reported == "applied" and ticket.offset >= 0:
                verdict = self.log["config"].verdicts[ticket.offset]
                assert verdict is ticket.verdict is not Verdict.REPEATED

    def _was_applied(self, body):
        """Whether a record that only one ticket submitted was applied."""
        log = self.log["config"]
        sole = sum(t.body == body for t in self.tickets) == 1
        return sole and (body, Verdict.APPLIED) in zip(
            log.bodies, log.verdicts, strict=True
        )

    def _settle_everything(self):
        """Once the log is healthy again, no submitter waits forever."""
        for stream, log in self.log.items():
            for node in self.nodes.values():
                port = node.ports[stream]
                if port.in_flight is not None:
                    port.in_flight = None
                    port.outbox.note_unknown()
            for _ in range(40):
                for name in NAMES:
                    self._append(self.nodes[name].ports[stream], "ok")
                    self.read(name, stream, 500)
            for node in self.nodes.values():
                port = node.ports[stream]
                if port.rebuild is not None or port.state.next_offset < log.first:
                    continue
                left = [
                    item
                    for item in port.waiting
                    if not isinstance(item.body, SnapshotChunk)
                ]
                assert left == []


LogMachine.TestCase.settings = settings(
    max_examples=120, stateful_step_count=60, deadline=None
)
TestLogMachine = LogMachine.TestCase


@pytest.mark.proof
def test_log_machine_at_length():
    """Run the machine with many more examples."""
    from hypothesis.stateful import run_state_machine_as_test

    run_state_machine_as_test(
        LogMachine,
        settings=settings(max_examples=3000, stateful_step_count=80, deadline=None),
    )
