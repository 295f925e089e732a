"""Failures of tasks that nobody waits for are told by a line of the log."""

import asyncio
import gc

from firhook.errors import LogUnavailableError
from firhook.roles._fold import Folder
from firhook.tasks import log_failure


def lines(caplog, event):
    return [record for record in caplog.records if record.message == event]


def test_only_a_failure_is_logged(caplog):
    async def end():
        return 1

    async def fail():
        raise ValueError("on purpose")

    async def scenario():
        works = [end(), fail(), asyncio.sleep(9)]
        tasks = [asyncio.create_task(work) for work in works]
        for task in tasks:
            task.add_done_callback(log_failure("x.failed", worker="w1"))
        await asyncio.sleep(0)
        tasks[2].cancel()
        await asyncio.wait(tasks)

    asyncio.run(scenario())
    [line] = lines(caplog, "x.failed")
    assert line.levelname == "ERROR"
    assert line.worker == "w1"
    assert "on purpose" in line.error


def test_wave_that_fails_after_its_callers_left_is_logged(caplog):
    """Callers give up while their cancellations are on their way to the log.

    asyncio takes the failure of what was shielded and says nothing of it.
    """

    async def send(names):
        raise LogUnavailableError("out")

    async def scenario():
        folder = Folder(send)
        asking = asyncio.create_task(folder.add("a/1"))
        await asyncio.sleep(0)
        wave = folder._wave
        asking.cancel()
        await asyncio.wait({asking, wave})
        del wave
        gc.collect()

    asyncio.run(scenario())
    [line] = lines(caplog, "wave.failed")
    assert "LogUnavailableError" in line.error
