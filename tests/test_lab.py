"""The lab: days by seed, what callers get, and the bound on it."""

import importlib
import json

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench import lab
from bench._lab import (
    CALM,
    POLICIES,
    TROUBLE,
    Ablation,
    CellPolicy,
    Day,
    Fate,
    Job,
    Outcome,
    Scenario,
    compare,
    make_day,
    markdown,
    most_in_time,
)
from bench._lab._cell import play_day
from bench._lab._load import CLASSES, Spread, Step, Task, Window
from firhook._instance import load_services
from firhook.decide.schedule import RoundResult

#: Some seconds of all that the lab can do to a cell, on three workers a zone.
SMALL = attrs.evolve(
    TROUBLE,
    seconds=5.0,
    workers=9,
    instances=3,
    load=0.4,
    step_cpu_m=30_000,
    jitter_s=0.3,
    bursts=(Window("urgent", 1.0, 1.5, 5.0), Window("a", 1.0, 2.0, 4.0)),
    faults=(
        Window("slow", 0.5, 3.0, 0.1),
        Window("cut", 1.0, 2.0, 0.1),
        Window("mute", 1.5, 2.0, 0.1),
        Window("zone", 2.5, 3.5),
    ),
)
SEEDS = (1, 2)
#: A class that all workers may run, whose objective is its work and one second more.
PLAIN = attrs.evolve(
    CLASSES[0],
    advice_s=0.0,
    advice_worker_s=0.0,
    good=1.0,
    slack_factor=1.0,
    target_s=1.0,
)


class Nothing(CellPolicy):
    """Starts nothing."""

    def decisions(self):
        return {"place": lambda book, workers, tickets, now: RoundResult()}


@pytest.fixture(scope="module")
def played():
    return compare(SMALL, ("present", "first_come", "oracle"), SEEDS)


def share(rows, policy, kind="all", name="all", field="in_time"):
    found = [r for r in rows if (r.policy, r.kind, r.name) == (policy, kind, name)]
    return found[0].fields[field].mean


def test_same_seeds_give_the_same_table(played):
    """Faults and jobs are drawn from the seed, and nothing else is random."""
    again = compare(SMALL, ("present", "first_come", "oracle"), SEEDS)
    assert markdown(again) == markdown(played)


def test_days_of_two_seeds_differ():
    assert make_day(SMALL, 1).jobs != make_day(SMALL, 2).jobs


def test_policy_that_starts_nothing_serves_nothing():
    figures = Nothing().figures(make_day(SMALL, 1))[("all", "all")]
    assert figures.shares[Fate.IN_TIME] == figures.shares[Fate.LATE] == 0
    assert figures.shares[Fate.IN_VAIN] > 0.5
    assert sum(figures.shares.values()) == pytest.approx(1)


def test_oracle_is_below_no_policy_in_any_group(played):
    bounds = {(r.kind, r.name): r for r in played if r.policy == "oracle"}
    for row in played:
        bound = bounds[row.kind, row.name].fields["in_time"].values
        got = row.fields["in_time"].values
        assert all(b >= g - 1e-9 for b, g in zip(bound, got, strict=True)), row


def test_gain_is_against_the_first_policy_on_the_same_day(played):
    for row in played:
        if row.policy == "present":
            assert row.fields["gain"] is None
            continue
        first = next(
            r
            for r in played
            if (r.policy, r.kind, r.name) == ("present", row.kind, row.name)
        )
        pairs = zip(
            row.fields["in_time"].values, first.fields["in_time"].values, strict=True
        )
        assert row.fields["gain"].values == tuple(a - b for a, b in pairs)


