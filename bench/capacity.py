"""Slopes of state and messages, from the real codec and the real states.

Each measure builds a state of three sizes by applying encoded records, as a
follower of the log would, and prints what one more entry costs in memory, in
processor time to apply, in bytes on the log and in a snapshot.
"""

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec

from bench._registry import measure
from bench._slope import points
from firhook.kernel import Kernel
from firhook.model import (
    Assigned,
    Assignment,
    Ended,
    Ending,
    Envelope,
    Gossip,
    JobAccepted,
    JobEnd,
    JobsEnded,
    JobSpec,
    KeyGiven,
    LeadClaimed,
    LeadRenewed,
    OnceClaimed,
    OnceDone,
    Row,
    RowsChanged,
    RunnerLoad,
    StatsAnswer,
    TeamUse,
    decode_envelope,
    decode_message,
    encode_envelope,
    encode_message,
)
from firhook.ops import render
from firhook.state import States
from firhook.stats import FleetStats, Stats
from standins.fakes import fake_platform, small_settings

ZONES = tuple(f"zone-{i}" for i in range(7))
Build = Callable[[int], list[Any]]


def _state(stream: str) -> Any:
    return States(ZONES, ZONES[0]).by_stream[stream]


def _apply(state: Any, payloads: Sequence[bytes]) -> None:
    for offset, payload in enumerate(payloads, state.next_offset):
        state.apply(offset, decode_envelope(payload))


def _encoded(bodies: Iterable[Any]) -> list[bytes]:
    return [
        encode_envelope(Envelope("entry-1#0a1b2c3d", seq, body))
        for seq, body in enumerate(bodies, 1)
    ]


def best_of(func: Callable[[], Any], times: int = 3) -> float:
    """Return the least processor time in seconds that a call took."""
    taken = []
    for _ in range(times):
        gc.collect()
        before = time.process_time()
        func()
        taken.append(time.process_time() - before)
    return min(taken)


def _memory_of(stream: str, payloads: Sequence[bytes]) -> int:
    """Return the bytes that a state holds after the records were applied."""
    gc.collect()
    tracemalloc.start()
    state = _state(stream)
    before, _ = tracemalloc.get_traced_memory()
    _apply(state, payloads)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return after - before


def _state_lines(
    role: str, what: str, stream: str, sizes: Sequence[int], build: Build
) -> Iterable[dict[str, Any]]:
    """Measure one kind of entry at each size."""
    encoded = [_encoded(build(n)) for n in sizes]
    memory = [_memory_of(stream, payloads) for payloads in encoded]
    apply_s, snapshot_s, load_s, snapshot_b = [], [], [], []
    for payloads in encoded:
        apply_s.append(best_of(lambda p=payloads: _apply(_state(stream), p)))
        state = _state(stream)
        _apply(state, payloads)
        text = state.to_text()
        snapshot_b.append(len(text.encode()))
        snapshot_s.append(best_of(state.to_text))
        empty = _state(stream)
        load_s.append(best_of(lambda s=empty, t=text: s.from_text(1, t)))
    log_bytes = [sum(map(len, payloads)) for payloads in encoded]
    for unit, values in (
        ("bytes of memory", memory),
        ("us of processor time to apply", [s * 1e6 for s in apply_s]),
        ("bytes on the log", log_bytes),
        ("bytes of snapshot", snapshot_b),
        ("us to write a snapshot", [s * 1e6 for s in snapshot_s]),
        ("us to load a snapshot", [s * 1e6 for s in load_s]),
    ):
        yield points(role, what, unit, sizes, values)


def team_rows(count: int) -> list[Any]:
    """Return the records of a team's plan row and team row, one by one."""
    rows = []
    for i in range(count):
        plan = Row(
            "plans", f"plan-{i}", {"share": "1", "limit": "400", "slo_ms": "250"}
        )
        rows.append((plan, Row("teams", f"team-{i:03}", {"plan": f"plan-{i}"})))
    return [RowsChanged(base, pair, "root") for base, pair in enumerate(rows)]


