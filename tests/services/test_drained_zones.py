"""Zones that operators drain, together with the faults that may meet a drain."""

import pytest

from firhook.cell import DrainedZones
from firhook.services._order_sender import OrderSender
from standins.model import (
    FaultScenario,
    ModelCell,
    pause,
    run_virtual,
)
from tests.services.scenarios import run_scenario, step

TWO_ZONES = {"worker_zones": ("z0", "z1")}
#: Faults that may meet a drain.
NEARBY_FAULTS = (
    "zone_drained",
    "kill",
    "freeze",
    "store_down",
    "store_partly_down",
    "store_slow",
    "store_forgets",
    "answers_lost",
    "orders_late",
)


def running_zones(cell):
    """Return the zones in which a task runs."""
    return {worker.zone for worker in cell.workers.values() if worker.runs}


async def submit_and_settle(cell, count=6):
    """Submit long tasks, one for each worker, and wait until they were placed."""
    await cell.submit([step(count, cpu_m=8000)], work_s=60.0)
    await pause(1.0)


def test_drained_zone_gets_no_work_and_its_tasks_run_on():
    async def scenario(cell):
        await cell.submit([step(6, cpu_m=4000)], work_s=5.0)
        await pause(1.0)
        before = {key for w in cell.workers.values() for key in w.runs}
        cell.drain_zone("z1")
        await pause(0.1)
        await cell.submit([step(6, cpu_m=4000)], work_s=5.0)
        await pause(1.0)
        started = {
            key: w.zone for w in cell.workers.values() for key in w.runs.keys() - before
        }
        assert set(started.values()) == {"z0"}
        assert before <= {key for w in cell.workers.values() for key in w.runs}
        await cell.all_done(30.0)

    run_scenario(scenario, **TWO_ZONES)


def test_two_zones_may_be_drained_at_once():
    async def scenario(cell):
        cell.drain_zone("z0")
        cell.drain_zone("z1")
        await pause(0.1)
        await submit_and_settle(cell)
        assert running_zones(cell) == {"z2"}

    run_scenario(scenario, worker_zones=("z0", "z1", "z2"))


@pytest.mark.parametrize("history_expires", [False, True])
def test_zone_that_was_returned_to_service_gets_work_again(history_expires):
    """A return to service must not be missed because its record has expired.

    Without the record, only the absence of the zone's key shows the return.
    """

    async def scenario(cell):
        cell.drain_zone("z1")
        await pause(2.0)
        if history_expires:
            cell.store.mode["*"] = "busy"
            await pause(0.5)
        cell.return_zone("z1")
        if history_expires:
            cell.store.expire_history()
            cell.store.mode.clear()
        await pause(1.0)
        await submit_and_settle(cell)
        assert running_zones(cell) == {"z0", "z1"}

    run_scenario(scenario, **TWO_ZONES)


def test_next_lead_knows_the_drained_zones_from_its_first_round():
    async def scenario(cell):
        cell.drain_zone("z1")
        await pause(1.0)
        cell.kill(cell.lead_name())
        await submit_and_settle(cell)
        await pause(2.0)
        assert running_zones(cell) == {"z0"}

    run_scenario(scenario, **TWO_ZONES)


def test_drain_outlasts_the_loss_of_all_instances():
    async def scenario(cell):
        cell.drain_zone("z1")
        await pause(1.0)
        for name in list(cell.instances):
            cell.kill(name)
        for name in list(cell.instances):
            await cell.restart(name)
        await cell.until(lambda: cell.lead() is not None, 10.0)
        await submit_and_settle(cell)
        assert running_zones(cell) == {"z0"}

    run_scenario(scenario, **TWO_ZONES)


def test_drain_reaches_a_lead_while_the_store_is_slow():
    async def scenario(cell):
        cell.store.slow, cell.store.serial_appends = 95.0, True
        await pause(1.0)
        cell.drain_zone("z1")
        await pause(3.0)
        await cell.submit([step(6, cpu_m=8000)], work_s=60.0)
        await pause(8.0)
        assert running_zones(cell) == {"z0"}

    run_scenario(scenario, **TWO_ZONES)


