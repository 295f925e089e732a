"""Command line of the soak: ``python -m standins.soak --seeds 50``."""

import asyncio
import sys
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated

import msgspec
from cyclopts import App, Parameter

from standins.soak import Report, run_seed

app = App(name="soak", help="Plays seeds of faults over real processes.")


@app.default
def run(
    *,
    first: Annotated[int, Parameter(help="The first seed.")] = 1,
    seeds: Annotated[int, Parameter(help="How many seeds.")] = 50,
    seconds: Annotated[float, Parameter(help="How long faults come.")] = 15.0,
    at_once: Annotated[int, Parameter(help="Seeds that are played at a time.")] = 3,
    instances: Annotated[int, Parameter(help="How many instances a seed has.")] = 4,
    keep: Annotated[Path, Parameter(help="Where logs of broken seeds go.")] = Path(
        "soak-logs"
    ),
) -> int:
    """Play seeds; the exit status is 1 if a promise was broken."""
    reports = asyncio.run(
        _run_seeds(range(first, first + seeds), seconds, at_once, instances, keep)
    )
    violated = [report.seed for report in reports if report.violations]
    print(f"{len(reports)} seeds, {len(violated)} broken: {violated}")
    return 1 if violated else 0


async def _run_seeds(
    seeds: Iterable[int], seconds: float, at_once: int, instances: int, keep: Path
) -> list[Report]:
    slots = asyncio.Semaphore(at_once)

    async def run_one(seed: int) -> Report:
        async with slots:
            with tempfile.TemporaryDirectory(prefix="firhook-soak-") as folder:
                report = await run_seed(
                    seed, Path(folder), seconds, instances, mixed=True
                )
        print(
            f"seed {seed}: {report.accepted} accepted, {len(report.violations)} broken"
        )
        for line in report.violations:
            print(f"    {line}", flush=True)
        if report.violations:
            keep.mkdir(exist_ok=True)
            raw = msgspec.json.encode(report.logs | {"faults": report.history})
            (keep / f"{seed}.json").write_bytes(raw)
        return report

    return list(await asyncio.gather(*(run_one(seed) for seed in seeds)))


if __name__ == "__main__":
    sys.exit(app())
