"""One play of the soak, by its seed."""

import asyncio
import random
from pathlib import Path

import aiohttp
import attrs

from standins.model import HttpModel
from standins.soak._callers import Callers
from standins.soak._faults import Faults, first_teams
from standins.soak._fleet import Fleet

#: Instances have so long to serve at first, and accepted jobs to end after the
#: last fault: leases of 3 s, orders that are waited for 12.5 s, and their work.
_START_S, _REST_S = 30.0, 45.0
_CALLERS = 6


@attrs.frozen
class Report:
    """What a play came to.

    :param broken: promises that were not kept.
    :param accepted: jobs that were accepted.
    :param answers: how calls ended, by method and status.
    :param history: the faults.
    :param logs: what the processes on each machine logged.
    """

    seed: int
    broken: tuple[str, ...]
    accepted: int
    answers: dict[str, int]
    history: tuple[str, ...]
    logs: dict[str, list[dict]]


async def play(
    seed: int, folder: Path, seconds: float, instances: int = 4, workers: int = 6
) -> Report:
    """Play a seed, and report.

    :param folder: where settings files go.
    :param seconds: how long faults come.
    """
    rng = random.Random(seed)
    model = HttpModel(workers, seed=seed)
    await model.start()
    model.configure(2, tenants=first_teams())
    fleet = Fleet(model, folder, instances)
    try:
        await fleet.start()
        callers = Callers(fleet, random.Random(rng.random()))
        await _until_ready(fleet)
        faults = Faults(fleet, callers, random.Random(rng.random()))
        load = asyncio.create_task(callers.run(_CALLERS))
        await faults.run(seconds)
        callers.stopping = True
        await load
        unended = await callers.unended(_REST_S)
        broken = [
            f"{b.what}: {b.detail} at {b.at:.1f}" for b in model.checks.violations
        ]
        broken += callers.broken + callers.late_starts() + faults.broken
        broken += [f"job {job} did not end" for job in unended]
        broken += [f"{m.name} has ended" for m in fleet.members if not m.runs]
        return Report(
            seed,
            tuple(broken),
            sum(bool(job.accepted_at) for job in callers.jobs),
            callers.answers,
            tuple(faults.history),
            {member.name: member.lines() for member in fleet.members},
        )
    finally:
        await fleet.close()
        await model.stop()


async def _until_ready(fleet: Fleet) -> None:
    async with aiohttp.ClientSession() as http:
        for _ in range(int(_START_S / 0.1)):
            if all([await _ready(http, m.ports[1]) for m in fleet.members]):
                return
            await asyncio.sleep(0.1)
    last = {m.name: m.process.lines[-3:] for m in fleet.members if m.process}
    raise AssertionError(f"the instances did not become ready: {last}")


async def _ready(http: aiohttp.ClientSession, port: int) -> bool:
    try:
        async with http.get(f"http://127.0.0.1:{port}/-/readiness") as resp:
            return resp.status == 200
    except aiohttp.ClientError:
        return False
