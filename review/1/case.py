"""Two instances lead under one fencing token, after a write of the lead came late."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from platform_standin import CannotRunError, Instance, World, main

WORKERS = 6
#: sites/gasreg-pt.toml has platform_lost (late) with x = 0.35 and for_s = 4.5: a write
#: is not answered, and done 1 to 6 s later if its condition still holds.  It has
#: node_kill with count = 1 and how = "leader".
HEARTBEAT_LATE_S, EPOCH_LATE_S = 1.3, 4.0
#: How many calls of the successor are late.  It repeats them after 0.5 s and 1 s.
LATE_CALLS = 2
#: When the killed instance writes to the store again, in seconds after the kill, in
#: each round.  There are several, as the case depends on which message is faster.
BACK_S = (2.05, 2.0, 2.1, 2.03, 2.2, 2.08, 1.95, 2.05, 2.0, 2.15)
STEP = {
    "count": 8,
    "millicpus": 1000,
    "task_memory_mb": 100,
    "estimated_ms": 300,
}


class LateWrites:
    """Chooses the writes to the cell's first partition that are late.

    :ivar at: when the heartbeat of the lead arrived that is late.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.at: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._calls = 0

    def delay_s(self, q: Any, records: list[bytes]) -> float | None:
        """Return by how much an append is late, if it is."""
        if q["topic"] != "keyed.firhook" or q["part"] != "0" or "producer" not in q:
            return None
        if not self.at.done():
            if len(records) != 1 or records[0][1:5] != b"lead":
                return None
            self.at.set_result(None)
            self._note(HEARTBEAT_LATE_S, "the lead's heartbeat", q)
            return HEARTBEAT_LATE_S
        if records or self._calls == LATE_CALLS:
            return None
        self._calls += 1
        self._note(EPOCH_LATE_S, "its successor's empty append", q)
        return EPOCH_LATE_S

    def _note(self, late_s: float, what: str, q: Any) -> None:
        fields = f"epoch {q['epoch']}, sequence {q['sequence']}"
        self.world.record.add(f"late by {late_s} s and unanswered: {what}, {fields}")


async def case(world: World, trouble: bool) -> None:
    """Play the case."""

    def note_claim(records: list[bytes]) -> None:
        world.record.add(f"a claim of the lead is carried out: {records[0]!r}")

    world.store.on_claim = note_claim
    # How long an instance takes from its start until it writes to the store.
    startup_s = min(
        world.store.first_seen[f"peer/{i.name}".encode()] - i.started_at
        for i in world.instances
    )
    for number, back_s in enumerate(BACK_S):
        world.record.add(f"round {number + 1}")
        await play_round(world, trouble, max(back_s - startup_s, 0.05), number)
        if world.checks.broken or world.record.now() > 85:
            break


async def play_round(
    world: World, trouble: bool, restart_s: float, number: int
) -> None:
    """Kill the lead of an idle cell, and hand jobs in from then on."""
    await asyncio.sleep(1.0)
    lead = world.lead()
    if lead is None:
        raise CannotRunError("no instance leads")
    if trouble:
        writes = LateWrites(world)
        world.store.late = writes.delay_s
        await asyncio.wait_for(asyncio.shield(writes.at), 5)
        await asyncio.sleep(0.02)
        world.record.add(f"{lead.name}, which leads, is killed")
        await lead.kill()
    appends = world.store.appends
    restarting = asyncio.create_task(restart(lead, restart_s, trouble))
    submitting = []
    until = time.monotonic() + 3.5
    while time.monotonic() < until:
        job = f"{0xB000 + 0x1000 * number + len(submitting):016x}"
        submitting.append(asyncio.create_task(world.submit(job, [STEP], work_ms=300)))
        await asyncio.sleep(0.05)
    world.store.late = None
    appends = world.store.appends - appends
    world.record.add(
        f"{appends} calls to append in 3.5 s, of which at most 3 were late"
    )
    await restarting
    await asyncio.gather(*submitting)
    for _ in range(150):
        if not any(worker.runs for worker in world.workers.values()):
            break
        await asyncio.sleep(0.1)
    if not await world.wait_completed(job, 10):
        world.record.add(f"job {job} is not completed")
    await asyncio.sleep(1.0)


async def restart(instance: Instance, after_s: float, trouble: bool) -> None:
    """Start a killed instance again."""
    await asyncio.sleep(after_s)
    if trouble:
        await instance.start()


if __name__ == "__main__":
    main(case, Path(__file__).parent, WORKERS)
