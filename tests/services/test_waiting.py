"""What the lead logs about steps that wait and jobs that it does not know."""

from firhook.services._events import CountWaiting
from firhook.services._exposition import render_metrics
from standins.model import pause
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
        assert len(found) == 3 * 9 + 5

    run_scenario(scenario, workers=1)
