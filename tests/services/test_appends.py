"""Answers to callers whose records go to the store directly and through the lead."""

import asyncio

import pytest

from firhook.platform.store import CELL_TOPIC
from standins.model import ModelRequest, now, pause
from tests.services.scenarios import run_scenario

JOB = b'{"specification":"x","steps":[{"count":1,"millicpus":1000}]}'
JOB_ID = f"{7:016x}"


def find_follower(cell):
    """Return an instance that does not lead, and its name."""
    name = next(n for n, i in cell.instances.items() if i is not cell.lead())
    return cell.instances[name], name


def is_stored(cell, key):
    """Return whether any partition of the cell's topic holds a value for a key."""
    parts = [cell.store.partition(CELL_TOPIC, number) for number in range(4)]
    return any(key in part.newest for part in parts)


@pytest.mark.parametrize("after_s", [0.5 + i / 20 for i in range(12)])
def test_job_that_the_lead_may_be_recording_is_not_refused(after_s):
    """An instance's own append is refused while the lead still appends the record.

    If the instance answers "not run" then, the job runs nevertheless.
    """

    async def scenario(cell):
        other, _ = find_follower(cell)
        cell.store.slow = 110.0
        await pause(after_s)
        cell.store.down_partitions.add(1)
        req = ModelRequest("POST", f"/plan/{JOB_ID}", JOB, deadline_ms=590)
        status, body = await other.call(req)
        await pause(2.0)
        stored = is_stored(cell, f"job/{JOB_ID}")
        assert status in ((200, 504) if stored else (503, 504)), body

    run_scenario(scenario, instances=3)


def test_caller_is_answered_by_its_deadline_though_others_may_wait_longer():
    """A record must not expire only after the preceding call for others has ended."""

    async def scenario(cell):
        other, name = find_follower(cell)
        cell.cut_links += [{name, peer} for peer in cell.instances if peer != name]
        cell.store.slow = 60.0
        await pause(2.0)
        cell.store.mode[name] = "silent"
        path = "/plan/" + "e" * 16
        patient = asyncio.create_task(other.call(ModelRequest("POST", path, JOB)))
        await pause(0.05)
        began = now()
        req = ModelRequest("POST", f"/plan/{JOB_ID}", JOB, deadline_ms=700)
        status, _ = await other.call(req)
        assert now() - began <= 0.7
        assert status == 503
        await patient

    run_scenario(scenario, instances=3)
