"""Failures of tasks that are not awaited are logged."""

import asyncio
import gc

from firhook.errors import LogUnavailableError
from firhook.roles._batcher import Batcher
from firhook.tasks import log_failure


def log_lines(caplog, event):
    return [record for record in caplog.records if record.message == event]


def test_only_a_failure_is_logged(caplog):
    async def succeed():
        return 1

    async def fail():
        raise ValueError("on purpose")

    async def scenario():
        coros = [succeed(), fail(), asyncio.sleep(9)]
        tasks = [asyncio.create_task(coro) for coro in coros]
        for task in tasks:
            task.add_done_callback(log_failure("x.failed", worker="w1"))
        await asyncio.sleep(0)
        tasks[2].cancel()
        await asyncio.wait(tasks)

    asyncio.run(scenario())
    [line] = log_lines(caplog, "x.failed")
    assert line.levelname == "ERROR"
    assert line.worker == "w1"
    assert "on purpose" in line.error


def test_failure_after_all_callers_were_cancelled_is_logged(caplog):
    """The callers are cancelled while their record is being appended to the log.

    asyncio does not report the exception of a shielded task then.
    """

    async def send(names):
        raise LogUnavailableError("out")

    async def scenario():
        batcher = Batcher(send)
        request = asyncio.create_task(batcher.add("a/1"))
        await asyncio.sleep(0)
        wave = batcher._batch
        request.cancel()
        await asyncio.wait({request, wave})
        del wave
        gc.collect()

    asyncio.run(scenario())
    [line] = log_lines(caplog, "wave.failed")
    assert "LogUnavailableError" in line.error
