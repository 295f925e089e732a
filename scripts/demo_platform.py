"""A demonstration of three instances over the model of the users' platform.

Starts the model of the platform (store, workers, adviser) and three daemons as
separate processes, submits jobs, kills the lead, stops another instance gracefully
and withdraws a key.  Exits with 0 only if every check passes.
"""

import asyncio
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "src")]

from standins.model import Processes, until  # noqa: E402


def print_step(text: str) -> None:
    """Print the title of a step."""
    print(f"\n== {text}", flush=True)


def check(what: str, ok: bool, seen: Any = None) -> None:
    """Print the result of a check and stop the demonstration if it failed.

    :raises SystemExit: if the check failed.
    """
    print(f"   {'ok ' if ok else 'BAD'} {what}", flush=True)
    if not ok:
        raise SystemExit(f"check failed, got: {seen!r}")


async def main() -> None:
    """Run the whole demonstration."""
    with tempfile.TemporaryDirectory() as folder:
        print_step("start a store, four workers, an adviser and three instances")
        async with Processes(Path(folder), 3) as fleet:
            lead = next(p for p in fleet.all if p.leads())
            check("all instances are ready, and one is the lead", True)
            await run_jobs(fleet)
            await kill_lead(fleet, lead)
            await stop_instance(fleet, lead)
            await withdraw_key(fleet, lead)
            violations = fleet.model.checks.violations
            check(
                "no task ran twice, no worker was overcommitted",
                not violations,
                violations,
            )


async def run_jobs(fleet: Processes) -> None:
    """Submit jobs and wait until they are completed."""
    print_step("a team submits ten jobs of four tasks to any instance")
    started_at = time.monotonic()
    jobs = [f"{i:016x}" for i in range(10)]
    for job in jobs:
        await fleet.submit(job)
    await until(lambda: fleet.completed(jobs))
    check(f"all jobs are completed after {time.monotonic() - started_at:.1f} s", True)


async def kill_lead(fleet: Processes, lead: Any) -> None:
    """Kill the lead while jobs are running."""
    print_step("the lead is killed while jobs are running")
    jobs = [f"{100 + i:016x}" for i in range(10)]
    for job in jobs:
        await fleet.submit(job)
    lead.signal(signal.SIGKILL)
    await lead.process.wait()
    await until(lambda: fleet.completed(jobs))
    check("the jobs are completed under another lead", True)


async def stop_instance(fleet: Processes, lead: Any) -> None:
    """Stop an instance as a rolling restart does."""
    print_step("another instance is stopped")
    process = next(p for p in fleet.all if p is not lead)
    process.signal(signal.SIGTERM)
    status, _ = await fleet.call(process, "GET", f"/plan/{0:016x}")
    check("it still serves a connected caller", status == 200, status)
    code = await asyncio.wait_for(process.process.wait(), 10.0)
    check("it exits with 0", code == 0, code)


async def withdraw_key(fleet: Processes, lead: Any) -> None:
    """Withdraw a team's key and wait until an instance refuses it."""
    print_step("an operator withdraws the team's key")
    process = next(p for p in fleet.all if p.process.returncode is None)
    tenants = [{"name": "a", "api_keys": ["another"]}]
    fleet.model.configure(2, tenants=tenants)
    started_at = time.monotonic()

    async def refused() -> bool:
        status, _ = await fleet.call(process, "GET", f"/plan/{0:016x}")
        return status == 401

    await until(refused)
    took_s = time.monotonic() - started_at
    check(f"it is refused after {took_s:.2f} s", took_s < 2.0, took_s)


if __name__ == "__main__":
    asyncio.run(main())
