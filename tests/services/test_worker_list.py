"""The lead's list of workers, with entries of another writer among them."""

import logging

import msgspec
import pytest

from firhook.platform.store import WORKER_TOPIC
from standins.model import pause
from tests.services.scenarios import run_scenario, step

ODD_ENTRIES = {
    "port": {"address": "10.0.0.9:70000"},
    "bracket": {"address": "[:80"},
    "number": {"capacity": {"millicpus": 10**30}},
    "born": {"born": None},
    "state": {"state": "resting"},
}


def odd_bytes(cell, kind):
    if kind == "nested":
        return b"[" * 5000 + b"]" * 5000
    return msgspec.json.encode({**cell.workers["w0"].entry(), **ODD_ENTRIES[kind]})


@pytest.mark.parametrize("kind", [*ODD_ENTRIES, "nested"])
def test_odd_entry_names_no_worker_and_the_others_hold(kind, caplog):
    """A process that read the list ended, or logged an error at each poll."""

    async def scenario(cell):
        caplog.set_level(logging.ERROR)
        cell.store.put(WORKER_TOPIC, "odd", odd_bytes(cell, kind))
        await pause(1.0)
        for _ in range(2):
            for _ in range(5):
                await cell.submit([step(2)], work_s=0.3)
            await cell.all_done(10.0)
            links = cell.lead().lead.term.links
            assert sorted(links) == sorted(cell.workers)
            cell.kill(cell.lead_name())
            await cell.until(lambda: cell.lead() is not None, 5.0)
        cell.add_worker("late", "r9-9")
        await pause(1.5)
        assert "late" in cell.lead().lead.term.links

    run_scenario(scenario)
    assert not caplog.records


@pytest.mark.parametrize("kind", [*ODD_ENTRIES, "nested"])
def test_odd_entry_under_the_name_of_a_worker_does_not_replace_its_entry(kind):
    """The worker is registered and an odd entry is written before the next read."""

    async def scenario(cell):
        cell.add_worker("late", "r9-9")
        cell.store.put(WORKER_TOPIC, "late", odd_bytes(cell, kind))
        await pause(1.5)
        link = cell.lead().lead.term.links["late"]
        assert link.entry.rack == "r9-9"
        cell.store.put(WORKER_TOPIC, "late", odd_bytes(cell, kind))
        await pause(1.0)
        assert link.entry.rack == "r9-9"

    run_scenario(scenario)


def test_list_is_followed_after_a_failure_to_apply_an_entry(monkeypatch):
    """The lead would place work on workers that left, and none on new ones."""

    async def scenario(cell):
        term = cell.lead().lead.term
        failures = []

        def fail(link, entry):
            failures.append(entry)
            raise RuntimeError

        monkeypatch.setattr(term, "_on_draining", fail)
        cell.workers["w0"].draining_s = 5.0
        cell.register("w0")
        await pause(1.0)
        assert failures
        cell.add_worker("late", "r9-9")
        await pause(1.5)
        assert "late" in term.links

    run_scenario(scenario)
