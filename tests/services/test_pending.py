"""Which jobs callers are told that wait: those of which no worker began anything."""

from standins.model import ModelCell, ModelRequest, now, pause, run_virtual


def step(count=1, cpu_m=1000, **more):
    return {"count": count, "millicpus": cpu_m, "task_memory_mb": 100, **more}


async def told(cell, job):
    """Return what each living instance says of the job, and how many wait."""
    said = set()
    for found in cell.instances.values():
        if found.alive:
            status, body = await found.call(ModelRequest("GET", "/plan/"))
            assert status == 200
            said.add((await cell.status(job, found), body["pending"]))
    return said


def assigned(cell, job):
    """Return whether the log names a run of the job."""
    views = [i.instance.replica.find(job) for i in cell.instances.values() if i.alive]
    return all(v and v.state and not v.state.over for v in views)


def test_job_whose_workers_are_cut_off_as_it_is_assigned_is_not_said_to_run():
    async def play():
        cell = ModelCell()
        await cell.begin()
        for worker in cell.workers.values():
            worker.mode = "cut"
        job, _ = await cell.submit([step(2)], work_s=5.0)
        await cell.until(lambda: assigned(cell, job), 1.0)
        cut_until = now() + 5.0
        while now() < cut_until:
            assert await told(cell, job) == {("queued", 1)}
            await pause(0.2)
        for worker in cell.workers.values():
            worker.mode = "up"
        await cell.until(lambda: cell.checks.last_start, 20.0)
        await pause(1.0)
        assert await told(cell, job) == {("running", 0)}
        await cell.all_done(20.0)
        assert cell.checks.broken == []

    run_virtual(play())


def test_job_whose_lead_was_lost_between_assignment_and_order_is_not_said_to_run():
    async def play():
        cell = ModelCell()
        await cell.begin()
        first = cell.lead_name()
        # The successor reaches no worker, so that it can only tell what is stored.
        for worker in cell.workers.values():
            worker.cut_from |= set(cell.instances) - {first}
        orders = cell.instances[first].lead.term._orders
        orders.begin = lambda run: cell.kill(first)
        job, _ = await cell.submit([step(1)], work_s=5.0)
        await cell.until(lambda: cell.lead() and cell.lead_name() != first, 5.0)
        await pause(0.5)
        assert assigned(cell, job)
        assert await told(cell, job) == {("queued", 1)}
        for worker in cell.workers.values():
            worker.cut_from.clear()
        await cell.until(lambda: cell.checks.last_start, 20.0)
        await pause(1.0)
        assert await told(cell, job) == {("running", 0)}
        await cell.all_done(20.0)
        assert cell.checks.broken == []

    run_virtual(play())