def test_ablation_changes_what_it_names_and_only_while_it_plays(monkeypatch):
    """A constant that was renamed would leave its part in place, unnoticed."""
    ablations = [p for p in POLICIES.values() if issubclass(p, Ablation)]
    names = {name for p in ablations for name in p.constants}
    usual = {name: constant(name) for name in names}
    seen = {}

    def play(policy, day):
        seen.update({name: constant(name) for name in policy.constants})
        return {}

    monkeypatch.setattr(CellPolicy, "figures", play)
    for policy in ablations:
        policy().figures(make_day(SMALL, 1))
        assert seen.items() >= policy.constants.items()
    assert all(seen[name] != usual[name] for name in names)
    assert {name: constant(name) for name in names} == usual


def constant(name):
    module, _, attr = f"firhook.{name}".rpartition(".")
    return getattr(importlib.import_module(module), attr)


def test_every_job_has_one_fate(played):
    for row in played:
        if row.policy != "oracle":
            shares = [row.fields[fate.value].mean for fate in Fate]
            assert sum(shares) == pytest.approx(1)


@pytest.mark.parametrize("seed", SEEDS)
def test_only_callers_of_the_zone_that_is_cut_off_are_refused(seed):
    """They reach instances that reach nothing; the others are served meanwhile."""
    cut = attrs.evolve(SMALL, bursts=(), faults=(Window("zone", 1.0, 4.0),))
    zone = make_day(cut, seed).faults[0].names[0]
    rows = compare(cut, ("present",), (seed,))
    assert share(rows, "present", "zone", zone, "refused") > 0.1
    for other in {r.name for r in rows if r.kind == "zone"} - {zone}:
        assert share(rows, "present", "zone", other, "refused") == 0
        assert share(rows, "present", "zone", other) > 1.5 * share(
            rows, "present", "zone", zone
        )


def test_slow_workers_make_work_late():
    slow = attrs.evolve(SMALL, bursts=(), faults=(Window("slow", 0.0, 5.0, 0.5),))
    calm = attrs.evolve(slow, faults=())
    assert share(compare(calm, ("present",), (1,)), "present") > share(
        compare(slow, ("present",), (1,)), "present"
    )


def test_burst_of_an_account_is_its_own():
    """One account sends four times its usual for two seconds; the others do not."""
    usual = make_day(attrs.evolve(CALM, seconds=20.0), 1)
    burst = (Window("a", 0.0, 20.0, 4.0),)
    hot = make_day(attrs.evolve(CALM, seconds=20.0, bursts=burst), 1)

    def count(day, account):
        return sum(job.account == account for job in day.jobs)

    assert 3 < count(hot, "a") / count(usual, "a") < 5
    assert count(hot, "b") == count(usual, "b")


def test_fate_follows_from_when_the_caller_was_served():
    job = make_day(SMALL, 1).jobs[0]
    after = {
        Fate.IN_TIME: Outcome(job, True, done_at=job.due),
        Fate.LATE: Outcome(job, True, done_at=job.given_up_at),
        Fate.IN_VAIN: Outcome(job, True, done_at=job.given_up_at + 0.01),
        Fate.REFUSED: Outcome(job),
    }
    assert {fate: outcome.fate for fate, outcome in after.items()} == {
        fate: fate for fate in after
    }


def test_gang_is_as_slow_as_its_slowest_member():
    """Ended by its first member, a gang would take less than the bound allows for."""
    scenario = attrs.evolve(CALM, workers=2, instances=1, classes=(PLAIN,))
    tasks = (Task(1.0), Task(1.0))
    step = Step(tasks, scenario.cpu_m, 100, 1.0, gang=True, saves=False)
    job = Job(f"{1:016x}", 0.5, PLAIN, "a", "z0", (step,))
    day = Day(1, scenario, (job,), (), {"w0": 1.25, "w1": 0.8})
    figures = POLICIES["present"]().figures(day)[("all", "all")]
    assert figures.shares[Fate.IN_TIME] == 1
    begun_s, done_s = figures.p99_s, played_s(day)
    assert done_s - begun_s == pytest.approx(1.25, abs=0.1)


