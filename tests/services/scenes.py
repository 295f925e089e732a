"""What the tests of services over the model have in common."""

from standins.model import ModelCell, run_virtual


def step(count=2, cpu_m=1000, **more):
    """Return a step of a job as callers write it."""
    return {"count": count, "millicpus": cpu_m, "task_memory_mb": 100, **more}


def play(scene, **options):
    """Play a scene on a cell that has begun; no promise may be broken in it."""

    async def on_cell():
        cell = ModelCell(**options)
        await cell.begin()
        await scene(cell)
        assert cell.checks.violations == []

    run_virtual(on_cell())