def test_instance_that_the_store_refuses_learns_of_a_drain_from_a_peer():
    """An instance that leads next must not start work in a drained zone.

    It learns of the drain like of a new configuration, and of the return as well.
    """

    async def scenario(cell):
        name = next(n for n in cell.instances if n != cell.lead_name())
        zones = cell.instances[name].instance.config.drained_zones
        cell.store.mode[name] = "busy"
        await pause(0.5)
        cell.drain_zone("z1")
        await cell.until(lambda: "z1" in zones, 4.0)
        cell.return_zone("z1")
        await cell.until(lambda: "z1" not in zones, 4.0)

    run_scenario(scenario, **TWO_ZONES)


async def start_unanswered_work_in_zone(cell, zone):
    """Leave starts in a zone without an answer until some time after its drain."""
    workers = [w for w in cell.workers.values() if w.zone == zone]
    for worker in workers:
        worker.unreachable_from.update(cell.instances)
    await cell.submit([step(6, cpu_m=8000)], work_s=60.0)
    await pause(0.3)
    cell.drain_zone(zone)
    await pause(5.5)
    for worker in workers:
        worker.unreachable_from.clear()
    await pause(6.0)


def test_start_without_an_answer_ends_when_the_drain_takes_effect(monkeypatch):
    """A repeated start must not begin a task after its zone was drained."""
    monkeypatch.setattr("firhook.services._order_sender._START_RETRY_LIMIT_S", 20.0)

    async def scenario(cell):
        await start_unanswered_work_in_zone(cell, "z1")
        assert running_zones(cell) == {"z0"}

    run_scenario(scenario, **TWO_ZONES)


def test_malformed_requests_to_drain_change_nothing(capsys):
    """A mistyped zone must neither stop other zones nor hide the configuration."""

    async def scenario(cell):
        for key in ("evacuate/", "evacuate/nowhere", "evacuate"):
            cell.store.put("keyed.op", key, b"\xff not JSON")
        cell.configure(2)
        await pause(1.5)
        views = [i.instance.config for i in cell.instances.values()]
        assert {view.config.version for view in views} == {2}
        await submit_and_settle(cell)
        assert running_zones(cell) == {"z0", "z1"}

    run_scenario(scenario, **TWO_ZONES)


@pytest.mark.parametrize("seed", range(4000, 4010))
def test_no_work_starts_in_a_drained_zone_under_random_faults(seed):
    outcome = run_virtual(FaultScenario(seed, NEARBY_FAULTS).run())
    assert outcome.passed, f"seed {seed}: {outcome}"


def test_placing_work_in_drained_zones_is_caught(monkeypatch):
    monkeypatch.setattr(DrainedZones, "__contains__", lambda self, zone: False)
    assert _fails_with_a_drained_zone()


def test_losing_drains_at_a_change_of_lead_is_caught(monkeypatch):
    """A lead that forgot the drained zones would use them."""
    monkeypatch.setattr(DrainedZones, "replace", lambda self, drains, end: False)

    async def scenario():
        cell = ModelCell(**TWO_ZONES)
        await cell.begin()
        cell.drain_zone("z1")
        await pause(6.0)
        for name in list(cell.instances):
            cell.kill(name)
            await cell.restart(name)
        await cell.until(lambda: cell.lead() is not None, 10.0)
        await submit_and_settle(cell)
        return cell.checks.violations

    assert run_virtual(scenario())


def test_repeating_starts_without_end_in_a_drained_zone_is_caught(monkeypatch):
    monkeypatch.setattr("firhook.services._order_sender._START_RETRY_LIMIT_S", 20.0)
    monkeypatch.setattr(OrderSender, "_is_drained", lambda self, run: False)

    async def scenario():
        cell = ModelCell(**TWO_ZONES)
        await cell.begin()
        await start_unanswered_work_in_zone(cell, "z1")
        return {violation.what for violation in cell.checks.violations}

    assert run_virtual(scenario()) == {"drained_zone"}


def _fails_with_a_drained_zone():
    """Return whether work that arrives long after a drain violates an invariant."""

    async def scenario():
        cell = ModelCell(**TWO_ZONES)
        await cell.begin()
        cell.drain_zone("z1")
        await pause(6.0)
        await submit_and_settle(cell)
        return {violation.what for violation in cell.checks.violations}

    return run_virtual(scenario()) == {"drained_zone"}
