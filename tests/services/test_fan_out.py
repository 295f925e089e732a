"""Fan-out of records from the lead to the other instances, over the model."""

from collections import Counter

from firhook.cell.records import JOB_PREFIX
from standins.model import ModelCell, now, pause, run_virtual
from tests.services.scenarios import step

ZONES = ("z0", "z1", "z2")
HEARTBEAT = "LeadAlive"


async def _zoned_cell(per_zone, **options):
    """Return a started cell with ``per_zone`` instances in each of three zones."""
    zones = {f"i{n}": ZONES[n % 3] for n in range(3 * per_zone)}
    cell = ModelCell(instances=3 * per_zone, zones=zones, **options)
    await cell.begin()
    return cell


def _push_bytes(cell, at):
    """Return the bytes of pushes per sender (``at`` 0) or per receiver (``at`` 1)."""
    sent = Counter()
    for names, size in cell.sent_bytes.items():
        if names[2] in ("DigestPush", "RecordsPush"):
            sent[names[at]] += size
    return sent


def test_messages_of_the_lead_do_not_queue_behind_states_of_wide_jobs():
    """The state of a job grows with its tasks and is written as each of them ends.

    Sent in full to all instances, states saturate the link of the lead.  Heartbeats,
    orders and queries to the adviser queue behind them, and the lead is deposed.
    """

    async def scenario():
        cell = await _zoned_cell(6, workers=24)
        cell.drop_share = 0.0
        lead = cell.lead_name()
        # Workers of different speed spread the ends of tasks.
        for number, worker in enumerate(cell.workers.values()):
            worker.slow = 0.6 + 0.05 * number
        cell.link_bytes_s = dict.fromkeys(cell.instances, 120_000.0)
        for _ in range(8):
            await cell.submit([step(60, cpu_m=2000)], work_s=0.7)
            await pause(0.3)
        await cell.all_done(40.0)
        # Only records that the lead gathers for one batch may wait.
        assert cell.longest_wait_s[lead] < 0.1
        assert cell.lead_name() == lead
        assert cell.instances[lead].lead.term.fence == 1
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_records_reach_zones_through_one_instance_each():
    async def scenario():
        cell = await _zoned_cell(5, workers=6)
        cell.drop_share = 0.0
        lead = cell.lead_name()
        cell.sent_bytes.clear()
        job, _ = await cell.submit([step(4)], work_s=0.5)
        await cell.all_done(10.0)
        await pause(0.2)
        sent = _push_bytes(cell, 0)
        accepted_by = 1
        assert len(sent) <= 1 + len(ZONES) + accepted_by
        assert sent[lead] < sum(sent.values()) / 2
        for found in cell.instances.values():
            assert await cell.status(job, found) == "completed"

    run_virtual(scenario())


def test_zone_gets_records_although_its_relay_is_gone():
    """The instance that relays records dies and is still registered."""

    async def scenario():
        cell = await _zoned_cell(5, workers=6)
        cell.drop_share = 0.0
        lead = cell.lead_name()
        job, _ = await cell.submit([step(2)], work_s=0.2)
        await cell.all_done(10.0)
        await pause(0.1)
        relays = {n for n, _, kind in cell.sent_bytes if kind == "DigestPush"} - {lead}
        assert len(relays) == len(ZONES)
        for name in relays:
            cell.kill(name)
        job, _ = await cell.submit([step(2)], work_s=0.2)
        await cell.until(lambda: cell.ended(job), 10.0)
        # The lead detects the dead relay; the records it lost are read from the store.
        await pause(0.6)
        alive = [i for i in cell.instances.values() if i.alive]
        assert {await cell.status(job, i) for i in alive} == {"completed"}
        assert cell.lead_name() == lead

    run_virtual(scenario())


def test_instance_with_digests_takes_over_all_runs_when_it_leads():
    """Lead and standbys die at once, and an instance that holds only digests leads.

    Leading on digests, it would start tasks in addition to the running ones, or none.
    """

    async def scenario():
        cell = await _zoned_cell(3, workers=12)
        cell.drop_share = 0.0
        plan = [step(12), step(4, after=[0])]
        jobs = [(await cell.submit(plan, work_s=2.0))[0] for _ in range(3)]
        await pause(1.0)
        lead = cell.lead_name()
        standbys = [
            n
            for n, found in cell.instances.items()
            if n != lead and not found.instance.replica.jobs[jobs[0]].accepted.is_digest
        ]
        assert len(standbys) < len(cell.instances) - 1
        for name in [lead, *standbys]:
            cell.kill(name)
        await cell.until(lambda: cell.lead() and cell.lead().lead.term.taken_over, 5.0)
        book = cell.lead().lead.term.job_table
        assert all(book.jobs[job].accepted.spec.steps for job in jobs)
        assert sum(len(runs) for runs in book.worker_runs.values()) > 0
        await cell.all_done(40.0)
        assert cell.checks.violations == []
        kept = {k for p in cell.store.partitions.values() for k in p.newest}
        assert {JOB_PREFIX + job for job in jobs} <= kept

    run_virtual(scenario())


def test_standby_receives_full_records_and_takes_over():
    async def scenario():
        cell = await _zoned_cell(3, workers=6)
        cell.drop_share = 0.0
        job, _ = await cell.submit([step(6)], work_s=3.0)
        await pause(1.0)
        lead = cell.lead_name()
        views = {
            name: found.instance.replica.jobs[job]
            for name, found in cell.instances.items()
            if name != lead
        }
        standbys = [name for name, v in views.items() if not v.accepted.is_digest]
        runs = [
            views[name].state.decode().steps for name in standbys if views[name].state
        ]
        assert len(runs) >= 2
        cell.kill(lead)
        await cell.until(lambda: cell.lead() is not None, 5.0)
        assert cell.lead_name() in standbys
        await cell.all_done(20.0)
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_lead_is_kept_although_the_relays_of_all_zones_are_gone():
    """Instances behind a relay that is gone suspect the lead."""

    async def scenario():
        cell = await _zoned_cell(5, workers=6)
        cell.drop_share = 0.0
        lead = cell.lead_name()
        fence = cell.instances[lead].lead.term.fence
        relays = {n for n, _, kind in cell.sent_bytes if kind == HEARTBEAT} - {lead}
        assert len(relays) == len(ZONES)
        for name in relays:
            cell.kill(name)
        await pause(4.0)
        assert cell.lead_name() == lead
        assert cell.instances[lead].lead.term.fence == fence
        elections = [i.lead._election for n, i in cell.instances.items() if i.alive]
        assert not any(e.lead_unresponsive(now()) for e in elections)

    run_virtual(scenario())


def test_heartbeats_of_the_lead_do_not_grow_with_the_instances():
    """Ten a second to each of 96 instances would be 1000 messages a second."""

    async def scenario(per_zone):
        cell = await _zoned_cell(per_zone, workers=2)
        lead = cell.lead_name()
        cell.sent_bytes.clear()
        await pause(1.0)
        return len(
            [1 for n, _, kind in cell.sent_bytes if (n, kind) == (lead, HEARTBEAT)]
        )

    assert run_virtual(scenario(8)) == run_virtual(scenario(5)) <= 2 + len(ZONES)
