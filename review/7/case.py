"""A runner crashes and starts again under its id and address, as one of another kind.

One of eight runners is of kind `b`.  Every second a job is handed in whose task has
`requirements` b.  The runner crashes for four seconds and comes back as kind `a`; after
some time it crashes again and comes back as kind `b`, and so on.  No task that requires
b may start on it while it is of kind `a`.
"""

import asyncio
import os
from pathlib import Path

from platform2 import Fleet, Plan, Record, Run, Runner, run_case

KINDS = ["a"] * 7 + ["b"]
#: Within what the site file has: a share of 0.14 of the runners for 4.5 s.
DOWN_S = 4.0
CYCLES = 4
#: Between a runner's start and its first entry.  Runners write about every 1,500 ms,
#: and the site file has `lag_ms` = 800 for the list.
ENTRY_AFTER_S = float(os.environ.get("ENTRY_AFTER_S", "0.5"))


async def case(record: Record, folder: str, trouble: bool) -> bool:
    """Return whether a task was started on a runner without the label it requires."""
    wrong = 0

    def check(runner: Runner, run: Run) -> None:
        nonlocal wrong
        if runner.kind != "b":
            wrong += 1
            record.line(
                f"{run.task} requires b and starts on a runner of {runner.kind}"
            )

    async with Fleet(folder, record, KINDS) as fleet:
        fleet.on_start = check
        changing = list(fleet.runners.values())[-1]
        stopped = False

        async def hand_in() -> None:
            number = 0
            while not stopped:
                number += 1
                step = {"count": 1, "millicpus": 1000, "task_memory_mb": 100}
                step |= {"estimated_ms": 800, "requirements": "b"}
                await fleet.submit(f"{0xE00 + number:016x}", [step], [Plan(0.8, 1000)])
                await asyncio.sleep(1.0)

        handing_in = asyncio.create_task(hand_in())
        for kind in ["a", "b"] * CYCLES if trouble else ():
            await asyncio.sleep(6.0)
            await changing.crash()
            record.line(f"{changing.name} crashes")
            await asyncio.sleep(DOWN_S)
            changing.kind = kind
            await changing.open(ENTRY_AFTER_S)
            record.line(f"{changing.name} is back as kind {kind}")
        await asyncio.sleep(6.0)
        stopped = True
        await handing_in
        record.line(f"{wrong} starts without the label")
        return wrong > 0


run_case(Path(__file__).resolve().parent, case)
