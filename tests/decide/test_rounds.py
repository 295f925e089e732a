"""Scheduling rounds of a lead, tested by the outcome of the jobs."""

import random

import pytest

from firhook.decide.fair_share import GANG_RESERVE_AFTER_S
from tests.decide.zone_simulation import ZoneSimulation, fleet

TEAMS = {"a": {}, "b": {}}


def test_a_small_teams_job_never_waits_behind_a_large_ones_thousand():
    """A large team submits a thousand tasks, a small team one.

    In order of arrival the small team would wait for hours.
    """
    sim = ZoneSimulation(fleet(4), TEAMS)
    sim.submit("bulk", "a", tasks=1000, cpus=4.0, run_s=60.0)
    sim.run(5)
    sim.submit("one", "b", cpus=4.0, run_s=60.0)
    sim.run(62)
    assert sim.running("b/one")


def test_teams_come_near_their_share_when_the_zone_is_full():
    shares = {"a": 1, "b": 2, "c": 5}
    sim = ZoneSimulation(fleet(8), {t: {"share": str(s)} for t, s in shares.items()})
    for team in shares:
        sim.submit("bulk", team, tasks=2000, cpus=1.0, memory_mb=1024, run_s=7.0)
    sim.run(30)
    by_team = sim.check()
    total = sum(by_team.values())
    assert total == 8 * 32
    for team, share in shares.items():
        due = total * share / 8
        assert abs(by_team[team] - due) / due < 0.05


@pytest.mark.parametrize("seed", range(5))
def test_nothing_is_ever_above_a_worker_or_a_limit(seed):
    """Jobs of every size arrive, fail and are cancelled on a full zone."""
    rng = random.Random(seed)
    limits = {"a": 20, "b": 9}
    teams = {t: {"limit": str(n)} for t, n in limits.items()}
    sim = ZoneSimulation(fleet(6, accelerators=1), teams)
    sim.fails = lambda worker, ref: rng.random() < 0.1
    keys = []
    for step in range(60):
        team = rng.choice("ab")
        key = sim.submit(
            f"j{step}",
            team,
            tasks=rng.randint(1, 8),
            cpus=rng.choice([0.5, 3.0, 11.0]),
            memory_mb=rng.choice([256, 9000, 30000]),
            accelerators=rng.choice([0, 0, 1]),
            gang=rng.random() < 0.3,
            priority=rng.choice(["batch", "batch", "urgent", "service"]),
            run_s=rng.choice([2.0, 9.0]),
        )
        keys.append(key)
        if rng.random() < 0.2:
            sim.cancel(rng.choice(keys))
        sim.round()
        by_team = sim.check()
        assert all(n <= limits[t] for t, n in by_team.items())
        sim.now += 1.0


def test_urgent_work_starts_at_once_on_a_full_zone():
    """Urgent charges arrive while batch tasks fill every worker.

    Batch tasks are preempted after a checkpoint, lose no work and end later.
    """
    sim = ZoneSimulation(fleet(4), TEAMS)
    bulk = sim.submit("bulk", "a", tasks=32, cpus=4.0, run_s=40.0)
    sim.run(10)
    key = sim.submit("charge", "b", tasks=3, cpus=4.0, run_s=5.0, priority="urgent")
    sim.run(2)
    assert len(sim.running(key)) == 3
    sim.run(60)
    assert sim.outcome(key) == sim.outcome(bulk) == "done"
    ran = [e for e in sim.ended if e.outcome == "preempted"]
    assert len(ran) == 3
    assert all(e.progress > 0.2 for e in ran)


def test_urgent_work_takes_from_teams_over_their_share_first():
    teams = {"a": {}, "b": {}, "c": {}}
    sim = ZoneSimulation(fleet(4), teams)
    sim.submit("small", "b", tasks=4, cpus=4.0, run_s=90.0)
    sim.run(2)
    sim.submit("bulk", "a", tasks=28, cpus=4.0, run_s=90.0)
    sim.run(5)
    sim.submit("charge", "c", tasks=4, cpus=4.0, run_s=5.0, priority="urgent")
    sim.run(3)
    assert len(sim.running("b/small")) == 4
    assert len(sim.running("a/bulk")) == 24


def test_a_gang_starts_completely_or_not_at_all():
    sim = ZoneSimulation(fleet(2), TEAMS)
    sim.submit("bulk", "a", cpus=20.0, run_s=30.0)
    sim.submit("gang", "b", tasks=2, cpus=20.0, run_s=5.0, gang=True)
    sim.run(10)
    assert sim.running("b/gang") == {}
    sim.run(40)
    assert sim.outcome("b/gang") == "done"


def test_a_steady_flow_of_small_tasks_cannot_starve_a_gang():
    """Small tasks take each processor as soon as it is free.

    Without reserved workers the gang would never find enough free resources.
    """
    sim = ZoneSimulation(fleet(4), TEAMS)
    for second in range(400):
        sim.submit(f"s{second}", "a", tasks=30, cpus=1.0, run_s=8.0)
        if second == 20:
            sim.submit("gang", "b", tasks=4, cpus=30.0, run_s=5.0, gang=True)
        sim.round()
        sim.check()
        sim.now += 1.0
        if sim.running("b/gang"):
            break
    assert len(sim.running("b/gang")) == 4
    assert sim.now < 20 + GANG_RESERVE_AFTER_S + 30


def test_a_gang_that_lost_a_task_restarts_completely():
    """One task of a gang fails, so the work of the others is useless."""
    sim = ZoneSimulation(fleet(2), TEAMS)
    sim.fails = lambda worker, ref: ref == ("a/gang", 1, 1)
    sim.submit("gang", tasks=4, cpus=8.0, run_s=20.0, gang=True)
    sim.run(3)
    assert {ref[2] for w in sim.runs.values() for ref in w} == {1, 2}
    sim.run(30)
    assert sim.outcome("a/gang") == "done"


