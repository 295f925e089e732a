"""The lead over the model of the platform: takeovers, lapses, unanswered orders."""

from standins.model import ModelCell, run_virtual


def step(count=2, cpu_m=1000, **more):
    return {"count": count, "millicpus": cpu_m, "task_memory_mb": 100, **more}


def test_job_runs_to_its_end_and_every_instance_says_so():
    async def play():
        cell = ModelCell()
        await cell.begin()
        job, status = await cell.submit([step(3), step(2, after=[0])])
        assert status == 200
        await cell.all_done(10.0)
        states = {await cell.status(job, i) for i in cell.instances.values()}
        assert states == {"completed"}
        assert cell.checks.broken == []

    run_virtual(play())


def test_tasks_of_a_worker_that_is_gone_for_good_run_elsewhere_under_a_new_lead():
    """A worker dies for good, its entry lapses, and then the lead dies too.

    The new lead never hears of the worker other than from what was stored.  A
    user would see a job that is "running" for ever while the cell stands idle.
    """

    async def play():
        cell = ModelCell(workers=2)
        await cell.begin()
        job, _ = await cell.submit([step(4)], work_s=5.0)
        await cell.until(lambda: len(cell.workers["w0"].runs) > 0, 3.0)
        cell.workers["w0"].crash()
        cell.unregister("w0")
        cell.kill(cell.lead_name())
        await cell.all_done(40.0)
        assert await cell.status(job) == "completed"
        assert cell.checks.broken == []

    run_virtual(play())
