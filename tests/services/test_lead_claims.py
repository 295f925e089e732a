"""Claims of the lead on the platform model, with appends that are carried out late."""

import asyncio

from firhook._peer_messages import LeadAlive
from firhook.cell.records import LEAD_KEY
from firhook.services._events import SendToInstance
from standins.model import ModelCell, now, pause, run_virtual
from tests.services.scenarios import run_scenario, step


class TermWatch:
    """Records which incarnation began the term of each epoch.

    :ivar holders: incarnations by epoch.
    """

    def __init__(self, cell):
        self._cell = cell
        self.holders = {}

    async def run(self):
        """Record the terms of all instances until cancelled."""
        while True:
            for model_instance in self._cell.instances.values():
                term = model_instance.lead.term
                if model_instance.alive and term is not None:
                    holders = self.holders.setdefault(term.fence, set())
                    holders.add(model_instance.instance.incarnation)
            await pause(0.001)

    def shared_epochs(self):
        """Return the epochs under which several incarnations led."""
        return [epoch for epoch, who in self.holders.items() if len(who) > 1]


def isolate(cell, name):
    """Cut the links of an instance to all others."""
    cell.cut_links += [{name, other} for other in cell.instances if other != name]


async def hold_heartbeat(cell):
    """Hold the lead's next heartbeat on its partition, and kill the lead.

    :return: the held append and the name of the lead.
    """
    store, first = cell.store, cell.lead_name()
    store.holds = lambda append: append.partition == 0 and append.keys == [LEAD_KEY]
    await cell.until(lambda: store.held, 2.0)
    store.holds = None
    cell.kill(first)
    return store.held.pop(), first


async def successor_of(cell, first):
    """Return the name of the next instance that claims the lead."""

    def claimant():
        terms = {n: i.lead.term for n, i in cell.instances.items() if i.alive}
        return next((n for n, term in terms.items() if term and n != first), None)

    await cell.until(claimant, 3.0)
    return claimant()


def run_with_late_heartbeat(scenario):
    """Run a scenario in which a killed lead's heartbeat follows its successor's claim.

    The store has not carried out the successor's first call under its epoch by then,
    so that it accepts the heartbeat.  The killed lead restarts after that.

    :param scenario: called with the cell, the killed lead and its successor.
    """

    async def run():
        cell = ModelCell(instances=3)
        cell.drop_share = 0.0
        await cell.begin()
        watch = TermWatch(cell)
        watching = asyncio.create_task(watch.run())
        heartbeat, first = await hold_heartbeat(cell)
        cell.store.holds = lambda append: append.partition == 0 and not append.records
        successor = await successor_of(cell, first)
        await cell.until(lambda: cell.store.held, 1.0)
        end = cell.store.partition(heartbeat.topic).end
        cell.store.carry_out(heartbeat)
        assert cell.store.partition(heartbeat.topic).end == end + 1
        isolate(cell, first)
        await cell.restart(first)
        await scenario(cell, first, successor)
        watching.cancel()
        assert watch.shared_epochs() == []
        assert cell.checks.violations == []

    run_virtual(run())


def test_late_heartbeat_of_an_old_lead_does_not_give_its_epoch_away():
    """Two leads must not share an epoch, after which both would start each task.

    The restarted instance reads the late heartbeat as the newest record of a lead,
    and hears of no successor.
    """

    async def scenario(cell, first, successor):
        for _ in range(30):
            await cell.submit([step(2)], work_s=0.3)
            await pause(0.05)
        cell.store.holds = None
        cell.cut_links.clear()
        await cell.all_done(30.0)

    run_with_late_heartbeat(scenario)


def test_restarted_lead_does_not_take_the_lead_from_its_successor():
    """A restarted lead must learn of its successor from the store.

    It reads the log before it hears from any instance.  Taking itself for the last
    lead, it would claim the lead at once, and nothing starts meanwhile.
    """

    async def scenario(cell, first, successor):
        await pause(0.25)
        cell.store.holds = None
        cell.cut_links.clear()
        until = now() + 5.0
        while now() < until:
            await pause(0.05)
            assert cell.instances[first].lead.term is None
        assert cell.lead_name() == successor

    run_with_late_heartbeat(scenario)


def test_claim_without_an_answer_leaves_the_cell_without_a_lead_for_a_second():
    """A claim that is stored, and whose claimant does not know it, must be replaced.

    Until then the log names a lead that no instance is.
    """

    async def run():
        cell = ModelCell(instances=3)
        cell.drop_share = 0.0
        await cell.begin()
        watch = TermWatch(cell)
        watching = asyncio.create_task(watch.run())
        cell.store.holds = lambda append: append.expected_end is not None
        cell.kill(cell.lead_name())
        await cell.until(lambda: cell.store.held, 2.0)
        cell.store.holds = None
        claim = cell.store.held.pop()
        end = cell.store.partition(claim.topic).end
        cell.store.carry_out(claim)
        assert cell.store.partition(claim.topic).end > end
        claimed_at = now()
        await cell.until(lambda: cell.lead() is not None, 3.0)
        assert now() - claimed_at < 1.0
        await cell.submit([step(2)], work_s=0.3)
        await cell.all_done(5.0)
        watching.cancel()
        assert watch.shared_epochs() == []
        assert cell.checks.violations == []

    run_virtual(run())


def test_late_claim_over_a_live_lead_leaves_the_cell_without_a_lead_for_a_second():
    """A claim that is carried out late must not stop the cell.

    Its claimant was cut off from the lead and then from the store.  The lead wrote to
    another partition meanwhile, so that the claim's condition holds.
    """

    async def run():
        cell = ModelCell(instances=3)
        cell.drop_share = 0.0
        await cell.begin()
        watch = TermWatch(cell)
        watching = asyncio.create_task(watch.run())
        first = cell.lead_name()
        claimant = next(name for name in cell.instances if name != first)
        isolate(cell, claimant)
        cell.store.holds = lambda append: append.partition == 0
        await cell.until(lambda: len(cell.store.held) > 1, 3.0)
        await pause(0.5)
        claim = next(a for a in cell.store.held if a.expected_end is not None)
        cell.store.mode[claimant] = "silent"
        end = cell.store.partition(claim.topic).end
        cell.store.carry_out(claim)
        assert cell.store.partition(claim.topic).end > end
        cell.store.holds = None
        claimed_at, gap_s = now(), 0.0
        while now() - claimed_at < 5.0:
            await pause(0.01)
            if cell.lead() is None:
                gap_s += 0.01
        assert gap_s < 1.0
        watching.cancel()
        assert watch.shared_epochs() == []

    run_virtual(run())


def test_lead_that_hears_its_epoch_from_another_one_steps_down():
    """An instance of an earlier build may claim an epoch that is taken."""

    async def scenario(cell):
        cell.drop_share = 0.0
        name = cell.lead_name()
        term = cell.instances[name].lead.term
        other = next(n for n in cell.instances if n != name)
        heartbeat = LeadAlive(term.fence, other, term.newest_version)
        bus = cell.instances[other].instance.bus
        bus.publish(SendToInstance(name, heartbeat))
        await pause(0.01)
        assert term.lost_reason == "epoch_shared"
        await cell.until(lambda: cell.lead() is not None, 3.0)
        assert cell.lead().lead.term.fence > term.fence

    run_scenario(scenario)
