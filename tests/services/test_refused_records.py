"""A record that the store refuses for good concerns its job alone."""

import asyncio

import pytest

from firhook.cell import JobTable
from firhook.clock import boot_time
from firhook.decide.store_reachability import StoreReachability
from firhook.errors import LogRecordRefusedError
from firhook.platform.store import CELL_TOPIC, KeyedRecord, encode_keyed_record
from firhook.services._appends import AppendQueue, PendingAppend
from firhook.services._fenced_writer import FencedWriter
from standins.model import ModelCell, ModelStore, now, pause, run_virtual
from tests.services.scenarios import run_scenario, step


def encoded(key, size=1):
    return encode_keyed_record(KeyedRecord(key, b"x" * size))


def stored(store):
    return sorted(
        content[1 : 1 + content[0]].decode()
        for (topic, _), part in store.partitions.items()
        if topic == CELL_TOPIC
        for content in part.records
    )


@pytest.mark.parametrize("lost", [False, True])
def test_refused_append_is_not_repeated_and_does_not_stop_the_next(lost):
    """The lead took the refusal for a lost answer and repeated it for ever."""

    async def scenario():
        store = ModelStore(seed=5)
        writer = FencedWriter(store.client("i"), 1000, lambda sent_at: None)
        await writer.set_epoch()
        await writer.append([encoded("a")])
        if lost:
            store.mode["i"] = "silent"
            asyncio.get_running_loop().call_later(5.0, store.mode.clear)
        with pytest.raises(LogRecordRefusedError):
            await writer.append([encoded("b"), encoded("large", 300_000)])
        refusals = store.refusals
        for number in range(20):
            await writer.append([encoded(f"c{number}")])
            await writer.confirm_epoch([])
        assert stored(store) == sorted(["a", *(f"c{i}" for i in range(20))])
        # Each partition on which it was tried may refuse it once more.
        assert store.refusals - refusals <= 4

    run_virtual(scenario())


def test_only_the_refused_record_of_a_batch_fails():
    async def scenario():
        store = ModelStore()
        queue = AppendQueue(
            store.client("i"),
            StoreReachability((1, 3)),
            (1, 3),
            2_000_000,
            lambda: False,
            lambda event: None,
        )
        rows = [
            PendingAppend(KeyedRecord(f"k{i}", b"x" * size), boot_time() + 5.0)
            for i, size in enumerate((1, 300_000, 1, 400_000, 1))
        ]
        for row in rows:
            queue.add(row)
        running = asyncio.create_task(queue.run())
        await asyncio.wait({row.done for row in rows})
        running.cancel()
        failed = [row.done.exception() is not None for row in rows]
        assert failed == [False, True, False, True, False]
        assert isinstance(rows[1].done.exception(), LogRecordRefusedError)
        assert stored(store) == ["k0", "k2", "k4"]

    run_virtual(scenario())


def test_other_jobs_start_at_once_beside_one_with_many_thousands_of_tasks():
    """The state of the large job was refused, and nothing of any job started."""

    async def scenario(cell):
        large = [step(10_000, 100, anti_affinity=1) for _ in range(27)]
        big, status = await cell.submit(large, work_s=0.4)
        assert status == 200
        await pause(4.0)
        for _ in range(5):
            job, _ = await cell.submit([step(2, 500)], work_s=0.4)
            began = now()
            await cell.until(lambda job=job: cell.ended(job), 3.0)
            assert now() - began < 3.0
        assert cell.store.refusals == 0
        started = [t for t in cell.checks.last_start if t.startswith(big)]
        assert len(started) > 100
        cell.kill(cell.lead_name())
        await cell.until(lambda: cell.lead() is not None, 20.0)
        await pause(3.0)
        assert len(started) < sum(t.startswith(big) for t in cell.checks.last_start)
        assert await cell.cancel(big) == 200
        await cell.until(lambda: cell.ended(big), 3.0)

    run_scenario(scenario)


@pytest.mark.parametrize("changes_lead", [False, True])
def test_job_whose_state_is_refused_is_set_aside_and_continues_later(changes_lead):
    """Its ends stay at the workers, and its tasks run once."""

    async def scenario(cell):
        stuck, _ = await cell.submit([step(4), step(2, after=[0])], work_s=3.0)
        await cell.until(lambda: len(cell.checks.last_start) == 4, 2.0)
        await pause(1.0)
        cell.store.refused_keys.add(f"state/{stuck}")
        for _ in range(8):
            job, _ = await cell.submit([step(2)], work_s=0.3)
            await cell.until(lambda job=job: cell.ended(job), 3.0)
            await pause(1.0)
        assert cell.store.refusals > 0 and not cell.ended(stuck)
        if changes_lead:
            cell.kill(cell.lead_name())
            await cell.until(lambda: cell.lead() is not None, 20.0)
            await pause(3.0)
        cell.store.refused_keys.clear()
        await cell.all_done(90.0)
        runs = [t for t in cell.checks.last_start if t.startswith(stuck)]
        assert len(runs) == 6

    run_scenario(scenario)


def test_job_that_the_table_fails_to_add_does_not_end_the_term(monkeypatch):
    """Each lead ended at it while it took over, and so did each successor."""
    failing, add = set(), JobTable.add

    def fail_or_add(self, accepted, *args):
        if accepted.id in failing:
            raise ZeroDivisionError(accepted.id)
        return add(self, accepted, *args)

    monkeypatch.setattr(JobTable, "add", fail_or_add)

    async def scenario():
        cell = ModelCell(instances=3)
        await cell.begin()
        failing.add(f"{1:016x}")
        stuck, _ = await cell.submit([step(1)], work_s=0.3)
        assert stuck in failing
        for _ in range(2):
            job, _ = await cell.submit([step(2)], work_s=0.3)
            await cell.until(lambda job=job: cell.ended(job), 5.0)
            cell.kill(cell.lead_name())
            await cell.until(lambda: cell.lead() is not None, 20.0)
        failing.clear()
        await cell.all_done(60.0)
        assert cell.checks.violations == []

    run_virtual(scenario())
