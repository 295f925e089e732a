"""Orders of events around starts in which work is lost, admitted or sent wrongly."""

import asyncio

import pytest

from firhook.cell import OrderAnswer, OrderOutcome
from firhook.cell.records import STATE_PREFIX
from firhook.clock import boot_time
from standins.model import now, pause
from tests.services.scenarios import run_scenario, step


async def _start_delay_s(cell):
    """Return after how many seconds an urgent job on a worker of kind a starts."""
    began = now()
    quote = {**step(2), "requirements": "a"}
    job, _ = await cell.submit([quote], work_s=0.2, prefix="/quote/")
    starts = cell.checks.last_start
    await cell.until(lambda: any(task.startswith(job) for task in starts), 20)
    return now() - began


@pytest.mark.parametrize("advised", [False, True])
def test_callers_are_refused_while_starts_wait_at_the_lead(advised):
    """Without a round the load table shows room, however much work waits."""

    async def scenario(cell):
        cell.drop_share = 0.0
        cell.order_bytes = 900
        cell.link_bytes_s[cell.lead_name()] = 150 * cell.order_bytes
        term = cell.lead().lead.term
        crowded = []

        async def watch():
            while True:
                await pause(0.05)
                steps = term.job_table.open_steps.values()
                idle = sum(len(s.idle) for s in steps)
                if idle > 100:
                    crowded.append(bool(term.load.table and term.load.table.rows))

        watching = asyncio.create_task(watch())
        for _ in range(60):
            await cell.submit([step(120, cpu_m=1000)], work_s=0.3)
            await pause(0.1)
        watching.cancel()
        assert sum(crowded) > 0.8 * len(crowded)

    run_scenario(scenario, workers=20, instances=2, advised=advised)


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("valid_s", [0.6, 1.5])
def test_run_on_a_worker_that_is_unheard_for_a_moment_is_not_stopped(valid_s, gang):
    """It works, and the next poll would list it; its ticket is of no use any more."""

    async def scenario(cell):
        cell.adviser.valid_s = valid_s
        await pause(2.0)
        more = {"all_or_nothing": True} if gang else {}
        job, _ = await cell.submit([step(2, 5000, **more)], work_s=4.0)
        for worker in cell.workers.values():
            worker.mode = "mute"
        await cell.until(lambda: any(w.runs for w in cell.workers.values()), 3.0)
        await pause(1.4)
        for worker in cell.workers.values():
            worker.mode = "up"
        await cell.until(lambda: cell.ended(job), 30.0)
        assert sum(w.started_runs for w in cell.workers.values()) == 2

    run_scenario(scenario, workers=10, instances=1, advised=True)


def test_start_for_a_worker_that_restarted_with_a_lower_number_is_not_sent():
    """Its number fell with its clock, and it is of another kind now."""

    async def scenario(cell):
        worker = cell.workers["w0"]
        worker.kind = "b"
        cell.register("w0")
        await pause(1.0)
        worker.greetings = [0.5, None]
        await cell.submit([{**step(1), "requirements": "b"}], work_s=0.3)
        await pause(0.2)
        worker.crash()
        worker.incarnation -= 5000
        worker.kind = "a"
        worker.restart()
        cell.register("w0")
        await pause(5.0)
        assert worker.started_runs == 0

    run_scenario(scenario, instances=1, workers=1)


def test_copy_whose_call_ends_after_a_restart_is_stopped_there():
    """Its run has ended; it is recorded as late only once its call was given up."""

    async def scenario(cell):
        worker = cell.workers["w0"]
        workers = cell.lead().lead.term.workers
        send, calls = workers.start, 0

        async def start(entry, fence, compose):
            nonlocal calls
            calls += 1
            if calls > 1:
                return await send(entry, fence, compose)
            order = compose()
            loop = asyncio.get_running_loop()
            loop.call_later(4.0, worker.start, order)
            await pause(0.8)
            return OrderAnswer(OrderOutcome.UNKNOWN)

        workers.start = start
        await pause(2.0)
        job, _ = await cell.submit([step(1)], work_s=0.05)
        await cell.until(lambda: worker.ends, 1.0)
        await pause(0.1)
        worker.restart(0.0)
        # The answer to another start shows the restart.
        link = cell.lead().lead.term.links["w0"]
        link.on_order_answer(worker.incarnation, None, boot_time())
        await pause(8.0)
        assert cell.ended(job)
        assert worker.started_runs == 1

    run_scenario(scenario, instances=1, workers=1)


def test_end_at_an_incarnation_with_a_lower_number_counts_for_the_next_lead():
    """It was acknowledged, and the task ran again."""

    async def scenario(cell):
        worker = cell.workers["w0"]
        await pause(1.0)
        worker.greetings = [0.5, None]
        job, _ = await cell.submit([step(1)], work_s=0.3)
        await pause(0.2)
        worker.crash()
        worker.incarnation -= 5000
        worker.restart(0.0)
        cell.register("w0")
        await pause(3.5)
        cell.lead().lead.term.step_down("asked")
        await cell.until(lambda: cell.ended(job), 30.0)
        assert worker.started_runs == 1

    run_scenario(scenario, instances=2, workers=1)


def test_start_stored_during_a_restart_with_a_lower_number_is_not_sent():
    """The worker restarts while the assignment is being stored."""

    async def scenario(cell):
        worker = cell.workers["w0"]
        cell.store.holds = lambda append: any(
            key.startswith(STATE_PREFIX) for key in append.keys
        )
        job, _ = await cell.submit([step(1)], work_s=0.3)
        await cell.until(lambda: cell.store.held, 2.0)
        link = cell.lead().lead.term.links["w0"]
        worker.crash()
        worker.incarnation -= 5000
        worker.restart(0.0)
        await cell.until(lambda: link.entry.incarnation == worker.incarnation, 3.0)
        cell.store.holds = None
        await cell.until(lambda: worker.ends, 25.0)
        cell.lead().lead.term.step_down("asked")
        await cell.until(lambda: cell.ended(job), 30.0)
        assert worker.started_runs == 1

    run_scenario(scenario, instances=2, workers=1)


@pytest.mark.parametrize("mode", ["cut", "mute", "late"])
@pytest.mark.parametrize("count", [10, 40])
def test_starts_to_one_silent_worker_do_not_hold_up_all_others(mode, count):
    """They occupy all places, so that no later start is answered that frees them."""

    async def scenario(cell):
        cell.drop_share = 0.0
        silent = cell.workers["w0"]
        silent.kind = "b"
        cell.register("w0")
        await pause(2.0)
        need = {"requirements": "b"}
        await cell.submit([{**step(count, cpu_m=100), **need}], work_s=2.0)
        if mode == "late":
            silent.late_s = 5.0
        else:
            silent.mode = mode
        await pause(0.1)
        delays_s = []
        for _ in range(6):
            delays_s.append(await _start_delay_s(cell))
            await pause(0.1)
        assert max(delays_s) < 0.6

    run_scenario(scenario, instances=1, workers=5)
