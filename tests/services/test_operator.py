"""The age of what operators have written, as instances have read it."""

import math

import pytest

from standins.model import now, pause
from tests.services.scenarios import run_scenario


def write_configurations(cell, versions):
    """Write configurations; return when each was stored, by its version."""
    for version in versions:
        cell.configure(version)
    return dict.fromkeys(versions, now())


async def checked_ages(cell, stored_at, duration_s):
    """Check all the while that no instance dates its configuration too late."""
    end = now() + duration_s
    while now() < end:
        for model_instance in cell.instances.values():
            view = model_instance.instance.config
            missed = [v for v, at in stored_at.items() if at < view.read_at]
            assert view.config.version >= max(missed, default=0)
        await pause(0.0005)


@pytest.mark.parametrize("max_records", [1, 3, 100])
def test_configuration_is_as_old_as_the_last_read_that_reached_the_end(max_records):
    """A withdrawn key was taken for known while newer configurations were unread."""

    async def scenario(cell):
        cell.store.max_read_records = max_records
        stored_at = write_configurations(cell, range(10, 20))
        await checked_ages(cell, stored_at, 2.0)
        for model_instance in cell.instances.values():
            view = model_instance.instance.config
            assert view.config.version == 19
            assert view.read_at > stored_at[19]

    run_scenario(scenario)


def test_configuration_does_not_age_while_operators_write_without_a_pause():
    """Each answer ends before the end of the topic, which grows all the while."""

    async def scenario(cell):
        cell.store.max_read_records = 4
        stored_at, oldest_s = {}, 0.0
        write_configurations(cell, range(10, 40))
        for version in range(40, 240):
            stored_at |= write_configurations(cell, [version])
            await checked_ages(cell, stored_at, 0.01)
            ages = [now() - i.instance.config.read_at for i in cell.instances.values()]
            oldest_s = max(oldest_s, *ages)
        assert oldest_s < 1.5

    run_scenario(scenario)


def test_drain_counts_from_the_last_read_that_reached_the_end():
    """Starts for a drained zone were repeated for too long."""

    async def scenario(cell):
        cell.store.max_read_records = 1
        for version in range(10, 20):
            cell.configure(version)
        cell.drain_zone("z1")
        stored_at = now()
        await pause(2.0)
        for model_instance in cell.instances.values():
            drain = model_instance.instance.config.drained_zones.by_zone["z1"]
            assert math.isfinite(drain.after)
            assert drain.after <= stored_at

    run_scenario(scenario, worker_zones=("z0", "z1"))
