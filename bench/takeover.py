"""Measures the time until a new lead sends its first order, in the platform model."""

import statistics
from collections.abc import Iterable
from typing import Any

from bench._registry import measure
from standins.model import ModelCell, now, pause, run_virtual

SEEDS = 50
#: A new lead should send its first order within 1.5 s after the old one was killed,
#: and within 150 ms after a planned stop.
TARGETS_S = {"killed": 1.5, "stopped": 0.15}
_STEP = {"count": 1, "millicpus": 1000, "task_memory_mb": 100}


async def _measure_takeover(seed: int, cause: str) -> float:
    cell = ModelCell(instances=5, workers=6, seed=seed)
    await cell.begin()
    await pause(seed % 10 / 50)
    name = cell.lead_name()
    old_lead = cell.instances[name]
    # The successor has running tasks to take over.
    for _ in range(20):
        await cell.submit([_STEP], work_s=30.0)
    started_at = now()
    if cause == "killed":
        cell.kill(name)
    else:
        await old_lead.lead.drain()
    started_before = set(cell.checks.last_start)
    await cell.submit([_STEP], work_s=30.0)
    await cell.until(lambda: cell.lead() not in (None, old_lead), 10.0)
    await cell.until(lambda: set(cell.checks.last_start) - started_before, 10.0)
    return now() - started_at


@measure("takeover")
def takeover() -> Iterable[dict[str, Any]]:
    """Measure the takeover after a kill and after a planned stop."""
    for cause, target_s in TARGETS_S.items():
        times = sorted(
            run_virtual(_measure_takeover(seed, cause)) for seed in range(SEEDS)
        )
        yield {
            "how": cause,
            "seeds": SEEDS,
            "p50_ms": round(statistics.median(times) * 1000),
            "worst_ms": round(times[-1] * 1000),
            "target_ms": round(target_s * 1000),
        }
