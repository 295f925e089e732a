"""What the lead tells about steps that wait and jobs that it does not know."""

import msgspec

from firhook.cell import JobStatus
from firhook.cell.records import STATE_PREFIX, state_version
from firhook.platform.store import CELL_TOPIC
from firhook.services._events import CountWaiting, DescribeWaiting
from firhook.services._exposition import render_metrics
from firhook.services._waiting_queries import MAX_STEPS
from standins.model import now, pause
from tests.services.scenarios import run_scenario, step


def events(caplog, name):
    return [record for record in caplog.records if record.message == name]


def test_lead_logs_each_step_that_waits_longer_than_its_reason_explains(caplog):
    """The log must name a step that waits far beyond its job's objective."""

    async def scenario(cell):
        for _ in range(8):
            await cell.submit([step(1, 9000)])
        await pause(60.0)

    with caplog.at_level("INFO", logger="firhook.events"):
        run_scenario(scenario, workers=1)
    overdue = events(caplog, "step.overdue")
    assert {record.why for record in overdue} == {"no_room"}
    assert len({record.step for record in overdue}) == 8
    assert all(record.levelname == "WARNING" for record in overdue)
    assert len(overdue) <= 8 * 3


def test_lead_logs_an_accepted_job_that_its_job_table_lacks(caplog):
    """The log must name a job that a term skipped, or it waits unseen."""

    async def scenario(cell):
        await cell.submit([step(1, 9000)], job_id="0" * 16)
        await pause(2.0)
        table = cell.lead().lead.term.job_table
        table.open_steps.clear()
        table.jobs.clear()
        await pause(30.0)

    with caplog.at_level("INFO", logger="firhook.events"):
        run_scenario(scenario, workers=1)
    logged = events(caplog, "jobs.unknown")
    assert 2 <= len(logged) <= 4
    for record in logged:
        assert record.reasons == {"end_not_stored": 1}
        assert [job["job"] for job in record.jobs] == ["0" * 16]


def test_cell_without_faults_logs_neither_overdue_steps_nor_unknown_jobs(caplog):
    async def scenario(cell):
        for _ in range(20):
            await cell.submit([step(4, 2000)])
            await pause(0.2)
        await cell.all_done(30.0)
        await pause(5.0)

    with caplog.at_level("INFO", logger="firhook.events"):
        run_scenario(scenario, workers=4)
    assert events(caplog, "step.overdue") == []
    assert events(caplog, "jobs.unknown") == []


async def scrape(instance):
    """Return the metrics about waiting steps and unknown jobs of an instance."""
    waiting = await instance.bus.ask(CountWaiting())
    lines = render_metrics(instance, 0.0, waiting).decode().splitlines()
    samples = (line.rpartition(" ") for line in lines)
    return {
        name: float(value)
        for name, _, value in samples
        if name.startswith(("firhook_waiting", "firhook_jobs_unknown"))
    }


def test_only_the_lead_exposes_what_waits():
    async def scenario(cell):
        for _ in range(8):
            await cell.submit([step(1, 9000)])
        await pause(60.0)
        lead = cell.lead()
        for other in cell.instances.values():
            if other is not lead:
                assert await scrape(other.instance) == {}
        found = await scrape(lead.instance)
        assert found['firhook_waiting_steps{reason="no_room"}'] == 8
        assert found['firhook_waiting_steps{reason="no_worker"}'] == 0
        assert found['firhook_waiting_overdue_steps{reason="no_room"}'] == 8
        assert 60 <= found['firhook_waiting_longest_seconds{reason="no_room"}'] < 62
        assert sum(v for n, v in found.items() if "jobs_unknown" in n) == 0
        assert len(found) == 3 * 10 + 5

    run_scenario(scenario, workers=1)


def followers(cell):
    lead = cell.lead()
    return [i for i in cell.instances.values() if i.alive and i is not lead]


async def describe(model_instance, limit=20, job_id=""):
    """Return an instance's answer as a client decodes it."""
    query = DescribeWaiting(limit, job_id)
    answer = await model_instance.instance.bus.ask(query)
    return msgspec.json.decode(msgspec.json.encode(answer))


def test_any_instance_reports_what_waits_at_the_lead():
    async def scenario(cell):
        for _ in range(8):
            await cell.submit([step(1, 9000)])
        await pause(5.0)
        own = await describe(cell.lead())
        asked = await describe(followers(cell)[0])
        assert own["instance"] == own["lead"]["name"] == cell.lead_name()
        assert asked["instance"] != cell.lead_name()
        for answer in (own, asked):
            assert answer["error"] == ""
            assert answer["lead"]["name"] == cell.lead_name()
            assert answer["lead"]["address"]
            report = answer["report"]
            assert (report["epoch"], report["taken_over"]) == (1, True)
            assert report["reasons"]["no_room"]["steps"] == 8
            assert len(report["steps"]) == 8
            assert (report["workers_answering"], report["workers_usable"]) == (1, 1)
            assert report["unknown_jobs"]["count"] == 0

    run_scenario(scenario, workers=1)


