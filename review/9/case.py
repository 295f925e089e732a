"""One accepted job of many tasks, and then the jobs of others.

TROUBLE=0 sends the same job with 100 tasks a step instead of 10,000.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

from platform3 import Platform, run

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STEPS = 27
COUNT = 10_000 if TROUBLE else 100
BIG = "b" * 16
WINDOW_S = 3.0


def big_job():
    """Return a job of 27 steps that depend on nothing, one task a runner at a time."""
    step = {"count": COUNT, "millicpus": 100, "task_memory_mb": 16}
    step |= {"estimated_ms": 400, "anti_affinity": 1}
    return {"specification": "nightly", "steps": [dict(step) for _ in range(STEPS)]}


def small_job():
    """Return a job of two tasks."""
    step = {"count": 2, "millicpus": 500, "task_memory_mb": 64, "estimated_ms": 400}
    return {"specification": "check", "steps": [step]}


def in_use(platform):
    """Return the largest share of a runner's cores that is in use."""
    most = 0.0
    for runner in platform.runners.values():
        used = sum(100 if t.startswith(BIG) else 500 for t in runner.running)
        most = max(most, used / runner.capacity["millicpus"])
    return most


async def starved_s(platform, jobs, limit_s):
    """Watch accepted jobs; return the longest time that one had nothing running.

    Only time in which under half of each runner's cores is in use counts.
    """
    began = time.monotonic()
    since = dict.fromkeys(jobs, began)
    longest = 0.0
    while time.monotonic() - began < limit_s and since:
        now = time.monotonic()
        busy = in_use(platform) >= 0.5
        for job in list(since):
            runners = platform.runners.values()
            begun = {t for r in runners for t in r.begun if t.startswith(job)}
            if busy or any(t.startswith(job) for r in runners for t in r.running):
                since[job] = now
            longest = max(longest, now - since[job])
            if len(begun) == 2:
                del since[job]
        await asyncio.sleep(0.05)
    return longest


async def main():
    """Run the case."""
    async with Platform(HERE / "record.txt") as platform:
        rec = platform.recorder
        instances = [platform.add_instance(f"frontend-z-a-{i}") for i in range(3)]
        for instance in instances:
            instance.start()

        async def ready():
            return all([await platform.is_ready(i) for i in instances])

        if not await platform.until(ready, 20):
            return 2
        first = [f"{i:016x}" for i in range(4)]
        for job in first:
            if not await platform.submit(job, small_job(), instances):
                return 2

        async def done():
            return all(
                [await platform.state(j, instances) == "completed" for j in first]
            )

        if not await platform.until(done, 15, 0.3):
            return 2
        rec.note("note", text="the first jobs are completed")
        if not await platform.submit(BIG, big_job(), instances):
            rec.note("note", text="the large job was not accepted")
            return 0
        await asyncio.sleep(8)
        accepted, longest = [], 0.0
        for number in range(3):
            jobs = [f"{100 * (number + 1) + i:016x}" for i in range(4)]
            kept = []
            for job in jobs:
                if await platform.submit(job, small_job(), instances):
                    kept.append(job)
            accepted += kept
            longest = max(longest, await starved_s(platform, kept, 12.0))
            rec.note(
                "note", accepted=len(accepted), nothing_running_s=round(longest, 1)
            )
        await asyncio.sleep(1)
        states = [await platform.state(job, instances) for job in accepted]
        starts = {n: r.starts for n, r in platform.runners.items()}
        rec.note("states", states=states)
        rec.note(
            "starts", by_runner=starts, refused_appends=len(platform.store.refused)
        )
        leads = {i.name: len(i.events("lead.began")) for i in instances}
        rec.note("leads", terms=leads)
        broken = longest > WINDOW_S
        rec.note("result", broken=broken, longest_s=round(longest, 1))
        return 1 if broken else 0


if __name__ == "__main__":
    sys.dont_write_bytecode = True
    run(main)
