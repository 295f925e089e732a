"""Helpers of the tests that run services on the platform model."""

from standins.model import ModelCell, run_virtual


def step(count=2, cpu_m=1000, **more):
    """Return a step of a job in the form that callers submit."""
    return {"count": count, "millicpus": cpu_m, "task_memory_mb": 100, **more}


def run_scenario(scenario, **options):
    """Run a scenario on a started cell, and check that no invariant was violated."""

    async def run():
        cell = ModelCell(**options)
        await cell.begin()
        await scenario(cell)
        assert cell.checks.violations == []

    run_virtual(run())
