"""The demonstration on the users' platform: three instances over its model.

Starts the model of the platform (store, workers, adviser) and three daemons as
separate processes, hands in jobs, kills the instance that leads, stops another
one gracefully, and withdraws a key.  Exits with 0 only if everything came out as
it must.
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
    """Print a step."""
    print(f"\n== {text}", flush=True)


def check(what: str, ok: bool, seen: Any = None) -> None:
    """Print a check and stop the demonstration if it failed."""
    print(f"   {'ok ' if ok else 'BAD'} {what}", flush=True)
    if not ok:
        raise SystemExit(f"expected otherwise: {seen!r}")


async def main() -> None:
    """Show it."""
    with tempfile.TemporaryDirectory() as folder:
        print_step("a store, four workers, an adviser and three instances")
        async with Processes(Path(folder), 3) as fleet:
            lead = next(p for p in fleet.all if p.leads())
            check("all are ready, and one leads", True)
            await run_jobs(fleet)
            await kill_lead(fleet, lead)
            await stop_instance(fleet, lead)
            await withdraw_key(fleet, lead)
            violations = fleet.model.checks.violations
            check(
                "no task ran twice, no worker was overfull", not violations, violations
            )


async def run_jobs(fleet: Processes) -> None:
    """Hand in jobs and see them end."""
    print_step("ten jobs of four tasks, handed in at any instance")
    started_at = time.monotonic()
    jobs = [f"{i:016x}" for i in range(10)]
    for job in jobs:
        await fleet.submit(job)
    await until(lambda: fleet.completed(jobs))
    check(f"all are completed after {time.monotonic() - started_at:.1f} s", True)


async def kill_lead(fleet: Processes, lead: Any) -> None:
    """Kill the lead in the middle of its work."""
    print_step("the instance that leads is killed in the middle of its work")
    jobs = [f"{100 + i:016x}" for i in range(10)]
    for job in jobs:
        await fleet.submit(job)
    lead.signal(signal.SIGKILL)
    await lead.process.wait()
    await until(lambda: fleet.completed(jobs))
    check("its jobs are completed under another lead", True)


async def stop_instance(fleet: Processes, lead: Any) -> None:
    """Stop an instance as a rolling restart does."""
    print_step("another instance is told to stop")
    process = next(p for p in fleet.all if p is not lead)
    process.signal(signal.SIGTERM)
    status, _ = await fleet.call(process, "GET", f"/plan/{0:016x}")
    check("it still answers who is connected", status == 200, status)
    code = await asyncio.wait_for(process.process.wait(), 10.0)
    check("it ends with 0", code == 0, code)


async def withdraw_key(fleet: Processes, lead: Any) -> None:
    """Withdraw a team's key."""
    print_step("the team's key is withdrawn")
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
