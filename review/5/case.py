"""Tasks that last end `failed` now and then, as the pages say they may.

One job has a lasting task on each of three runners of 16 cores, and these never fail.
Four more jobs have one lasting task each.  For half a minute one of these ends `failed`
every two seconds.  After that nothing is disturbed, and a job of one short task is
handed in.  Each lasting task has to be running again soon, and the short one has to
run, as at most 8 of 48 cores are in use.
"""

import asyncio
from pathlib import Path

from platform2 import Fleet, Plan, Record, run_case

STEADY = "00000000000000a0"
SHORT = "00000000000000c0"
JOBS = [f"{0xB0 + n:016x}" for n in range(4)]
RUNNERS = 3
FAILURES, INTERVAL_S = 16, 2.0
#: The rule counts from 6 s after a task's last run, and allows 3 s, after 4 calm ones.
WAIT_S = 45.0


async def case(record: Record, folder: str, trouble: bool) -> bool:
    """Return whether a lasting task was not started again."""
    async with Fleet(folder, record, ["a"] * RUNNERS, upper_limit_m=40000) as fleet:
        step = {"count": 1, "millicpus": 1000, "task_memory_mb": 100}
        step["run_forever"] = True
        replicas = {**step, "count": RUNNERS, "anti_affinity": 1}
        await fleet.submit(STEADY, [replicas], [Plan(0.0, 1000)])
        for job in JOBS:
            await fleet.submit(job, [step], [Plan(0.0, 1000)])
        await asyncio.sleep(3.0)
        for number in range(FAILURES if trouble else 0):
            await asyncio.sleep(INTERVAL_S)
            for runner, run in fleet.running(JOBS[number % len(JOBS)]):
                runner.end(run, "failed")
        record.line("no task fails any more")
        await asyncio.sleep(5.0)
        short = {"count": 1, "millicpus": 1000, "task_memory_mb": 100}
        await fleet.submit(SHORT, [short], [Plan(1.0, 1000)])
        await asyncio.sleep(WAIT_S)
        lost = [job for job in JOBS if not fleet.running(job)]
        for job in lost:
            shown = await fleet.state(job)
            last = max(at for at, task, *_ in fleet.ends if job in task)
            record.line(f"{job}, shown as {shown}, has not run since {last:.1f}")
        if await fleet.state(SHORT) != "completed":
            lost.append(SHORT)
        for name, runner in fleet.runners.items():
            tasks = sorted(task for task, _ in runner.runs)
            record.line(f"{name} uses {len(tasks)} of 16 cores: {tasks}")
        return bool(lost)


run_case(Path(__file__).resolve().parent, case)
