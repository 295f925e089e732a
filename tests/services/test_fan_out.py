"""What the lead tells the others of records, over the model."""

from collections import Counter

from firhook.cell.records import JOB_PREFIX
from standins.model import ModelCell, now, pause, run_virtual
from tests.services.scenarios import step

ZONES = ("z0", "z1", "z2")
BEAT = "LeadAlive"


async def _zoned_cell(per_zone, **options):
    """Return a cell that has begun, with so many instances in each of three zones."""
    zones = {f"i{n}": ZONES[n % 3] for n in range(3 * per_zone)}
    cell = ModelCell(instances=3 * per_zone, zones=zones, **options)
    await cell.begin()
    return cell


def _told(cell, at):
    """Return the bytes of records that instances sent or got: 0 sender, 1 receiver."""
    told = Counter()
    for names, size in cell.sent_bytes.items():
        if names[2] in ("DigestPush", "RecordsPush"):
            told[names[at]] += size
    return told


def test_what_the_lead_sends_does_not_wait_behind_the_states_of_wide_jobs():
    """A state grows with the tasks of its job, and is written as each of them ends.

    Told whole to all instances it filled the link of the lead; heartbeats, orders
    and questions to the adviser waited behind it, and the lead was replaced.
    """

    async def play():
        cell = await _zoned_cell(6, workers=24)
        cell.drop_share = 0.0
        lead = cell.lead_name()
        # Ends are spread, as workers are not equally fast.
        for number, worker in enumerate(cell.workers.values()):
            worker.slow = 0.6 + 0.05 * number
        cell.link_bytes_s = dict.fromkeys(cell.instances, 120_000.0)
        for _ in range(8):
            await cell.submit([step(60, cpu_m=2000)], work_s=0.7)
            await pause(0.3)
        await cell.all_done(40.0)
        # Beside what the lead hands on within its time of gathering.
        assert cell.longest_wait_s[lead] < 0.1
        assert cell.lead_name() == lead
        assert cell.instances[lead].lead.term.fence == 1
        assert cell.checks.violations == []

    run_virtual(play())


def test_records_reach_zones_through_one_instance_each():
    async def play():
        cell = await _zoned_cell(5, workers=6)
        cell.drop_share = 0.0
        lead = cell.lead_name()
        cell.sent_bytes.clear()
        job, _ = await cell.submit([step(4)], work_s=0.5)
        await cell.all_done(10.0)
        await pause(0.2)
        told = _told(cell, 0)
        accepted_by = 1
        assert len(told) <= 1 + len(ZONES) + accepted_by
        assert told[lead] < sum(told.values()) / 2
        for found in cell.instances.values():
            assert await cell.status(job, found) == "completed"

    run_virtual(play())


def test_zone_learns_of_records_although_its_relay_is_gone():
    """The instance that passes records on dies, and is still registered."""

    async def play():
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
        # One relay is found out, and what it did not pass on is read from the store.
        await pause(0.6)
        alive = [i for i in cell.instances.values() if i.alive]
        assert {await cell.status(job, i) for i in alive} == {"completed"}
        assert cell.lead_name() == lead

    run_virtual(play())


def test_instance_that_held_digests_leads_on_with_all_that_runs():
    """Lead and standbys die at once, and one leads that was told digests only.

    It would have run tasks beside those that were running, or none of them.
    """

    async def play():
        cell = await _zoned_cell(3, workers=12)
        cell.drop_share = 0.0
        plan = [step(12), step(4, after=[0])]
        jobs = [(await cell.submit(plan, work_s=2.0))[0] for _ in range(3)]
        await pause(1.0)
        lead = cell.lead_name()
        holders = [
            n
            for n, found in cell.instances.items()
            if n != lead and not found.instance.replica.jobs[jobs[0]].accepted.is_digest
        ]
        assert len(holders) < len(cell.instances) - 1
        for name in [lead, *holders]:
            cell.kill(name)
        await cell.until(lambda: cell.lead() and cell.lead().lead.term.taken_over, 5.0)
        book = cell.lead().lead.term.job_table
        assert all(book.jobs[job].accepted.spec.steps for job in jobs)
        assert sum(len(runs) for runs in book.worker_runs.values()) > 0
        await cell.all_done(40.0)
        assert cell.checks.violations == []
        kept = {k for p in cell.store.partitions.values() for k in p.newest}
        assert {JOB_PREFIX + job for job in jobs} <= kept

    run_virtual(play())


def test_standby_is_told_all_and_reads_nothing_when_it_leads():
    async def play():
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
        whole = [name for name, v in views.items() if not v.accepted.is_digest]
        runs = [views[name].state.decode().steps for name in whole if views[name].state]
        assert len(runs) >= 2
        cell.kill(lead)
        await cell.until(lambda: cell.lead() is not None, 5.0)
        assert cell.lead_name() in whole
        await cell.all_done(20.0)
        assert cell.checks.violations == []

    run_virtual(play())


def test_lead_is_kept_although_the_relays_of_all_zones_are_gone():
    """Instances that hear the lead through another one take it for silent."""

    async def play():
        cell = await _zoned_cell(5, workers=6)
        cell.drop_share = 0.0
        lead = cell.lead_name()
        fence = cell.instances[lead].lead.term.fence
        relays = {n for n, _, kind in cell.sent_bytes if kind == BEAT} - {lead}
        assert len(relays) == len(ZONES)
        for name in relays:
            cell.kill(name)
        await pause(4.0)
        assert cell.lead_name() == lead
        assert cell.instances[lead].lead.term.fence == fence
        heard = [i.lead._election for n, i in cell.instances.items() if i.alive]
        assert not any(e.lead_unresponsive(now()) for e in heard)

    run_virtual(play())


def test_heartbeats_of_the_lead_do_not_grow_with_the_instances():
    """Ten a second to each of 96 instances were a thousand messages of one."""

    async def play(per_zone):
        cell = await _zoned_cell(per_zone, workers=2)
        lead = cell.lead_name()
        cell.sent_bytes.clear()
        await pause(1.0)
        return len([1 for n, _, kind in cell.sent_bytes if (n, kind) == (lead, BEAT)])

    assert run_virtual(play(8)) == run_virtual(play(5)) <= 2 + len(ZONES)
