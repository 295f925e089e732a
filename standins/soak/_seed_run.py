"""A run of the soak with one seed."""

import asyncio
import random
from pathlib import Path

import aiohttp
import attrs

from standins.model import HttpModel
from standins.soak._callers import KINDS, Callers
from standins.soak._faults import FaultInjector, initial_teams
from standins.soak._fleet import Fleet

#: Limits for instances to become ready, and for accepted jobs to complete after
#: the last fault.  The latter covers leases of 3 s, waits of 12.5 s for orders and
#: the work itself.
_START_TIMEOUT_S, _COMPLETION_TIMEOUT_S = 30.0, 45.0
_CALLER_COUNT = 6


@attrs.frozen
class Report:
    """The result of a run.

    :param violations: descriptions of the violated guarantees.
    :param accepted: number of accepted jobs.
    :param responses: number of calls by method and status.
    :param history: the injected faults.
    :param logs: log lines by machine.
    """

    seed: int
    violations: tuple[str, ...]
    accepted: int
    responses: dict[str, int]
    history: tuple[str, ...]
    logs: dict[str, list[dict]]


async def run_seed(
    seed: int,
    folder: Path,
    seconds: float,
    instances: int = 4,
    workers: int = 6,
    kinds: tuple[str, ...] = (),
    mixed: bool = False,
) -> Report:
    """Run the soak with a seed and return its report.

    :param folder: directory for settings files.
    :param seconds: how long faults are injected.
    :param kinds: names of the faults to inject; all if empty.
    :param mixed: whether there are two kinds of workers, and also periodic jobs and
        jobs that require a kind.
    """
    rng = random.Random(seed)
    model = HttpModel(workers, seed=seed)
    await model.start()
    if mixed:
        for name, kind in zip(model.workers, KINDS * workers, strict=False):
            model.workers[name].kind = kind
    model.configure(2, tenants=initial_teams())
    fleet = Fleet(model, folder, instances)
    try:
        await fleet.start()
        callers = Callers(fleet, random.Random(rng.random()))
        await _until_ready(fleet)
        injector = FaultInjector(fleet, callers, random.Random(rng.random()), kinds)
        load = [asyncio.create_task(callers.run(_CALLER_COUNT))]
        if mixed:
            own_rng = random.Random(f"{seed} mixed")
            submitting = callers.submit_periodic_and_labelled(own_rng)
            load.append(asyncio.create_task(submitting))
        await injector.run(seconds)
        callers.stopping = True
        await asyncio.gather(*load)
        unfinished = await callers.wait_for_completion(_COMPLETION_TIMEOUT_S)
        violations = [
            f"{b.what}: {b.detail} at {b.at:.1f}" for b in model.checks.violations
        ]
        violations += (
            callers.violations + callers.find_late_starts() + injector.violations
        )
        violations += [f"job {job} did not complete" for job in unfinished]
        violations += callers.find_missing_occurrences()
        violations += [
            f"{m.name} is not running" for m in fleet.members if not m.is_running
        ]
        return Report(
            seed,
            tuple(violations),
            sum(bool(job.accepted_at) for job in callers.jobs),
            callers.responses,
            tuple(injector.history),
            {member.name: member.log_lines() for member in fleet.members},
        )
    finally:
        await fleet.close()
        await model.stop()


async def _until_ready(fleet: Fleet) -> None:
    async with aiohttp.ClientSession() as http:
        for _ in range(int(_START_TIMEOUT_S / 0.1)):
            if all([await _ready(http, m.ports[1]) for m in fleet.members]):
                return
            await asyncio.sleep(0.1)
    last_lines = {m.name: m.process.lines[-3:] for m in fleet.members if m.process}
    raise AssertionError(f"the instances did not become ready: {last_lines}")


async def _ready(http: aiohttp.ClientSession, port: int) -> bool:
    try:
        async with http.get(f"http://127.0.0.1:{port}/-/readiness") as resp:
            return resp.status == 200
    except aiohttp.ClientError:
        return False