def test_a_faulty_worker_is_quarantined_and_released():
    """A worker fails everything at once and so always has free capacity.

    Without a quarantine it would fail the work of the whole zone.
    """
    sim = ZoneSimulation(fleet(3), TEAMS)
    faulty = {"w000"}
    sim.fails = lambda worker, ref: worker in faulty
    for i in range(12):
        sim.submit(f"j{i}", "a", tasks=6, cpus=1.0, run_s=20.0)
    sim.run(20)
    assert list(sim.zone.marks) == ["w000"]
    sim.run(60)
    assert all(sim.outcome(f"a/j{i}") == "done" for i in range(12))
    faulty.clear()
    sim.submit("more", "a", tasks=400, cpus=1.0, run_s=20.0)
    sim.run(700)
    assert sim.zone.marks == {}


def test_a_quarantined_worker_with_a_service_is_probed():
    """A service that the worker had before never ends, and kept it quarantined."""
    sim = ZoneSimulation(fleet(3), TEAMS)
    sim.submit("portal", "b", tasks=3, cpus=1.0, priority="service")
    sim.run(3)
    faulty = {"w000"}
    sim.fails = lambda worker, ref: worker in faulty and ref[0] != "b/portal"
    for i in range(12):
        sim.submit(f"j{i}", "a", tasks=6, cpus=1.0, run_s=20.0)
    sim.run(80)
    assert list(sim.zone.marks) == ["w000"]
    assert "w000" in sim.running("b/portal").values()
    faulty.clear()
    sim.submit("more", "a", tasks=400, cpus=1.0, run_s=20.0)
    sim.run(700)
    assert sim.zone.marks == {}


def test_a_poison_job_is_backed_off_and_no_worker_quarantined():
    """Three jobs fail wherever they start."""
    sim = ZoneSimulation(fleet(3), TEAMS)
    poison = {"a/p0", "a/p1", "a/p2"}
    sim.fails = lambda worker, ref: ref[0] in poison
    for key in sorted(poison):
        sim.submit(key[2:], "a", tasks=2, cpus=1.0, run_s=5.0)
    sim.submit("good", "b", tasks=40, cpus=2.0, run_s=20.0)
    sim.run(120)
    assert sim.zone.marks == {}
    assert sim.outcome("b/good") == "done"
    assert all(sim.zone.tasks[k][0].attempt < 12 for k in poison)


def test_replicas_of_a_service_are_spread_over_racks():
    sim = ZoneSimulation(fleet(12, per_rack=3), TEAMS)
    sim.submit("portal", tasks=4, cpus=1.0, priority="service")
    sim.run(2)
    racks = {sim.workers[w].rack for w in sim.running("a/portal").values()}
    assert len(racks) == 4


def test_a_leaving_worker_is_drained_one_replica_at_a_time():
    """The platform removes a worker that holds two of four replicas.

    If both moved together, half of the service would be unavailable.
    """
    sim = ZoneSimulation(fleet(2, per_rack=1), TEAMS)
    sim.submit("portal", tasks=4, cpus=1.0, priority="service")
    sim.run(3)
    sim.drain_worker("w000")
    least = 4
    for _ in range(8):
        sim.round()
        least = min(least, len(sim.running("a/portal")))
        sim.now += 1.0
    assert set(sim.running("a/portal").values()) == {"w001"}
    assert len(sim.running("a/portal")) == 4
    assert least == 3


def test_a_lowered_limit_drains_the_newest_batch_first():
    sim = ZoneSimulation(fleet(2), {"a": {"limit": "20"}})
    sim.submit("portal", tasks=4, cpus=1.0, priority="service")
    sim.submit("old", tasks=6, cpus=1.0, run_s=500.0)
    sim.submit("new", tasks=6, cpus=1.0, run_s=500.0)
    sim.run(3)
    sim.change_limit("a", 7)
    sim.run(3)
    counts = {k: len(sim.running(f"a/{k}")) for k in ("portal", "old", "new")}
    assert counts == {"portal": 4, "old": 3, "new": 0}


def test_work_near_its_deadline_goes_before_other_work():
    sim = ZoneSimulation(fleet(1), TEAMS)
    sim.submit("bulk", "a", tasks=100, cpus=16.0, run_s=600.0)
    sim.run(2)
    sim.submit("filing", "a", cpus=16.0, run_s=600.0, deadline_s=1500.0)
    sim.run(600)
    assert sim.running("a/filing")


def test_an_impossible_job_is_held_with_its_reason_at_once():
    sim = ZoneSimulation(fleet(2), TEAMS)
    sim.submit("huge", cpus=33.0)
    sim.submit("gang", tasks=9, cpus=8.0, gang=True)
    sim.round()
    assert sim.zone.notes["a/huge"] == [
        "held: each task is larger than any worker of the zone"
    ]
    assert sim.zone.notes["a/gang"] == ["held: the zone has room for 8 of its 9 tasks"]


def test_cancelled_work_stops_and_its_resources_are_reused():
    sim = ZoneSimulation(fleet(1), TEAMS)
    keys = [sim.submit(f"j{i}", cpus=1.0, run_s=500.0) for i in range(32)]
    sim.run(2)
    sim.cancel(*keys)
    sim.submit("next", "b", tasks=32, cpus=1.0, run_s=10.0)
    sim.run(3)
    assert len(sim.running("b/next")) == 32
    assert all(sim.outcome(k) == "cancelled" for k in keys)