def test_instance_names_itself_as_the_lead_from_its_claim_on():
    """It has not read its own claim yet, and named its predecessor or nobody."""

    async def scenario(cell):
        others = followers(cell)
        cell.kill(cell.lead_name())
        killed_at = now()
        while not (leads := [i for i in others if i.lead.term]):
            assert now() < killed_at + 5.0
            await pause(0.0001)
        (successor,) = leads
        answer = await describe(successor)
        assert answer["lead"]["name"] == answer["instance"]
        assert answer["lead"]["epoch"] == answer["report"]["epoch"]
        await successor.lead.drain()
        answer = await describe(successor)
        assert answer["error"] == "no lead is reachable"
        assert answer["lead"]["name"] == answer["instance"]

    run_scenario(scenario, workers=1)


def test_size_of_a_report_is_bounded():
    async def scenario(cell):
        for _ in range(MAX_STEPS + 30):
            await cell.submit([step(1, 9000)])
        await pause(5.0)
        for answer in (
            await describe(cell.lead(), limit=10**6),
            await describe(followers(cell)[0], limit=10**6),
        ):
            assert len(answer["report"]["steps"]) == MAX_STEPS
            assert len(msgspec.json.encode(answer)) < 1000 * MAX_STEPS
        assert len((await describe(cell.lead(), limit=0))["report"]["steps"]) == 1

    run_scenario(scenario, workers=1)


def test_report_names_the_last_lead_if_none_is_reachable():
    async def scenario(cell):
        name = cell.lead_name()
        other = followers(cell)[0]
        cell.kill(name)
        await pause(0.05)
        answer = await describe(other)
        assert answer["lead"]["name"] == name
        assert answer["report"] is None
        assert answer["error"]
        await cell.until(lambda: cell.lead() is not None, 10.0)
        await pause(2.0)
        assert (await describe(other))["report"]["epoch"] > 1

    run_scenario(scenario)


def test_report_of_a_job_tells_what_each_of_its_steps_waits_for():
    async def scenario(cell):
        chain = [step(2, 1000), step(2, 9000, after=[0]), step(1, 1000, after=[1])]
        job_id, _ = await cell.submit(chain, work_s=5.0)
        await pause(3.0)
        first = (await describe(followers(cell)[0], job_id=job_id))["report"]["job"]
        assert [s["phase"] for s in first["steps"]] == ["running", "blocked", "blocked"]
        assert [s["after"] for s in first["steps"]] == [[], [0], [1]]
        assert {r["phase"] for r in first["steps"][0]["runs"]} == {"running"}
        await pause(6.0)
        answer = await describe(cell.lead(), job_id=job_id)
        assert answer["job"]["accepted"]
        waiting, blocked, done = answer["report"]["job"]["steps"]
        phases = [s["phase"] for s in (waiting, blocked, done)]
        assert phases == ["waiting", "blocked", "done"]
        assert waiting["waiting"]["why"] == "no_room"
        assert waiting["waiting"]["waiting"] == 2
        await cell.cancel(job_id)

    run_scenario(scenario, workers=1)


def test_report_of_a_job_tells_whether_it_is_unknown_or_ended_or_skipped():
    async def scenario(cell):
        ended, _ = await cell.submit([step(1, 1000)])
        skipped, _ = await cell.submit([step(1, 9000)])
        await pause(4.0)
        table = cell.lead().lead.term.job_table
        table.open_steps.clear()
        del table.jobs[skipped]
        other = followers(cell)[0]
        answer = await describe(other, job_id="f" * 16)
        assert not answer["job"]["accepted"]
        assert not answer["report"]["job"]["replica"]["accepted"]
        answer = await describe(other, job_id=ended)
        assert answer["report"]["job"]["replica"]["ended"]
        answer = await describe(other, job_id=skipped)
        assert not answer["report"]["job"]["known"]
        assert answer["report"]["job"]["unknown"]["why"] == "end_not_stored"

    run_scenario(scenario, workers=1)


def test_job_that_a_takeover_skipped_is_reported_as_unknown_to_the_lead(caplog):
    """A job whose state cannot be decoded is skipped for the whole term."""

    async def scenario(cell):
        job_id, _ = await cell.submit([step(1, 9000)])
        await pause(1.0)
        state = [int(JobStatus.RUNNING), 0.0, [["w0"]], [], 0, state_version(9, 0)]
        cell.store.put(CELL_TOPIC, STATE_PREFIX + job_id, msgspec.msgpack.encode(state))
        cell.kill(cell.lead_name())
        await cell.until(lambda: cell.lead() is not None, 10.0)
        await pause(8.0)
        answer = await describe(followers(cell)[0], job_id=job_id)
        unknown = answer["report"]["unknown_jobs"]
        assert (unknown["count"], unknown["reasons"]) == (1, {"malformed": 1})
        assert unknown["jobs"][0]["job"] == job_id
        assert answer["report"]["job"]["unknown"]["why"] == "malformed"
        found = await scrape(cell.lead().instance)
        assert found['firhook_jobs_unknown{reason="malformed"}'] == 1

    with caplog.at_level("INFO", logger="firhook.events"):
        run_scenario(scenario, workers=1)
    assert events(caplog, "jobs.unknown")
