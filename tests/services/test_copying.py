"""A weak instance copies the cell's records from a strong one, over the model."""

import pytest

from firhook.platform.store import CELL_TOPIC
from standins.model import ModelCell, pause, run_virtual
from tests.services.scenarios import step

#: Two strong instances and a weak one in each of two zones.
STRENGTHS = {"i0": 2.0, "i1": 2.0, "i2": 2.0, "i3": 2.0, "i4": 0.5, "i5": 0.5}
ZONES = {"i0": "za", "i1": "zb", "i2": "za", "i3": "zb", "i4": "za", "i5": "zb"}
READ_ALL_S = 9.0


async def _cell():
    cell = ModelCell(instances=6, workers=6, strengths=STRENGTHS, zones=ZONES)
    cell.drop_share = 0.0
    await cell.begin()
    return cell


def _slow_down_link(cell, name):
    """Limit a link so that reading all records takes ``READ_ALL_S``."""
    parts = [cell.store.partition(CELL_TOPIC, number) for number in range(4)]
    kept = [value for part in parts for _, value in part.newest.values()]
    cell.store.link_bytes_s[name] = sum(map(len, kept)) / READ_ALL_S


def test_weak_instance_is_ready_before_its_link_could_carry_all_records():
    """Links of 5 Mbit/s carried records that callers do not need for nine seconds."""

    async def scenario():
        cell = await _cell()
        running, _ = await cell.submit([step(2)], work_s=20.0)
        ended, _ = await cell.submit([step(1)], work_s=0.2)
        await pause(1.0)
        cell.kill("i4")
        _slow_down_link(cell, "i4")
        await cell.restart("i4")
        await pause(1.5)
        found = cell.instances["i4"]
        assert await found.instance.services["callers"].ready()
        assert await cell.status(running, found) == "running"
        assert await cell.status(ended, found) == "completed"
        assert found.instance.replica.jobs[running].accepted.is_digest

    run_virtual(scenario())


def test_strong_instances_are_not_delayed_by_weak_ones_when_all_start():
    """97 instances that read at once saturate the store for four seconds."""

    async def scenario():
        cell = await _cell()
        await cell.submit([step(2)], work_s=1.0)
        await pause(0.5)
        for name in STRENGTHS:
            cell.kill(name)
        for name in ("i4", "i5"):
            _slow_down_link(cell, name)
        for name in STRENGTHS:
            await cell.restart(name)
        read_before = cell.store.full_reads["i4"]
        await cell.until(lambda: cell.lead() is not None, 3.0)
        assert STRENGTHS[cell.lead_name()] == 2.0
        await pause(1.0)
        assert await cell.instances["i4"].instance.services["callers"].ready()
        assert cell.store.full_reads["i4"] == read_before
        await cell.all_done(20.0)
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_store_is_read_if_no_strong_peer_answers():
    async def scenario():
        cell = await _cell()
        job, _ = await cell.submit([step(1)], work_s=0.2)
        await pause(1.0)
        cell.kill("i4")
        for name in ("i0", "i1", "i2", "i3"):
            cell.cut_links.append({name, "i4"})
        await cell.restart("i4")
        await pause(4.0)
        found = cell.instances["i4"]
        assert await found.instance.services["callers"].ready()
        assert await cell.status(job, found) == "completed"

    run_virtual(scenario())


@pytest.mark.parametrize("slow_links", [False, True])
def test_weak_instance_that_copied_leads_when_all_strong_ones_are_lost(slow_links):
    """It holds digests only and has to read the full records first."""

    async def scenario():
        cell = await _cell()
        jobs = [(await cell.submit([step(4)], work_s=25.0))[0] for _ in range(3)]
        await pause(1.0)
        for name in ("i4", "i5"):
            cell.kill(name)
            await cell.restart(name)
        await pause(1.5)
        if slow_links:
            for name in ("i4", "i5"):
                _slow_down_link(cell, name)
        for name in ("i0", "i1", "i2", "i3"):
            cell.kill(name)
        await cell.until(lambda: cell.lead() and cell.lead().lead.term.taken_over, 20.0)
        assert set(cell.lead().lead.term.job_table.jobs) >= set(jobs)
        await cell.all_done(60.0)
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_weak_instance_that_copied_digests_of_older_states_leads_every_job():
    """A strong instance that got digests lacks states with nothing new for callers."""

    async def scenario():
        strengths = {f"i{n}": 2.0 if n < 6 else 0.5 for n in range(8)}
        cell = ModelCell(instances=8, workers=6, strengths=strengths)
        cell.drop_share = 0.0
        await cell.begin()
        rest = [step(1, work_s=0.4, after=[0]), step(1, work_s=20.0, after=[1])]
        jobs = [
            (await cell.submit([step(1, work_s=work_s), *rest]))[0]
            for work_s in (0.3, 0.5, 0.7, 0.9)
        ]
        await pause(2.5)
        for name in ("i6", "i7"):
            cell.kill(name)
            await cell.restart(name)
        await pause(1.5)
        for name in ("i6", "i7"):
            views = cell.instances[name].instance.replica.jobs
            newest = cell.lead().instance.replica.jobs
            assert all(views[j].state.version < newest[j].state.version for j in jobs)
        for name, strength in strengths.items():
            if strength == 2.0:
                cell.kill(name)
        await cell.until(lambda: cell.lead() and cell.lead().lead.term.taken_over, 20.0)
        assert set(cell.lead().lead.term.job_table.jobs) >= set(jobs)
        await cell.all_done(60.0)
        assert cell.checks.violations == []

    run_virtual(scenario())