def played_s(day):
    return max(o.done_at - o.job.at for o in play_day(day, load_services()["lead"]))


# The bound.


def one_core(*jobs):
    """Return a day on one worker of one processor: when each comes, and its work."""
    scenario = Scenario(workers=1, cpu_m=1000, speeds=(1.0,), classes=(PLAIN,))
    made = tuple(
        Job(f"{i:016x}", at, PLAIN, "a", "z0", (one_step(work_s),))
        for i, (at, work_s) in enumerate(jobs)
    )
    return Day(1, scenario, made, (), {"w0": 1.0})


def one_step(work_s):
    return Step((Task(work_s),), 1000, 100, work_s, False, False)


def served_by_deadline(day):
    """Return how many jobs one processor has in time that never idles."""
    left = {job.id: job.work_s for job in day.jobs}
    now, tick = 0.0, 0.025
    while now < day.end:
        open_jobs = [j for j in day.jobs if j.at <= now < j.due and left[j.id] > 0]
        if open_jobs:
            first = min(open_jobs, key=lambda j: j.due)
            left[first.id] -= tick
        now += tick
    return sum(work_s <= 1e-9 for work_s in left.values())


def test_bound_counts_no_more_than_the_cell_has_room_for():
    """Ten seconds of work come at once, each job with two seconds; two are served."""
    day = one_core(*[(0.0, 1.0)] * 10)
    assert 2.0 <= most_in_time(day, day.jobs) < 2.2


def test_bound_takes_jobs_with_the_least_work():
    day = one_core((0.0, 4.0), *[(0.0, 0.1)] * 10)
    assert most_in_time(day, day.jobs) == pytest.approx(11.0)


def test_bound_leaves_out_callers_that_reach_nobody_until_they_give_up():
    day = one_core((1.0, 0.5), (8.0, 0.5))
    cut = attrs.evolve(day, faults=(Window("zone", 0.5, 6.0, names=("z0",)),))
    assert most_in_time(day, day.jobs) == pytest.approx(2.0)
    assert most_in_time(cut, day.jobs) == pytest.approx(1.0)


@given(
    st.lists(
        st.tuples(st.integers(0, 40), st.integers(1, 20)), min_size=1, max_size=8
    ).map(lambda jobs: [(at / 10, work / 10) for at, work in jobs])
)
def test_bound_is_below_no_schedule(jobs):
    day = one_core(*jobs)
    assert served_by_deadline(day) <= most_in_time(day, day.jobs) + 1e-6


@given(st.floats(0.1, 10), st.floats(0.1, 1))
def test_quantities_stay_below_their_most(mean, rel):
    import random

    spread = Spread(mean, rel, 1.5 * mean)
    rng = random.Random(1)
    values = [spread.draw(rng) for _ in range(200)]
    assert 0 < min(values) <= max(values) <= 1.5 * mean


# The command.


def test_command_prints_a_table_and_keeps_each_seed(tmp_path, capsys, monkeypatch):
    monkeypatch.setitem(lab.SCENARIOS, "small", SMALL)
    files = {"--json": tmp_path / "lab.json", "--plot": tmp_path / "lab.svg"}
    args = [str(part) for pair in files.items() for part in pair]
    options = ["--scenario", "small", "--seeds", "2", "--policies", "oracle"]
    assert lab.main([*options, *args]) == 0
    assert "| all | oracle |" in capsys.readouterr().out
    found = json.loads(files["--json"].read_text())
    assert found["seeds"] == [1, 2]
    assert len(found["rows"][0]["fields"]["in_time"]["values"]) == 2
    assert files["--plot"].read_text().startswith("<?xml")


@pytest.mark.parametrize("wrong", [["--policies", "no"], ["--scenario", "no"]])
def test_command_names_what_there_is_when_something_is_unknown(wrong, capsys):
    assert lab.main(wrong) == 2
    said = capsys.readouterr().err
    assert all(name in said for name in POLICIES)
