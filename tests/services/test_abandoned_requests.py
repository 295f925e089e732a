"""Failures of work that nobody waits for any more are logged and not raised."""

import asyncio
import gc

import pytest

from firhook.clock import boot_time
from firhook.errors import LogOutcomeUnknownError
from firhook.platform.store import CELL_TOPIC, KeyedRecord
from firhook.services._events import AppendRecord, StoreLatency
from standins.model import ModelCell, ModelRequest, pause, run_virtual

JOB = b'{"specification":"x","steps":[{"count":1,"millicpus":1000}]}'


def collect_loop_errors(scenario):
    """Run a scenario in virtual time; return the errors that reached the loop."""
    errors = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        await scenario()
        gc.collect()

    run_virtual(run())
    return errors


async def silent_store(cell, found, lasts_s):
    """Let the store leave calls unanswered for some seconds."""
    name = found.instance.settings.name
    cell.store.mode[name] = "silent"
    await pause(lasts_s)
    del cell.store.mode[name]


def abandoned(caplog):
    """Return the logged key and outcome of each abandoned append."""
    return [
        (record.key, record.outcome)
        for record in caplog.records
        if record.message == "append.abandoned"
    ]


def test_append_for_a_peer_that_stopped_waiting_leaves_no_unretrieved_exception(caplog):
    """An instance relays a job to a lead whose store stops answering.

    The caller gets the answer that the outcome is unknown.  The error that the lead
    finds after that must be retrieved and logged.
    """
    job = f"{7:016x}"

    async def scenario():
        cell = ModelCell(instances=3)
        await cell.begin()
        lead = cell.lead()
        other = next(i for i in cell.instances.values() if i is not lead)
        cell.store.mode[other.instance.settings.name] = "busy"
        await pause(1.0)
        silence = asyncio.create_task(silent_store(cell, lead, 3.0))
        await pause(0.01)
        status, _ = await other.call(ModelRequest("POST", f"/plan/{job}", JOB))
        assert status == 504
        await silence
        await pause(2.0)

    assert collect_loop_errors(scenario) == []
    logged = [r.key for r in caplog.records if r.message == "relay.unknown"]
    assert logged == [f"job/{job}"]


@pytest.mark.parametrize(
    ("mode", "cancel_after_s", "outcome"),
    [("silent", 0.3, "unknown"), ("busy", 0.005, "not_sent")],
)
def test_abandoned_append_is_not_retried_and_is_logged(
    caplog, mode, cancel_after_s, outcome
):
    """The instance stops while it appends for a caller."""
    record = KeyedRecord("cancel/x", b"\x01")

    async def scenario():
        cell = ModelCell(instances=1, workers=0)
        await cell.begin()
        found = cell.lead()
        bus = found.instance.bus
        cell.store.mode["*"] = mode
        request = asyncio.create_task(bus.ask(AppendRecord(record, boot_time() + 1.5)))
        await pause(cancel_after_s)
        request.cancel()
        await asyncio.wait({request})
        assert request.cancelled()
        await pause(1.0)
        cell.store.mode.clear()
        await pause(3.0)
        parts = [cell.store.partition(CELL_TOPIC, number) for number in range(4)]
        assert not any("cancel/x" in part.newest for part in parts)

    assert collect_loop_errors(scenario) == []
    assert abandoned(caplog) == [("cancel/x", outcome)]


def test_failure_of_an_append_that_is_abandoned_at_the_same_moment_is_logged(caplog):
    """Both happen in one step of the loop, as when a busy instance stops."""

    async def scenario():
        cell = ModelCell(instances=1, workers=0)
        await cell.begin()
        bus = cell.lead().instance.bus
        follower = cell.lead().instance.services["follower"]
        cell.store.mode["*"] = "silent"
        record = KeyedRecord("cancel/x", b"\x01")
        request = asyncio.create_task(bus.ask(AppendRecord(record, boot_time() + 9.0)))
        while not follower._relayed_appends.pending:
            await asyncio.sleep(0)
        follower._relayed_appends.pending[0].fail(LogOutcomeUnknownError("silent"))
        request.cancel()
        await asyncio.wait({request})
        assert request.cancelled()

    assert collect_loop_errors(scenario) == []
    [(key, outcome)] = abandoned(caplog)
    assert key == "cancel/x"
    assert outcome.startswith("LogUnavailableError")


def test_failed_offer_of_the_lead_is_logged(caplog):
    """A stopping lead offers the cell to a peer; the offer fails unexpectedly."""

    async def scenario():
        cell = ModelCell(instances=2, workers=0)
        await cell.begin()
        lead = cell.lead().lead

        async def fail(query):
            raise RuntimeError("on purpose")

        lead.bus._handlers[StoreLatency] = fail
        lead._start_offer("stopping", boot_time())
        await pause(0.1)

    assert collect_loop_errors(scenario) == []
    [failed] = [r for r in caplog.records if r.message == "lead.offer_failed"]
    assert "on purpose" in failed.error
