"""The journal: keeps the states of all streams in step with the log.

Every other role learns what holds from records that were read back; nobody
acts on a record because its append was answered.
"""

import asyncio
import random
import time
from typing import Any

from mode import Service

from firhook._append_rate_limiter import AppendRateLimiter
from firhook._stream_client import StreamClient
from firhook.decide.snapshot_timing import is_snapshot_due, snapshot_rank
from firhook.errors import FirhookError, FrameMalformedError, NotReadyError
from firhook.events import (
    Append,
    Applied,
    AskPeer,
    InstancesListed,
    LogAge,
    Members,
    RegisterPeerHandler,
    StreamReady,
)
from firhook.kernel import Role, register_role
from firhook.logs import log
from firhook.model import SnapshotAnswer, SnapshotAsk
from firhook.state import split_snapshot

#: A peer's snapshot goes into one frame; a larger state has to come from the
#: log, which sends it in chunks.
MAX_PEER_SNAPSHOT = 3_000_000
#: Streams whose state a peer's snapshot may give while the log is out.  Claims
#: of requests are not among them: they are worth nothing without the log.
PEER_STREAMS = ("config", "cell")
#: Chunks that are appended together.
_CHUNKS_AT_ONCE = 4
_CHUNK_DEADLINE_S = 30.0
_TICK_S = 1.0
_PEER_TICK_S = 0.5
#: Peers asked for a whole state at once.  All of them would send megabytes to
#: an instance that needs one; what a further peer has comes by gossip's offset.
PEERS_AT_ONCE = 3


@register_role("journal")
class Journal(Role):
    """Follows the streams, carries them forward, and asks peers without the log."""

    def register_handlers(self) -> None:
        """Offer appends and the log's age."""
        cfg = self.cfg
        budget = AppendRateLimiter(cfg.append_budget_per_s / cfg.instances_expected)
        self._listed: set[str] = set()
        self.lanes = {
            stream: StreamClient(
                stream,
                self.kernel.lane,
                state,
                self.platform.log,
                self.bus,
                budget,
                cfg.log_poll_s,
                cfg.carry_forward_s,
            )
            for stream, state in self.states.by_stream.items()
        }
        self.bus.register_handler(Append, self._append)
        self.bus.register_handler(LogAge, self._age)
        self.bus.register_handler(StreamReady, self._stream_ready)
        self.bus.subscribe(InstancesListed, self._on_instances)

    def on_init_dependencies(self) -> list[Any]:
        """Return the lanes, one for each stream."""
        return list(self.lanes.values())

    async def on_start(self) -> None:
        """Answer peers that boot while the log is out."""
        self.bus.publish(RegisterPeerHandler(SnapshotAsk, self._on_snapshot_ask))

    async def _append(self, query: Append) -> Applied:
        return await self.lanes[query.stream].append(query)

    async def _age(self, query: LogAge) -> float:
        return self.lanes[query.stream].age_s

    async def _stream_ready(self, query: StreamReady) -> bool:
        return self.lanes[query.stream].ready

    def _on_instances(self, event: InstancesListed) -> None:
        self._listed = {e.name for e in event.instances if e.kind == "entry"}

    # -- snapshots carried forward ---------------------------------------

    @Service.task
    async def _carry_loop(self) -> None:
        while not self.should_stop:
            await self.sleep(_TICK_S)
            for lane in self.lanes.values():
                try:
                    if self._carries(lane):
                        await self._carry(lane)
                except FirhookError as exc:
                    # Not appended in whole; due again at the next turn.
                    log("snapshot.failed", level="warning", code=exc.code)
                except Exception as exc:
                    log("snapshot.failed", level="error", error=repr(exc))

    def _carries(self, lane: StreamClient) -> bool:
        if not lane.ready or self.kernel.stopping or not lane.stream_state.next_offset:
            return False
        lead = self.states.cell.leads[self.cfg.zone]
        if lead.released or lead.instance != self.kernel.lane:
            return False
        own = lane.stream.startswith("zone.")
        rank = 0 if own else snapshot_rank(self.cfg.zone, self.cfg.zones)
        state = lane.stream_state
        return is_snapshot_due(
            state.next_offset - state.snapshot_offset,
            time.monotonic() - lane.snapshot_read_at,
            rank,
            state.snapshot_parts,
            self.cfg.carry_forward_records,
            self.cfg.carry_forward_s,
        )

    async def _carry(self, lane: StreamClient) -> None:
        state = lane.stream_state
        chunks = split_snapshot(state.next_offset, state.to_text())
        for i in range(0, len(chunks), _CHUNKS_AT_ONCE):
            appends = [
                lane.append(Append(lane.stream, chunk, _CHUNK_DEADLINE_S))
                for chunk in chunks[i : i + _CHUNKS_AT_ONCE]
            ]
            outcomes = await asyncio.gather(*appends, return_exceptions=True)
            for outcome in outcomes:
                if isinstance(outcome, BaseException):
                    raise outcome
        log(
            "snapshot.carried",
            stream=lane.stream,
            upto=chunks[0].upto,
            parts=len(chunks),
        )

    # -- peers, while the log is out -------------------------------------

    async def _on_snapshot_ask(self, ask: SnapshotAsk) -> SnapshotAnswer:
        lane = self.lanes.get(ask.stream)
        if lane is None:
            raise FrameMalformedError(f"stream {ask.stream!r} is not followed here")
        if not lane.ready:
            raise NotReadyError(f"{ask.stream} has not been read whole")
        text = lane.stream_state.to_text()
        if len(text) > MAX_PEER_SNAPSHOT:
            raise NotReadyError(
                f"{ask.stream} has {len(text)} characters; read the log"
            )
        return SnapshotAnswer(ask.stream, lane.stream_state.next_offset, text)

    @Service.task
    async def _peer_loop(self) -> None:
        while not self.should_stop:
            await self.sleep(_PEER_TICK_S)
            for stream in PEER_STREAMS:
                try:
                    await self._catch_up(self.lanes[stream])
                except Exception as exc:
                    log("snapshot.peer_failed", level="error", error=repr(exc))

    async def _catch_up(self, lane: StreamClient) -> None:
        """Take over the furthest peer's state if the log does not show it.

        A zone that is cut off from the log but not from its peers goes on
        learning of changes this way, and so does an instance that starts
        during an outage.
        """
        if lane.age_s <= self.cfg.log_poll_s + 2 * _TICK_S:
            return
        peers = await self._peers_to_ask(lane)
        asks = [self.bus.ask(AskPeer(p, SnapshotAsk(lane.stream))) for p in peers]
        answers = await asyncio.gather(*asks, return_exceptions=True)
        whole = [a for a in answers if isinstance(a, SnapshotAnswer)]
        for answer in sorted(whole, key=lambda a: a.offset, reverse=True):
            if answer.stream == lane.stream and lane.load_peer_snapshot(
                answer.offset, answer.data
            ):
                log("snapshot.from_peer", stream=lane.stream, offset=answer.offset)
                return

    async def _peers_to_ask(self, lane: StreamClient) -> set[str]:
        members = await self.bus.ask(Members())
        if lane.ready and lane.stream != "config":
            return set()
        if lane.ready:
            ahead = [
                m
                for m in members
                if m.gossip.config_offset > lane.stream_state.next_offset
            ]
            return {m.name for m in ahead[:1]}
        names = self._listed | {m.name for m in members}
        names |= {str(seed) for seed in self.cfg.seeds}
        names.discard(self.cfg.name)
        return set(random.sample(sorted(names), min(len(names), PEERS_AT_ONCE)))
