"""The lead's rounds, looked at from what becomes of the jobs."""

import random

import pytest

from firhook.decide.turns import GANG_AGE_S
from tests.decide.shop import Shop, fleet

TEAMS = {"a": {}, "b": {}}


def test_a_small_teams_job_never_waits_behind_a_large_ones_thousand():
    """A large estate submits a thousand tasks; a small grower one.

    Taken in order of arrival, the grower would wait for hours.
    """
    shop = Shop(fleet(4), TEAMS)
    shop.submit("bulk", "a", tasks=1000, cpus=4.0, run_s=60.0)
    shop.run(5)
    shop.submit("one", "b", cpus=4.0, run_s=60.0)
    shop.run(62)
    assert shop.running("b/one")


def test_teams_come_near_their_share_when_the_zone_is_full():
    shares = {"a": 1, "b": 2, "c": 5}
    shop = Shop(fleet(8), {t: {"share": str(s)} for t, s in shares.items()})
    for team in shares:
        shop.submit("bulk", team, tasks=2000, cpus=1.0, memory_mb=1024, run_s=7.0)
    shop.run(30)
    by_team = shop.check()
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
    shop = Shop(fleet(6, accelerators=1), teams)
    shop.breaks = lambda worker, ref: rng.random() < 0.1
    keys = []
    for step in range(60):
        team = rng.choice("ab")
        key = shop.submit(
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
            shop.cancel(rng.choice(keys))
        shop.round()
        by_team = shop.check()
        assert all(n <= limits[t] for t, n in by_team.items())
        shop.now += 1.0


def test_urgent_work_starts_at_once_on_a_full_zone():
    """Renewal charges come while blend planning fills every worker.

    The planning gives way by checkpoint, loses nothing and ends later.
    """
    shop = Shop(fleet(4), TEAMS)
    bulk = shop.submit("bulk", "a", tasks=32, cpus=4.0, run_s=40.0)
    shop.run(10)
    key = shop.submit("charge", "b", tasks=3, cpus=4.0, run_s=5.0, priority="urgent")
    shop.run(2)
    assert len(shop.running(key)) == 3
    shop.run(60)
    assert shop.outcome(key) == shop.outcome(bulk) == "done"
    ran = [e for e in shop.ended if e.outcome == "preempted"]
    assert len(ran) == 3
    assert all(e.progress > 0.2 for e in ran)


def test_urgent_work_takes_from_teams_over_their_share_first():
    teams = {"a": {}, "b": {}, "c": {}}
    shop = Shop(fleet(4), teams)
    shop.submit("small", "b", tasks=4, cpus=4.0, run_s=90.0)
    shop.run(2)
    shop.submit("bulk", "a", tasks=28, cpus=4.0, run_s=90.0)
    shop.run(5)
    shop.submit("charge", "c", tasks=4, cpus=4.0, run_s=5.0, priority="urgent")
    shop.run(3)
    assert len(shop.running("b/small")) == 4
    assert len(shop.running("a/bulk")) == 24


def test_a_gang_starts_whole_or_not_at_all():
    shop = Shop(fleet(2), TEAMS)
    shop.submit("bulk", "a", cpus=20.0, run_s=30.0)
    shop.submit("gang", "b", tasks=2, cpus=20.0, run_s=5.0, gang=True)
    shop.run(10)
    assert shop.running("b/gang") == {}
    shop.run(40)
    assert shop.outcome("b/gang") == "done"


def test_a_steady_flow_of_small_tasks_cannot_starve_a_gang():
    """Small tasks take each processor the moment it is free.

    The gang never finds all of its room at once and waits for good, unless
    workers are set aside for it.
    """
    shop = Shop(fleet(4), TEAMS)
    for second in range(400):
        shop.submit(f"s{second}", "a", tasks=30, cpus=1.0, run_s=8.0)
        if second == 20:
            shop.submit("gang", "b", tasks=4, cpus=30.0, run_s=5.0, gang=True)
        shop.round()
        shop.check()
        shop.now += 1.0
        if shop.running("b/gang"):
            break
    assert len(shop.running("b/gang")) == 4
    assert shop.now < 20 + GANG_AGE_S + 30


def test_a_gang_that_lost_a_task_starts_again_whole():
    """One task of a gang fails; the rest would compute for nobody."""
    shop = Shop(fleet(2), TEAMS)
    shop.breaks = lambda worker, ref: ref == ("a/gang", 1, 1)
    shop.submit("gang", tasks=4, cpus=8.0, run_s=20.0, gang=True)
    shop.run(3)
    assert {ref[2] for w in shop.runs.values() for ref in w} == {1, 2}
    shop.run(30)
    assert shop.outcome("a/gang") == "done"


def test_a_sick_worker_is_quarantined_and_taken_back():
    """A worker fails whatever it starts, at once, and so always has room.

    Left alone it would fail the work of the whole zone.
    """
    shop = Shop(fleet(3), TEAMS)
    sick = {"w000"}
    shop.breaks = lambda worker, ref: worker in sick
    for i in range(12):
        shop.submit(f"j{i}", "a", tasks=6, cpus=1.0, run_s=20.0)
    shop.run(20)
    assert list(shop.zone.marks) == ["w000"]
    shop.run(60)
    assert all(shop.outcome(f"a/j{i}") == "done" for i in range(12))
    sick.clear()
    shop.submit("more", "a", tasks=400, cpus=1.0, run_s=20.0)
    shop.run(700)
    assert shop.zone.marks == {}


def test_a_poison_job_is_backed_off_and_no_worker_blamed():
    """Three jobs fail wherever they start."""
    shop = Shop(fleet(3), TEAMS)
    poison = {"a/p0", "a/p1", "a/p2"}
    shop.breaks = lambda worker, ref: ref[0] in poison
    for key in sorted(poison):
        shop.submit(key[2:], "a", tasks=2, cpus=1.0, run_s=5.0)
    shop.submit("good", "b", tasks=40, cpus=2.0, run_s=20.0)
    shop.run(120)
    assert shop.zone.marks == {}
    assert shop.outcome("b/good") == "done"
    assert all(shop.zone.tasks[k][0].attempt < 12 for k in poison)


def test_replicas_of_a_service_are_spread_over_racks():
    shop = Shop(fleet(12, per_rack=3), TEAMS)
    shop.submit("portal", tasks=4, cpus=1.0, priority="service")
    shop.run(2)
    racks = {shop.workers[w].rack for w in shop.running("a/portal").values()}
    assert len(racks) == 4


def test_a_leaving_worker_is_drained_one_replica_at_a_time():
    """The platform takes a worker away that holds two replicas of a service.

    Moved together, half of the service would be away at once.
    """
    shop = Shop(fleet(2, per_rack=1), TEAMS)
    shop.submit("portal", tasks=4, cpus=1.0, priority="service")
    shop.run(3)
    shop.leave("w000")
    least = 4
    for _ in range(8):
        shop.round()
        least = min(least, len(shop.running("a/portal")))
        shop.now += 1.0
    assert set(shop.running("a/portal").values()) == {"w001"}
    assert len(shop.running("a/portal")) == 4
    assert least == 3


def test_a_lowered_limit_drains_the_newest_batch_first():
    shop = Shop(fleet(2), {"a": {"limit": "20"}})
    shop.submit("portal", tasks=4, cpus=1.0, priority="service")
    shop.submit("old", tasks=6, cpus=1.0, run_s=500.0)
    shop.submit("new", tasks=6, cpus=1.0, run_s=500.0)
    shop.run(3)
    shop.change_limit("a", 7)
    shop.run(3)
    counts = {k: len(shop.running(f"a/{k}")) for k in ("portal", "old", "new")}
    assert counts == {"portal": 4, "old": 3, "new": 0}


def test_work_near_its_deadline_goes_before_other_work():
    shop = Shop(fleet(1), TEAMS)
    shop.submit("bulk", "a", tasks=100, cpus=16.0, run_s=600.0)
    shop.run(2)
    shop.submit("filing", "a", cpus=16.0, run_s=600.0, deadline_s=1500.0)
    shop.run(600)
    assert shop.running("a/filing")


def test_an_impossible_job_is_held_with_its_reason_at_once():
    shop = Shop(fleet(2), TEAMS)
    shop.submit("huge", cpus=33.0)
    shop.submit("gang", tasks=9, cpus=8.0, gang=True)
    shop.round()
    assert shop.zone.notes["a/huge"] == [
        "held: each task is larger than any worker of the zone"
    ]
    assert shop.zone.notes["a/gang"] == ["held: the zone has room for 8 of its 9 tasks"]


def test_cancelled_work_stops_and_its_room_is_used():
    shop = Shop(fleet(1), TEAMS)
    keys = [shop.submit(f"j{i}", cpus=1.0, run_s=500.0) for i in range(32)]
    shop.run(2)
    shop.cancel(*keys)
    shop.submit("next", "b", tasks=32, cpus=1.0, run_s=10.0)
    shop.run(3)
    assert len(shop.running("b/next")) == 32
    assert all(shop.outcome(k) == "cancelled" for k in keys)
