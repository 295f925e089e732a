"""Measures the cost of the journal: appends, bytes, snapshots and rebuilds."""

import asyncio
import time
import tracemalloc
from collections.abc import Iterable
from typing import Any

from bench._registry import measure
from firhook.model import (
    Envelope,
    KeyGiven,
    OnceClaimed,
    OnceDone,
    Row,
    RowsChanged,
    SnapshotChunk,
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
from standins.cluster import Cluster

PLANS = "[small]\nshare = 1\nlimit = 40\n"
TEAMS = "[lisboa]\nplan = small\n"
IDLE_S = 20.0
LOAD_S = 10.0
CALLERS = 8


def make_config_state(
    teams: int, changes: int
) -> tuple[ConfigState, list[bytes], float]:
    """Return a config state, its encoded records and the seconds to apply them.

    It has three keys per team.

    :param changes: number of row changes after the first version.
    """
    rows: list[Any] = [
        Row("plans", f"plan{i}", {"share": "1", "limit": "40"}) for i in range(6)
    ]
    team_rows = [
        Row("teams", f"team{i:03}", {"plan": f"plan{i % 6}"}) for i in range(teams)
    ]
    records: list[Any] = [RowsChanged(0, tuple(rows + team_rows), "root")]
    records += [
        KeyGiven(f"{i:012x}", f"team{i % teams:03}", f"{i:064x}")
        for i in range(3 * teams)
    ]
    for i in range(changes):
        row = Row("teams", f"team{i % teams:03}", {"plan": f"plan{(i + 1) % 6}"})
        records.append(RowsChanged(i + 1, (row,), "root"))
    payloads = [
        encode_envelope(Envelope(f"entry{i % 9}#0a1b2c3d", i + 1, body))
        for i, body in enumerate(records)
    ]
    state = ConfigState()
    return state, payloads, replay(state, payloads)


def make_once_state(claims: int) -> tuple[OnceState, list[bytes], float]:
    """Return a state of completed claims, its records and the seconds to apply them.

    The body of each answer encodes 200 bytes.
    """
    payloads = []
    for i in range(claims):
        holder = f"entry{i % 9}#0a1b2c3d"
        claim = OnceClaimed(f"{i:064x}", "team001", f"{i:064x}", holder, i)
        done = OnceDone(claim.key, 200, "application/json", "x" * 268, True, holder, i)
        payloads += [
            encode_envelope(Envelope(holder, 2 * i + n, body))
            for n, body in ((1, claim), (2, done))
        ]
    state = OnceState()
    return state, payloads, replay(state, payloads)


def replay(state: StreamState, payloads: list[bytes]) -> float:
    """Apply records to a state and return the duration in seconds."""
    started = time.perf_counter()
    for offset, payload in enumerate(payloads):
        state.apply(offset, decode_envelope(payload))
    return time.perf_counter() - started


def measure_memory_bytes(payloads: list[bytes]) -> int:
    """Return the bytes of memory that a state of claims takes."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    state = OnceState()
    replay(state, payloads)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before


def measure_rebuild(state: StreamState, rebuilt: StreamState) -> tuple[int, int, float]:
    """Measure the snapshot of a state and a rebuild from it.

    :param rebuilt: an empty state to rebuild into.
    :return: the bytes and chunks of the snapshot, and the seconds of the rebuild.
    :raises AssertionError: if the rebuilt state differs.
    """
    chunks = split_snapshot(state.next_offset, state.to_text())
    payloads = [
        encode_envelope(Envelope("entry1#0a1b2c3d", 10**6 + i, chunk))
        for i, chunk in enumerate(chunks)
    ]
    started = time.perf_counter()
    finder = SnapshotFinder(state.next_offset)
    for payload in payloads:
        envelope = decode_envelope(payload)
        assert isinstance(envelope.body, SnapshotChunk)
        snapshot = finder.add(envelope.lane, envelope.body)
    assert snapshot is not None
    rebuilt.from_text(snapshot.upto, snapshot.text)
    elapsed_s = time.perf_counter() - started
    assert rebuilt.to_text() == state.to_text()
    return sum(map(len, payloads)), len(chunks), elapsed_s


@measure("snapshots")
def snapshots() -> Iterable[dict[str, Any]]:
    """Measure snapshot sizes and rebuild times, in process."""
    for teams in (6, 24, 120):
        state, payloads, applied_s = make_config_state(teams, 3400)
        snapshot_bytes, chunk_count, elapsed_s = measure_rebuild(state, ConfigState())
        yield {
            "stream": "config",
            "teams": teams,
            "keys": 3 * teams,
            "snapshot_bytes": snapshot_bytes,
            "chunks": chunk_count,
            "rebuild_ms": round(elapsed_s * 1000, 2),
            "records": len(payloads),
            "record_bytes": sum(map(len, payloads)),
            "apply_us_per_record": round(applied_s / len(payloads) * 1e6, 1),
        }
    for claims in (1000, 4900, OnceState.MAX_ENTRIES):
        once, payloads, applied_s = make_once_state(claims)
        snapshot_bytes, chunk_count, elapsed_s = measure_rebuild(once, OnceState())
        yield {
            "stream": "once",
            "claims": claims,
            "snapshot_bytes": snapshot_bytes,
            "chunks": chunk_count,
            "rebuild_ms": round(elapsed_s * 1000, 2),
            "record_bytes": sum(map(len, payloads)),
            "apply_us_per_record": round(applied_s / len(payloads) * 1e6, 1),
            "memory_bytes": measure_memory_bytes(payloads),
        }


@measure("journal")
def journal() -> Iterable[dict[str, Any]]:
    """Measure log appends of a small cluster, idle and with idempotent charges."""
    return asyncio.run(_run_cluster())


async def _read_log_counters(cluster: Cluster) -> tuple[int, int]:
    counters = await cluster.post_admin("/admin/faults", {})
    return counters["appends"], counters["bytes"]


async def _run_cluster() -> list[dict[str, Any]]:
    zones = ("ikeja", "lekki")
    async with Cluster(zones) as cluster:
        for zone in zones:
            await cluster.add_runner(f"runner-{zone}", zone, "quotes")
        entries = [await cluster.add_entry(f"e{i}", zones[i % 2]) for i in range(4)]
        await cluster.wait_ready(*entries)
        body = {"base": 0, "plans": PLANS, "teams": TEAMS}
        await cluster.call(entries[0], "POST", "/v1/config", json=body)
        status, created_key = await cluster.call(
            entries[0], "POST", "/v1/keys", json={"team": "lisboa"}
        )
        assert status == 201
        await asyncio.sleep(2)
        idle = await _measure_rates(cluster, asyncio.sleep(IDLE_S))
        statuses: list[int] = []
        charges = asyncio.gather(
            *(
                _send_charges(cluster, entries, created_key["key"], n, statuses)
                for n in range(CALLERS)
            )
        )
        loaded = await _measure_rates(cluster, charges)
    return [
        {"load": "idle", "instances": len(entries), **idle},
        {
            "load": "keyed charges",
            "instances": len(entries),
            "charges_per_s": round(statuses.count(200) / LOAD_S, 1),
            "refused": len(statuses) - statuses.count(200),
            "appends_per_charge": round(
                loaded["appends_per_s"] * LOAD_S / max(statuses.count(200), 1), 2
            ),
            **loaded,
        },
    ]


async def _measure_rates(cluster: Cluster, work: Any) -> dict[str, Any]:
    started, (appends, byte_count) = (
        time.monotonic(),
        await _read_log_counters(cluster),
    )
    await work
    elapsed_s = time.monotonic() - started
    appends_after, byte_count_after = await _read_log_counters(cluster)
    return {
        "appends_per_s": round((appends_after - appends) / elapsed_s, 2),
        "appended_bytes_per_s": round((byte_count_after - byte_count) / elapsed_s, 1),
    }


async def _send_charges(
    cluster: Cluster, entries: list[Any], key: str, caller: int, statuses: list[int]
) -> None:
    end = time.monotonic() + LOAD_S
    count = 0
    while time.monotonic() < end:
        count += 1
        status, _ = await cluster.call(
            entries[(caller + count) % len(entries)],
            "POST",
            "/r/quotes/charges",
            key=key,
            headers={"Idempotency-Key": f"{caller}-{count}"},
            data="x",
        )
        statuses.append(status)
