"""A start is carried out late, by a runner that has restarted under its id meanwhile.

TROUBLE=0 answers the start at once, and no runner restarts.
"""

import asyncio
import json
import os
import time
from pathlib import Path

import platform3
from platform3 import Platform, cut, run

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "d" * 16
LATE_S = 4.0
CRASH_AFTER_S = 3.0


class RestartingRunner(platform3.Runner):
    """A runner that may leave a start unanswered, and may restart under its id."""

    def __init__(self, *args):
        super().__init__(*args)
        self.down = False
        self.held = None
        self.acked = {}
        self._transports = set()

    def crash(self):
        """Lose everything, and all channels."""
        self.down = True
        for transport in self._transports:
            transport.abort()
        self._transports.clear()
        self._recorder.note("crashed", runner=self.name)

    def restart(self):
        """Run again under the same id, knowing nothing of before.

        What is held in front of the runner arrives now.
        """
        self.born = int(time.time() * 1000)
        self._clock_began = time.monotonic()
        self.fence, self.lease_ms = 0, 0
        self.running, self.highest = {}, {}
        self.ended, self._count = [], 0
        self.down = False
        self._recorder.note("restarted", runner=self.name, born=self.born)
        data = self.held[1]
        fields = {k: data[k] for k in ("task", "run", "deadline_ms", "fencing_token")}
        late_s = round(time.monotonic() - self.held[0], 2)
        self._recorder.note("held order arrives", after_s=late_s, **fields)
        # As for any start: no fence and no run is known, the deadline is ahead.
        if data["deadline_ms"] > self.clock_ms() and "ticket" not in data:
            self.fence = data["fencing_token"]
            self._extend(data["deadline_ms"])
            self._begin(data["task"], data["run"])

    def _begin(self, task, number):
        self.running[task] = [number, time.monotonic(), self._work_s(task), None]
        self.begun.setdefault(task, []).append((number, time.monotonic()))
        self._recorder.note("started", runner=self.name, task=task, run=number)

    async def _start(self, req):
        self._transports.add(req.transport)
        if self.down:
            return cut(req)
        data = json.loads(await req.read())
        if TROUBLE and data["task"].startswith(JOB) and not Platform.held_by:
            Platform.held_by.append(self)
            self.held = (time.monotonic(), data)
            self._recorder.note("held", runner=self.name, task=data["task"])
            await asyncio.sleep(20)
            return cut(req)
        return await super()._start(req)

    async def _stop(self, req):
        self._transports.add(req.transport)
        return cut(req) if self.down else await super()._stop(req)

    async def _hold(self, req):
        self._transports.add(req.transport)
        if self.down:
            return cut(req)
        data = json.loads(await req.read())
        for number, task, of_run, how, _ in self.ended:
            if number <= data["ack_cursor"] and how == "done":
                self.acked.setdefault((task, of_run), time.monotonic())
                self._recorder.note("acked", runner=self.name, task=task, run=of_run)
        return await super()._hold(req)


platform3.Runner = RestartingRunner
Platform.held_by = []


def small_job():
    """Return a job of one task."""
    step = {"count": 1, "millicpus": 500, "task_memory_mb": 64, "estimated_ms": 400}
    return {"specification": "charge", "steps": [step]}


async def main():
    """Run the case."""
    async with Platform(HERE / "record.txt", runners=8) as platform:
        rec = platform.recorder
        instances = [platform.add_instance(f"frontend-z-a-{i}") for i in range(3)]
        for instance in instances:
            instance.start()

        async def ready():
            return all([await platform.is_ready(i) for i in instances])

        if not await platform.until(ready, 20):
            return 2
        await asyncio.sleep(3)
        if not await platform.submit(JOB, small_job(), instances):
            return 2

        async def done():
            return await platform.state(JOB, instances) == "completed"

        completed = await platform.until(done, 10, 0.2)
        completed_at = time.monotonic()
        if not completed:
            return 2
        if TROUBLE:
            (runner,) = Platform.held_by
            sent_at = runner.held[0]
            await asyncio.sleep(max(sent_at + CRASH_AFTER_S - time.monotonic(), 0))
            if not runner.acked:
                rec.note("note", text="the end was not taken note of before the crash")
                return 2
            runner.crash()
            await asyncio.sleep(max(sent_at + LATE_S - time.monotonic(), 0))
            runner.restart()
        await asyncio.sleep(4)
        again = []
        for runner in platform.runners.values():
            for task, starts in runner.begun.items():
                acked = [at for (t, _), at in runner.acked.items() if t == task]
                for number, at in starts:
                    if acked and at > min(acked):
                        after_s = round(at - min(acked), 2)
                        shown_s = round(at - completed_at, 2)
                        again.append((task, number, after_s, shown_s))
        rec.note("started after the end was noted, and after completed", runs=again)
        rec.note("result", broken=bool(again))
        return 1 if again else 0


if __name__ == "__main__":
    run(main)
