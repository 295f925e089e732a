"""Counts of waiting jobs, and what they rest on."""

from firhook._peer_messages import RecordsPush
from standins.model import ModelCell, ModelRequest, now, pause, run_virtual

#: Operators are told that a count may be so old.
OLDEST_S = 2.0


def step(count=2, cpu_m=1000, **more):
    return {"count": count, "millicpus": cpu_m, "task_memory_mb": 100, **more}


async def count_waiting(found):
    """Return the status and the count that an instance answers."""
    status, body = await found.call(ModelRequest("GET", "/plan/"))
    return status, body.get("pending")


def test_no_count_is_told_from_a_replica_that_is_older_than_it_may_be():
    """Reading the second partition takes long, and all waiting jobs lie there."""

    async def play(phase_s):
        cell = ModelCell(workers=1)
        await cell.begin()
        behind = next(n for n in cell.instances if n != cell.lead_name())
        found = cell.instances[behind]
        found.instance.services["mesh"].handlers.pop(RecordsPush)
        await pause(phase_s)
        cell.store.transfer_s[behind, 3] = 2.0
        cell.store.partly_down = {1}
        jobs = [await cell.submit([step(8)], work_s=30.0) for _ in range(4)]
        cell.store.partly_down = set()
        assert {status for _, status in jobs} == {200}
        began = now()
        while now() - began < 6.0:
            status, count = await count_waiting(found)
            if status == 200 and now() - began > OLDEST_S:
                assert count == 3
            await pause(0.1)

    for phase_s in (0.0, 0.5, 1.0, 1.5):
        run_virtual(play(phase_s))
