"""A lead is killed after an occurrence of a timed job is done, beside a cut runner.

Each of two occurrences has a step of one task and then a gang of two on two runners.
While the gang of the first works, one of its runners is cut off from all instances and
works on.  The other reports the gang as done, and the lead takes note of it.  Then the
lead is killed.  The first step, whose end was taken note of long before, must not start
again.
"""

import asyncio
import time
from pathlib import Path

from platform2 import CannotRunError, Fleet, Plan, Record, run_case

JOB = "00000000000000d1"
FIRST_S, GANG_S = 1.0, 4.0
#: Both within what the site file has: a runner of six, for 5.5 s.
RUNNERS, CUT_S = 6, 5.5


def started_after_done(fleet: Fleet, record: Record) -> bool:
    """Return whether a task was started after an end `done` that was taken note of."""
    broken = False
    for at, task, run, runner in fleet.starts:
        for ended_at, ended, ended_run, ended_on, how in fleet.ends:
            acked = any(row[1:] == (ended, ended_run, "done") for row in fleet.acked)
            if ended == task and how == "done" and acked and at > ended_at:
                broken = True
                record.line(
                    f"{task} run {run} was started on {runner.name} at {at:.3f}, after"
                    f" run {ended_run} had ended done on {ended_on.name} at"
                    f" {ended_at:.3f}"
                )
    return broken


async def case(record: Record, folder: str, trouble: bool) -> bool:
    """Return whether a task was started after it was done."""
    async with Fleet(folder, record, ["a"] * RUNNERS) as fleet:
        members = []
        fleet.on_start = lambda runner, run: (
            members.append(runner) if run.step == f"{JOB}.0.1" else None
        )
        first = {"count": 1, "millicpus": 1000, "task_memory_mb": 100}
        gang = {"count": 2, "millicpus": 10000, "task_memory_mb": 100, "after": [0]}
        await fleet.submit(
            JOB,
            [
                {**first, "estimated_ms": 1000},
                {**gang, "estimated_ms": 4000, "all_or_nothing": True},
            ],
            [Plan(FIRST_S, 1000), Plan(GANG_S, 10000, gang=2)],
            start_time_ms=int((time.time() + 1.0) * 1000),
            interval_ms=25000,
            repetitions=2,
        )
        async with asyncio.timeout(10):
            while len(members) < 2:
                await asyncio.sleep(0.05)
        if members[0] is members[1]:
            raise CannotRunError("both members of the gang run on one runner")
        cut = members[1]
        await asyncio.sleep(1.0)
        if trouble:
            cut.set_cut(True)
            record.line(f"{cut.name} is cut off and runs on")
            asyncio.get_running_loop().call_later(CUT_S, cut.set_cut, False)
        async with asyncio.timeout(10):
            while not any(row[1].startswith(f"{JOB}.0.1") for row in fleet.acked):
                await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        if trouble:
            await fleet.kill_lead()
        for _ in range(45):
            await asyncio.sleep(1.0)
            if await fleet.state(JOB) == "completed":
                break
        await asyncio.sleep(2.0)
        return started_after_done(fleet, record)


run_case(Path(__file__).resolve().parent, case)
