"""Writes of the store are carried out late; the client cancels its job meanwhile.

TROUBLE=0 answers the writes at once.
"""

import asyncio
import os
import time
from pathlib import Path

from platform3 import Platform, run

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATE_S = 6.0
WINDOW_S = 4.5
CANCEL_S = 3.0
CONTACT_S = 3.0
JOB = "c" * 16


def small_job():
    """Return a job of two tasks."""
    step = {"count": 2, "millicpus": 500, "task_memory_mb": 64, "estimated_ms": 400}
    return {"specification": "check", "steps": [step]}


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
        first = f"{1:016x}"
        if not await platform.submit(first, small_job(), instances):
            return 2

        async def done():
            return await platform.state(first, instances) == "completed"

        if not await platform.until(done, 15, 0.3):
            return 2
        await asyncio.sleep(2)
        lost = []

        def lose(keys):
            now = time.monotonic()
            in_time = not lost or now - lost[0] < WINDOW_S
            if f"job/{JOB}" in keys and in_time and TROUBLE:
                lost.append(now)
                rec.note("store.late", keys=keys, carried_out_in_s=LATE_S)
                return LATE_S
            return None

        platform.store.lose = lose
        others = [i for i in instances if i is not platform.lead()]
        status, _ = await platform.call(others[0], "POST", f"/q/{JOB}", small_job())
        if TROUBLE and (not lost or status in (200, 429, 503)):
            rec.note("note", text=f"the writes were not lost; answered {status}")
            return 2
        # The client does not wait any longer and cancels until it has an answer.
        acked_at = None
        for attempt in range(5):
            instance = others[(attempt + 1) % len(others)]
            status, _ = await platform.call(instance, "DELETE", f"/q/{JOB}")
            if status == 410 or 200 <= status < 300:
                acked_at = time.monotonic()
                break
            await asyncio.sleep(0.4)
        if acked_at is None:
            return 2
        rec.note("cancelled", status=status)
        await asyncio.sleep(12)
        broken = []
        for runner in platform.runners.values():
            for task, starts in runner.begun.items():
                for number, at in starts:
                    calm = not lost or at - lost[-1] > CONTACT_S
                    if task.startswith(JOB) and at - acked_at > CANCEL_S and calm:
                        broken.append((task, number, round(at - acked_at, 2)))
        state = await platform.state(JOB, instances)
        rec.note("state", shown=state)
        rec.note("result", broken=bool(broken), started_after_the_answer_s=broken)
        return 1 if broken else 0


if __name__ == "__main__":
    run(main)
