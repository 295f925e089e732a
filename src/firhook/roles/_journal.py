"""The journal role: keeps the states of all streams up to date with the log.

The other roles act only on records that were read back, never on the answer to
an append.
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

#: A peer sends its snapshot in one frame.  A larger state has to be read from
#: the log, where it is split into chunks.
MAX_PEER_SNAPSHOT_CHARS = 3_000_000
#: Streams whose state may be loaded from a peer while the log is unavailable.
#: Claims of requests are excluded: without the log they are useless.
PEER_STREAMS = ("config", "cell")
#: Number of snapshot chunks appended concurrently.
_CHUNK_BATCH_SIZE = 4
_CHUNK_DEADLINE_S = 30.0
_CHECK_INTERVAL_S = 1.0
_PEER_CHECK_INTERVAL_S = 0.5
#: Number of peers asked for a snapshot at once.  If all of them answered, an
#: instance that needs one snapshot would receive many megabytes.  Newer state of
#: ``config`` is loaded later from a peer whose gossip shows a higher offset.
MAX_PEER_REQUESTS = 3


@register_role("journal")
class Journal(Role):
    """Follows the streams, appends snapshots, and falls back to peers' snapshots."""

    def register_handlers(self) -> None:
        """Create the stream clients and register the handlers for the log."""
        cfg = self.cfg
        budget = AppendRateLimiter(cfg.append_budget_per_s / cfg.instances_expected)
        self._listed_entries: set[str] = set()
        self.clients = {
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
        self.bus.register_handler(LogAge, self._log_age)
        self.bus.register_handler(StreamReady, self._stream_ready)
        self.bus.subscribe(InstancesListed, self._on_instances)

    def on_init_dependencies(self) -> list[Any]:
        """Return the stream clients as child services."""
        return list(self.clients.values())

    async def on_start(self) -> None:
        """Register the handler for peers that start while the log is unavailable."""
        self.bus.publish(RegisterPeerHandler(SnapshotAsk, self._on_snapshot_ask))

    async def _append(self, query: Append) -> Applied:
        return await self.clients[query.stream].append(query)

    async def _log_age(self, query: LogAge) -> float:
        return self.clients[query.stream].age_s

    async def _stream_ready(self, query: StreamReady) -> bool:
        return self.clients[query.stream].ready

    def _on_instances(self, event: InstancesListed) -> None:
        self._listed_entries = {e.name for e in event.instances if e.kind == "entry"}

    # -- snapshots in the log --------------------------------------------

    @Service.task
    async def _snapshot_loop(self) -> None:
        while not self.should_stop:
            await self.sleep(_CHECK_INTERVAL_S)
            for client in self.clients.values():
                try:
                    if self._is_snapshot_due(client):
                        await self._append_snapshot(client)
                except FirhookError as exc:
                    # The snapshot is incomplete and stays due.
                    log("snapshot.failed", level="warning", code=exc.code)
                except Exception as exc:
                    log("snapshot.failed", level="error", error=repr(exc))

    def _is_snapshot_due(self, client: StreamClient) -> bool:
        if (
            not client.ready
            or self.kernel.stopping
            or not client.stream_state.next_offset
        ):
            return False
        lead = self.states.cell.leads[self.cfg.zone]
        if lead.released or lead.instance != self.kernel.lane:
            return False
        is_own_zone = client.stream.startswith("zone.")
        rank = 0 if is_own_zone else snapshot_rank(self.cfg.zone, self.cfg.zones)
        state = client.stream_state
        return is_snapshot_due(
            state.next_offset - state.snapshot_offset,
            time.monotonic() - client.snapshot_read_at,
            rank,
            state.snapshot_parts,
            self.cfg.carry_forward_records,
            self.cfg.carry_forward_s,
        )

    async def _append_snapshot(self, client: StreamClient) -> None:
        state = client.stream_state
        chunks = split_snapshot(state.next_offset, state.to_text())
        for i in range(0, len(chunks), _CHUNK_BATCH_SIZE):
            appends = [
                client.append(Append(client.stream, chunk, _CHUNK_DEADLINE_S))
                for chunk in chunks[i : i + _CHUNK_BATCH_SIZE]
            ]
            outcomes = await asyncio.gather(*appends, return_exceptions=True)
            for outcome in outcomes:
                if isinstance(outcome, BaseException):
                    raise outcome
        log(
            "snapshot.carried",
            stream=client.stream,
            upto=chunks[0].upto,
            parts=len(chunks),
        )

    # -- snapshots from peers --------------------------------------------

    async def _on_snapshot_ask(self, ask: SnapshotAsk) -> SnapshotAnswer:
        client = self.clients.get(ask.stream)
        if client is None:
            raise FrameMalformedError(f"stream {ask.stream!r} is not followed here")
        if not client.ready:
            raise NotReadyError(f"stream {ask.stream!r} has not been read completely")
        text = client.stream_state.to_text()
        if len(text) > MAX_PEER_SNAPSHOT_CHARS:
            raise NotReadyError(
                f"the state of {ask.stream!r} has {len(text)} characters; read the log"
            )
        return SnapshotAnswer(ask.stream, client.stream_state.next_offset, text)

    @Service.task
    async def _peer_snapshot_loop(self) -> None:
        while not self.should_stop:
            await self.sleep(_PEER_CHECK_INTERVAL_S)
            for stream in PEER_STREAMS:
                try:
                    await self._load_peer_state(self.clients[stream])
                except Exception as exc:
                    log("snapshot.peer_failed", level="error", error=repr(exc))

    async def _load_peer_state(self, client: StreamClient) -> None:
        """Load the most advanced peer snapshot if the log cannot be read.

        This keeps a zone up to date that is cut off from the log but not from
        its peers, and serves an instance that starts during an outage.
        """
        if client.age_s <= self.cfg.log_poll_s + 2 * _CHECK_INTERVAL_S:
            return
        peers = await self._select_peers(client)
        requests = [self.bus.ask(AskPeer(p, SnapshotAsk(client.stream))) for p in peers]
        answers = await asyncio.gather(*requests, return_exceptions=True)
        snapshots = [a for a in answers if isinstance(a, SnapshotAnswer)]
        for answer in sorted(snapshots, key=lambda a: a.offset, reverse=True):
            if answer.stream == client.stream and client.load_peer_snapshot(
                answer.offset, answer.data
            ):
                log("snapshot.from_peer", stream=client.stream, offset=answer.offset)
                return

    async def _select_peers(self, client: StreamClient) -> set[str]:
        members = await self.bus.ask(Members())
        if client.ready and client.stream != "config":
            return set()
        if client.ready:
            ahead = [
                m
                for m in members
                if m.gossip.config_offset > client.stream_state.next_offset
            ]
            return {m.name for m in ahead[:1]}
        candidates = self._listed_entries | {m.name for m in members}
        candidates |= {str(seed) for seed in self.cfg.seeds}
        candidates.discard(self.cfg.name)
        return set(
            random.sample(sorted(candidates), min(len(candidates), MAX_PEER_REQUESTS))
        )