@measure("capacity_config")
def capacity_config() -> Iterable[dict[str, Any]]:
    """Lists and keys: cost of a team, of a change and of a key."""
    sizes = (6, 40, 120)
    yield from _state_lines("config", "team", "config", sizes, team_rows)
    per_change = []
    for teams in sizes:
        state = _state("config")
        _apply(state, _encoded(team_rows(teams)))
        change = (Row("plans", "plan-0", {"share": "2", "limit": "300"}),)
        payloads = [
            encode_envelope(Envelope("x#1", i + 1, RowsChanged(teams + i, change)))
            for i in range(50)
        ]
        before = time.process_time()
        _apply(state, payloads)
        per_change.append((time.process_time() - before) / len(payloads) * 1e6)
    yield points("config", "change at N teams", "us", sizes, per_change)
    yield from _state_lines(
        "config",
        "key",
        "config",
        (100, 400, 1600),
        lambda n: [
            KeyGiven(f"{i:012x}", f"team-{i % 120}", f"{i:064x}") for i in range(n)
        ],
    )


def _jobs(count: int) -> list[Any]:
    return [
        JobAccepted(
            JobSpec(f"job-{i:06}", f"team-{i % 120:03}", tasks=2, cpus=4, run_s=600),
            ZONES[i % 7],
        )
        for i in range(count)
    ]


def _past(count: int) -> list[Any]:
    """Return jobs that were accepted and have ended, nine to a record."""
    jobs = [
        JobAccepted(JobSpec(f"job-{i:06}", f"team-{i % 120:03}", tasks=2), ZONES[0])
        for i in range(count)
    ]
    ends = [JobEnd(accepted.job.key, "done") for accepted in jobs]
    claim = LeadClaimed(ZONES[0], 1, "entry-1#0a1b2c3d", -1)
    batches = [ends[i : i + 9] for i in range(0, count, 9)]
    return [claim, *jobs, *(JobsEnded(ZONES[0], 1, tuple(b)) for b in batches)]


def _assigned(count: int) -> list[Any]:
    items = [
        Assignment(f"team-{i % 120:03}/job-{i // 2:06}", i % 2, 1, f"worker-{i % 130}")
        for i in range(count)
    ]
    return [Assigned(1, tuple(items[i : i + 9])) for i in range(0, count, 9)]


def _ended(count: int) -> list[Any]:
    items = [
        Ending(f"team-{i % 120:03}/job-{i // 2:06}", i % 2, 1, "done")
        for i in range(count)
    ]
    return _assigned(count) + [
        Ended(1, tuple(items[i : i + 9])) for i in range(0, count, 9)
    ]


@measure("capacity_cell")
def capacity_cell() -> Iterable[dict[str, Any]]:
    """Jobs and attempts, batched nine to a record as a second's starts would be."""
    yield from _state_lines("cell", "job", "cell", (500, 2000, 5000), _jobs)
    # Beyond 2,000 ended jobs only ids are kept, so the sizes start above that.
    yield from _state_lines("cell", "ended job", "cell", (4000, 8000, 16000), _past)
    zone = f"zone.{ZONES[0]}"
    sizes = (450, 1350, 4500)
    yield from _state_lines("cell", "running task", zone, sizes, _assigned)
    yield from _state_lines("cell", "ended task", zone, sizes, _ended)


@measure("capacity_once")
def capacity_once() -> Iterable[dict[str, Any]]:
    """Claims with an outcome of 200 bytes."""

    def build(count: int) -> list[Any]:
        records: list[Any] = []
        for i in range(count):
            key, body = f"{i:064x}", f"{i + 1:064x}"
            records.append(OnceClaimed(key, "team-001", body, "entry-1#0a1b2c3d"))
            records.append(OnceDone(key, 200, "application/json", "x" * 272))
        return records

    yield from _state_lines("once", "charge", "once", (500, 2000, 5000), build)


