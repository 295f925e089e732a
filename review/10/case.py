"""One accepted job of many tasks, on machines with the memory of the users' page.

TROUBLE=0 sends the same job with 100 tasks a step instead of 10,000.
"""

import asyncio
import os
import time
from pathlib import Path

from platform3 import Platform, run

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STEPS = 200
COUNT = 10_000 if TROUBLE else 100
BIG = "b" * 16
MEMORY_MB = 300
RESTART_S = 0.5
WATCH_S = 60.0
#: RULES, Fault: on two machines at least, three times.
MACHINES, ENDS = 2, 3


def big_job():
    """Return a job of 200 steps that depend on nothing."""
    step = {"count": COUNT, "millicpus": 100, "task_memory_mb": 16}
    step |= {"estimated_ms": 400, "anti_affinity": 1}
    return {"specification": "nightly", "steps": [dict(step) for _ in range(STEPS)]}


def rss_mb(pid):
    """Return the memory of a process."""
    try:
        text = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    rows = [line for line in text.splitlines() if line.startswith("VmRSS")]
    return int(rows[0].split()[1]) / 1024 if rows else 0.0


async def keep_memory(platform, ends, peaks):
    """Kill a process that exceeds its memory, and start it again, as the platform."""
    while True:
        for instance in platform.instances.values():
            process = instance.process
            if process.poll() is not None:
                continue
            used = rss_mb(process.pid)
            peaks[instance.name] = max(peaks.get(instance.name, 0), int(used))
            if used > MEMORY_MB:
                ends[instance.name] = ends.get(instance.name, 0) + 1
                platform.recorder.note("memory", machine=instance.name, mb=int(used))
                instance.kill()
                await asyncio.sleep(RESTART_S)
                instance.start()
        await asyncio.sleep(0.1)


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
        ends, peaks = {}, {}
        keeping = asyncio.create_task(keep_memory(platform, ends, peaks))
        await asyncio.sleep(3)
        began = time.monotonic()
        # A machine that ends as it takes the job gives no answer.
        accepted = await platform.submit(BIG, big_job(), instances)
        rec.note("note", accepted=accepted)
        while time.monotonic() < began + WATCH_S:
            if sum(n >= ENDS for n in ends.values()) >= MACHINES:
                break
            await asyncio.sleep(0.1)
        keeping.cancel()
        rec.note("ends over the memory limit", by_machine=ends, peak_mb=peaks)
        broken = sum(n >= ENDS for n in ends.values()) >= MACHINES
        rec.note("result", broken=broken, after_s=round(time.monotonic() - began, 1))
        return 1 if broken else 0


if __name__ == "__main__":
    run(main)
