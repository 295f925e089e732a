"""Consequences of ended attempts."""

from firhook.decide._endings import CLOSE_AFTER_S
from tests.decide.zone_simulation import ZoneSimulation, fleet


def test_attempts_of_an_ended_job_are_closed_after_their_time():
    """Attempts of an ended job are removed from the zone's state after five minutes.

    If the decision fails instead, the lead's round fails with it, and the zone's
    state keeps growing.
    """
    sim = ZoneSimulation(fleet(1), {"a": {}})
    key = sim.submit("one", "a", cpus=1.0, run_s=1.0)
    sim.run(5)
    endings = sim.scheduler.endings
    assert endings.closable_jobs(sim.now) == ()
    assert endings.closable_jobs(sim.now + CLOSE_AFTER_S) == (key,)


def test_notes_on_why_a_closed_job_waited_are_removed():
    """They belong to the scheduler and would pile up with every job that waited."""
    sim = ZoneSimulation(fleet(1), {"a": {}})
    keys = [sim.submit(f"j{i}", "a", cpus=3.0, run_s=2.0) for i in range(40)]
    sim.run(120)
    assert sim.scheduler._last_notes.keys() & set(keys)
    endings = sim.scheduler.endings
    assert endings.closable_jobs(sim.now) == ()
    assert set(endings.closable_jobs(sim.now + CLOSE_AFTER_S)) == set(keys)
    assert not sim.scheduler._last_notes