def _leads(count: int) -> list[Any]:
    roster = tuple(f"entry-{i}#0a1b2c3d" for i in range(1, 10))
    claims: list[Any] = [LeadClaimed(zone, 1, roster[0], -1) for zone in ZONES]
    return claims + [
        LeadRenewed(ZONES[i % 7], 1, roster[0], roster, 9) for i in range(count)
    ]


@measure("capacity_journal")
def capacity_journal() -> Iterable[dict[str, Any]]:
    """Following the log: what the smallest record costs its reader."""
    yield from _state_lines(
        "journal", "lead renewal", "cell", (500, 2000, 5000), _leads
    )


def gossip(teams: int, runners: int) -> Gossip:
    """Return an instance's word on so many teams and runners."""
    return Gossip(
        instance="zone-3-entry-4",
        zone="zone-3",
        incarnation="zone-3-entry-4#0a1b2c3d",
        config_version=3400,
        config_offset=8123,
        log_age_s=0.42,
        ready=True,
        stopping=False,
        teams=tuple(TeamUse(f"team-{i:03}", 3, 1, 2.5) for i in range(teams)),
        runners=tuple(RunnerLoad(f"zone-3-runner-{i}", 2) for i in range(runners)),
    )


@measure("capacity_members")
def capacity_members() -> Iterable[dict[str, Any]]:
    """One gossip message through the real codec."""
    for what, sizes, build in (
        ("gossip, per team", (6, 40, 120), lambda n: gossip(n, 0)),
        ("gossip, per runner", (24, 100, 910), lambda n: gossip(0, n)),
    ):
        frames = [encode_message(build(n)) for n in sizes]
        yield points("members", what, "bytes", sizes, [len(f) for f in frames])
        for unit, action in (
            ("us to encode", lambda n, f, b=build: encode_message(b(n))),
            ("us to decode", lambda n, f: decode_message(f)),
        ):
            values = []
            for n, frame in zip(sizes, frames, strict=True):
                taken = best_of(
                    lambda a=action, n=n, f=frame: [a(n, f) for _ in range(50)]
                )
                values.append(taken / 50 * 1e6)
            yield points("members", what, unit, sizes, values)


@measure("capacity_ops")
def capacity_ops() -> Iterable[dict[str, Any]]:
    """Counts and histograms of teams of three classes, reports and metrics."""
    sizes = (6, 40, 120)
    what = "team of 3 classes"
    memory, dump_us, merge_us, dump_bytes, scrape_us = [], [], [], [], []
    for teams in sizes:
        gc.collect()
        tracemalloc.start()
        stats = Stats()
        _fill(stats, teams)
        gc.collect()
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        data = stats.dump()
        fleet = FleetStats()
        fleet.merge(data)
        dump_us.append(best_of(stats.dump) * 1e6)
        merge_us.append(best_of(lambda f=fleet, d=data: f.merge(d)) * 1e6)
        dump_bytes.append(len(_answer_frame(data)))
        scrape_us.append(asyncio.run(_scrape(stats)) * 1e6)
    for unit, values in (
        ("bytes of memory", memory),
        ("bytes of a report", dump_bytes),
        ("us to dump a report", dump_us),
        ("us to merge an answer", merge_us),
        ("us to write the metrics", scrape_us),
    ):
        yield points("ops", what, unit, sizes, values)


async def _scrape(stats: Stats) -> float:
    """Return the processor time in seconds of writing the metrics once."""
    kernel = Kernel(small_settings(), fake_platform([]), "bench")
    kernel.stats = stats
    return best_of(lambda: render(kernel, {}))


def _fill(stats: Stats, teams: int) -> None:
    """Record waits from 20 us to 1 s, so that every bucket range is in use."""
    for i in range(teams):
        for klass in ("interactive", "standard", "bulk"):
            for k in range(50):
                stats.answered(f"team-{i}", klass, 2e-5 * 1.24**k, 0.01)


def _answer_frame(data: Any) -> bytes:
    """Return the frame of a StatsAnswer."""
    return encode_message(StatsAnswer(msgspec.json.encode(data).decode()))
