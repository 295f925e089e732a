"""Copies of one start whose answers come in another order than they were sent."""

import asyncio
from collections import Counter, defaultdict

from firhook.cell import OrderAnswer, OrderOutcome
from firhook.errors import WorkerUnreachableError
from standins.model import pause
from tests.services.scenarios import run_scenario, step


def _use_up_hedges(cell, left):
    """Leave some second copies in the lead's budget."""
    cell.lead().lead.term._order_sender._hedge_timer._budget = float(left)


def test_run_is_kept_if_a_copy_that_nobody_awaits_was_carried_out():
    """The answer to a second copy was discarded, and the task ran twice."""

    async def scenario(cell):
        _use_up_hedges(cell, 1)
        for worker in cell.workers.values():
            worker.greetings = [None, 0.5, *[None] * 20]
        job, _ = await cell.submit([step(1)], work_s=4.0)
        await pause(3.0)
        for worker in cell.workers.values():
            worker.greetings.clear()
        await cell.until(lambda: cell.ended(job), 8.0)
        assert sum(worker.started_runs for worker in cell.workers.values()) == 1

    run_scenario(scenario, workers=2)


def test_run_that_its_worker_refuses_by_now_is_kept_until_its_end_is_read():
    """A run was given up as refused, though another answer said that it had ended."""

    async def scenario(cell):
        worker = cell.workers["w0"]
        workers = cell.lead().lead.term.workers
        real_poll, is_cut = workers.poll, False
        starts = Counter()
        answered = defaultdict(asyncio.Event)

        def carry_out_late(order):
            nonlocal is_cut
            is_cut = True
            worker.start(order)

        async def poll(*args):
            reply = await real_poll(*args)
            if is_cut:
                raise WorkerUnreachableError("w0")
            return reply

        async def start(entry, fence, compose):
            order = compose()
            if order is None:
                return OrderAnswer(OrderOutcome.NOT_SENT)
            starts[order.task] += 1
            if starts[order.task] == 1:
                loop = asyncio.get_running_loop()
                loop.call_later(1.2, carry_out_late, order)
            if starts[order.task] <= 2:
                await pause(0.8)
                return OrderAnswer(OrderOutcome.UNKNOWN)
            if starts[order.task] == 3:
                await answered[order.task].wait()
                return OrderAnswer(OrderOutcome.BUSY)
            await pause(0.2)
            answered[order.task].set()
            return worker.start(order)

        workers.poll, workers.start = poll, start
        jobs = [(await cell.submit([step(1, 100)], work_s=0.05))[0] for _ in range(8)]
        await pause(3.0)
        is_cut = False
        await cell.until(lambda: all(map(cell.ended, jobs)), 15.0)
        assert worker.started_runs == len(jobs)

    run_scenario(scenario, workers=1)
