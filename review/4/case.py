"""A lead is killed while an occurrence of a timed job runs and an earlier one waits.

The job's three occurrences may run on one runner each, as its queue's policy decides.
The runner of the first is taken by another job for a while; the second starts in time.
Then the instance that leads is killed.  Once the first occurrence's runner is free, its
task has to start, and the job has to complete.
"""

import asyncio
import time
from pathlib import Path

from platform2 import Fleet, Plan, Record, run_case

FILLER, TIMED = "00000000000000f1", "00000000000000a1"
FILLER_S, WORK_S, INTERVAL_S = 16.0, 3.0, 5.0
#: The rule allows 3 s; this is how long the case waits with a free runner.
WAIT_S = 40.0


async def case(record: Record, folder: str, trouble: bool) -> bool:
    """Return whether the first occurrence was lost."""
    async with Fleet(folder, record, ["a"] * 6, has_advice=True) as fleet:
        first, second, third = list(fleet.runners)[:3]
        policy = fleet.adviser.policy
        policy[f"{FILLER}.0.0"] = policy[f"{TIMED}.0.0"] = [first]
        policy[f"{TIMED}.1.0"], policy[f"{TIMED}.2.0"] = [second], [third]
        second_started = asyncio.Event()
        fleet.on_start = lambda _, run: (
            second_started.set() if run.step == f"{TIMED}.1.0" else None
        )
        filler = {"count": 1, "millicpus": 16000, "task_memory_mb": 1000}
        await fleet.submit(
            FILLER, [{**filler, "estimated_ms": 16000}], [Plan(FILLER_S, 16000)]
        )
        await asyncio.sleep(1.0)
        step = {"count": 1, "millicpus": 1000, "task_memory_mb": 100}
        await fleet.submit(
            TIMED,
            [{**step, "estimated_ms": 3000}],
            [Plan(WORK_S, 1000)],
            start_time_ms=int((time.time() + 1.0) * 1000),
            interval_ms=int(INTERVAL_S * 1000),
            repetitions=3,
        )
        async with asyncio.timeout(15):
            await second_started.wait()
        await asyncio.sleep(0.7)
        if trouble:
            await fleet.kill_lead()
        while not any(e[1].startswith(FILLER) for e in fleet.ends):
            await asyncio.sleep(0.1)
        record.line(f"{first} is free")
        for _ in range(int(WAIT_S)):
            await asyncio.sleep(1.0)
            if await fleet.state(TIMED) == "completed":
                return False
        started = sorted({task for _, task, _, _ in fleet.starts if TIMED in task})
        record.line(
            f"after {WAIT_S:.0f} s, tasks of {TIMED} that ever started: {started}"
        )
        return f"{TIMED}.0.0.0" not in started


run_case(Path(__file__).resolve().parent, case)
