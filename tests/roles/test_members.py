"""Tests that no team runs more than its limit, whatever instances fail."""

import random
from contextlib import contextmanager

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from firhook.model import LimitMoved
from tests.roles.fleet import LINGER_S, OUTAGE_S, ZONES, Fleet

NODES = [f"{zone}{i}" for zone in ZONES for i in range(2)]


@contextmanager
def fleet_of(per_zone=2):
    random.seed(7)
    fleet = Fleet(per_zone)
    try:
        yield fleet
    finally:
        fleet.close()


def lead_of(fleet, zone):
    """Return the node that is a zone's lead by the log."""
    fleet.run(0.2)
    states = [n.states.cell for n in fleet.nodes.values() if n.alive]
    newest = max(states, key=lambda s: s.next_offset)
    return fleet.nodes[newest.leads[zone].instance.partition("#")[0]]


def test_team_with_demand_in_one_zone_gets_most_of_its_limit_there():
    """All of a team's callers use one zone.

    Its limit of 20 is split over three zones.  Unless the other zones transfer
    their spare parts within seconds, two thirds of the limit stay unused.
    """
    with fleet_of() as fleet:
        fleet.run(5)
        for name in ("a0", "a1"):
            fleet.nodes[name].demand = 20
        fleet.run(4)
        assert fleet.running >= 16


def test_zone_keeps_serving_within_its_part_while_the_log_is_down():
    """The platform's log is down for longer than a lead's lease.

    No lead can renew.  Unless leads continue to lend, all zones stop serving
    requests although nothing else fails.
    """
    with fleet_of() as fleet:
        for node in fleet.nodes.values():
            node.demand = 3
        fleet.run(6)
        assert fleet.running == 18
        fleet.log.down = True
        fleet.run(OUTAGE_S / 2)
        assert fleet.running == 18


def test_instance_that_starts_while_the_log_is_down_gets_capacity():
    """An instance is replaced during an outage of the platform's log.

    It loads a peer's state, but no record can name it as a holder.  Without
    capacity it would refuse all requests.  If the lead then dies before the
    log has recovered, the next lead does not know what the instance holds.
    """
    with fleet_of() as fleet:
        fleet.run(6)
        fleet.log.down = True
        lead = lead_of(fleet, "a")
        fleet.run(4)
        fleet.boot("a2", "a")
        guest = fleet.nodes["a2"]
        guest.demand = 20
        fleet.took_s = LINGER_S
        fleet.run(2)
        assert guest.account.running.get("t", 0) >= 2
        for node in fleet.nodes.values():
            node.demand = 20
        fleet.run(1)
        lead.kill()
        fleet.log.down = False
        fleet.run(12)
        assert lead_of(fleet, "a") is not lead
        assert fleet.running >= 12


def test_next_lead_counts_the_guests_of_an_answering_predecessor():
    """A lead that lent to a new instance during an outage is deposed, but alive.

    It reports its holdings to its successor.  Unless it also reports those of
    its guests, the successor lends the same capacity to others.
    """
    with fleet_of() as fleet:
        fleet.run(6)
        fleet.log.down = True
        lead = lead_of(fleet, "a")
        other = next(
            n for n in fleet.nodes.values() if n.cfg.zone == "a" and n is not lead
        )
        fleet.run(4)
        fleet.boot("a2", "a")
        guest = fleet.nodes["a2"]
        guest.demand = 20
        fleet.took_s = LINGER_S
        fleet.run(2)
        running = guest.account.running["t"]
        guest.cut = True
        lead.log_cut = True
        fleet.log.down = False
        while not other.grants.is_open:
            fleet.run(0.1)
        assert other.grants.lent("t", other.clock()) >= running


def test_zone_that_lost_its_lead_serves_again_within_seconds():
    """The instance that leads a zone dies.

    Its successor does not know its grants.  It asks the others what they hold,
    counts the dead lead with its cap, and lends the rest at once.  Once the
    longest request has ended it lends everything.
    """
    with fleet_of() as fleet:
        fleet.run(5)
        lead = lead_of(fleet, "a")
        other = next(
            n for n in fleet.nodes.values() if n.cfg.zone == "a" and n is not lead
        )
        for zone in ("b", "c"):
            for i in range(2):
                fleet.nodes[f"{zone}{i}"].demand = 3
        lead.kill()
        other.demand = 2
        fleet.run(6)
        assert lead_of(fleet, "a") is other
        assert other.account.running.get("t", 0) == 2
        other.demand = 7
        fleet.run(LINGER_S + 6)
        assert other.account.running["t"] >= 6


def test_lead_that_stops_is_replaced_at_once():
    """An instance that leads its zone is stopped for an update."""
    with fleet_of() as fleet:
        fleet.run(5)
        lead = lead_of(fleet, "a")
        lead.stopping = True
        fleet.run(1.5)
        assert lead_of(fleet, "a") is not lead


def test_paused_lead_relies_on_nothing_when_it_resumes():
    """A lead is paused for longer than its lease, and a peer takes over.

    When it resumes it must lend nothing, whichever coroutine runs first.
    """
    with fleet_of() as fleet:
        fleet.run(5)
        lead = lead_of(fleet, "a")
        assert lead.leadership.is_held(lead.clock())
        lead.gate.clear()
        fleet.run(8)
        now = lead.clock()
        assert not lead.leadership.is_held(now)
        assert not lead.leadership.may_lend(now)
        assert not lead.leadership.view(now).held


def fill_zones(fleet, *zones):
    """Make zones use exactly their parts, so that no part is transferred."""
    for zone in zones:
        fleet.nodes[f"{zone}0"].demand = {"a": 4, "b": 4, "c": 3}[zone]
        fleet.nodes[f"{zone}1"].demand = 3


def other_of(fleet, lead):
    """Return another node of a lead's zone."""
    return next(
        n for n in fleet.nodes.values() if n.cfg.zone == lead.cfg.zone and n is not lead
    )


def test_paused_instance_dispatches_nothing_on_relent_capacity():
    """An instance with capacity is paused for longer than its grant lasts.

    The capacity is lent to its peer.  When the instance resumes, it first tries
    to dispatch its waiting requests.
    """
    with fleet_of() as fleet:
        fleet.run(5)
        lead = lead_of(fleet, "a")
        other = other_of(fleet, lead)
        other.demand = 20
        fleet.run(5)
        other.gate.clear()
        lead.demand = 20
        fleet.run(LINGER_S + 6)
        other.gate.set()
        other.serve()
        fleet.run(2)


def test_successor_counts_the_running_requests_of_a_dead_lead():
    """A lead dies while runners still work on its long requests."""
    with fleet_of() as fleet:
        fleet.run(5)
        lead = lead_of(fleet, "a")
        other = other_of(fleet, lead)
        fleet.took_s = LINGER_S
        lead.demand = 20
        fleet.run(LINGER_S + 3.5)
        assert fleet.running >= 10
        lead.kill()
        other.demand = 20
        fleet.run(LINGER_S + 8)
        assert other.account.running.get("t", 0) >= 12


def test_capacity_in_transfer_to_another_zone_is_not_lent():
    """A zone transfers capacity while the log answers slowly.

    Its own callers return before the answer arrives.  The capacity belongs to
    the other zone as soon as that zone reads the record.
    """
    with fleet_of() as fleet:
        fleet.run(5)
        fleet.log.delay_s = 0.9
        for name in ("b0", "b1"):
            fleet.nodes[name].demand = 20
        for _ in range(60):
            fleet.run(0.05)
            moves = [e for e in fleet.log.sent if isinstance(e.body, LimitMoved)]
            if moves:
                break
        assert moves
        for name in ("a0", "a1", "c0", "c1"):
            fleet.nodes[name].demand = 20
        fleet.run(5)


def test_long_requests_of_a_dead_instance_count_until_they_end():
    """An instance dies, and its requests continue at the runners.

    Its grant expires long before the last of them ends.
    """
    with fleet_of() as fleet:
        fleet.run(5)
        lead = lead_of(fleet, "a")
        other = other_of(fleet, lead)
        fleet.took_s = LINGER_S
        for demand in range(1, 20):
            other.demand = demand
            fleet.run(0.3)
        other.kill()
        lead.demand = 20
        fleet.run(LINGER_S + 8)
        assert lead.account.running.get("t", 0) >= 12


def test_lead_that_alone_lost_the_log_is_replaced_and_stops_lending():
    """A lead loses its connection to the log, but its peers do not.

    A peer must take over, or the zone's tasks are not placed.  The old lead
    learns of it from its peers, and the zone stays within the limit.
    """
    with fleet_of() as fleet:
        fleet.run(5)
        lead = lead_of(fleet, "a")
        other = other_of(fleet, lead)
        lead.demand = other.demand = 20
        fleet.run(4)
        lead.log_cut = True
        fleet.run(10)
        assert lead_of(fleet, "a") is other
        assert other.leadership.is_held(other.clock())
        assert lead.account.running.get("t", 0) > 0


def test_lead_cut_off_with_a_holder_cannot_double_what_its_successor_lends():
    """A network partition splits a zone.

    On one side the lead and an instance continue without the log.  On the other
    an instance reaches the log and takes over the lead.  Both sides serve.
    """
    with fleet_of(per_zone=3) as fleet:
        fleet.run(6)
        lead = lead_of(fleet, "a")
        others = [
            n for n in fleet.nodes.values() if n.cfg.zone == "a" and n is not lead
        ]
        for node in fleet.nodes.values():
            node.demand = 20
        fleet.run(4)
        others[1].reachable_peers = lead.reachable_peers = {lead.name, others[1].name}
        lead.log_cut = others[1].log_cut = True
        fleet.run(25)
        assert lead_of(fleet, "a") is others[0]
        lead.reachable_peers = others[1].reachable_peers = None
        fleet.run(10)


def test_instance_that_answered_a_new_lead_borrows_nothing_from_the_old_one():
    """A lead and an instance lose the log, and a new instance takes over.

    The new lead cannot reach the old one, but reaches the instance, which
    reports its holdings.  If the instance continued to borrow from the old
    lead, it would hold more than the new lead counts.
    """
    with fleet_of() as fleet:
        fleet.run(5)
        old = lead_of(fleet, "a")
        holder = other_of(fleet, old)
        fill_zones(fleet, "b", "c")
        old.demand = 2
        fleet.run(1)
        old.log_cut = holder.log_cut = True
        old.reachable_peers = {holder.name}
        holder.demand = 1
        fleet.boot("a2", "a")
        newcomer = fleet.nodes["a2"]
        newcomer.demand = 20
        for _ in range(40):
            fleet.run(0.2)
            holder.demand = min(holder.demand + 1, 20)
        fleet.run(OUTAGE_S + 2 * LINGER_S)
        assert lead_of(fleet, "a") is newcomer


def test_claim_waits_until_the_promise_to_the_old_lead_expires():
    """A lead and a peer lose the log, and the peer promises not to claim.

    The peer reaches the log again at the moment when it loses the lead.  The
    lead still relies on the promise and continues to lend.
    """
    with fleet_of() as fleet:
        fleet.run(5)
        old = lead_of(fleet, "a")
        peer = other_of(fleet, old)
        fill_zones(fleet, "b", "c")
        fleet.run(1)
        old.log_cut = peer.log_cut = True
        fleet.run(6)
        fleet.took_s = LINGER_S
        peer.log_cut = False
        old.reachable_peers = set()
        peer.demand = 20
        for _ in range(60):
            old.demand = min(old.demand + 1, 20)
            fleet.run(0.2)
        fleet.run(LINGER_S + 5)
        assert lead_of(fleet, "a") is peer


class MembersMachine(RuleBasedStateMachine):
    """Random crashes, pauses, partitions, lost answers, outages and limit changes."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()

    @initialize()
    def settle(self):
        self.fleet.run(5)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.5, 5.0, 12.0]))
    def wait(self, seconds):
        self.fleet.run(seconds)

    @rule(
        name=st.sampled_from(NODES),
        demand=st.sampled_from([0, 3, 7, 20]),
        took_s=st.sampled_from([0.3, 2.0, LINGER_S]),
    )
    def ask(self, name, demand, took_s):
        self.fleet.took_s = took_s
        self.fleet.nodes[name].demand = demand
        self.fleet.run(0.3)

    @rule(name=st.sampled_from(NODES))
    def kill(self, name):
        self.fleet.nodes[name].kill()

    @rule(name=st.sampled_from(NODES))
    def replace(self, name):
        node = self.fleet.nodes[name]
        if not node.alive:
            self.fleet.boot(name, node.cfg.zone)

    @rule(name=st.sampled_from(NODES))
    def pause(self, name):
        self.fleet.nodes[name].gate.clear()

    @rule(name=st.sampled_from(NODES))
    def resume(self, name):
        node = self.fleet.nodes[name]
        if not node.alive:
            return
        node.gate.set()
        # The first thing that it does is to dispatch what waits.
        node.serve()

    @rule(name=st.sampled_from(NODES), seconds=st.sampled_from([3.0, 8.0, 12.0]))
    def pause_a_while(self, name, seconds):
        node = self.fleet.nodes[name]
        node.gate.clear()
        self.fleet.run(seconds)
        if node.alive:
            node.gate.set()
            node.serve()

    @rule(name=st.sampled_from(NODES), cut=st.booleans())
    def cut_from_log(self, name, cut):
        self.fleet.nodes[name].log_cut = cut

    @rule(name=st.sampled_from(NODES), cut=st.booleans())
    def cut_node(self, name, cut):
        self.fleet.nodes[name].cut = cut

    @rule(zone=st.sampled_from(ZONES), cut=st.booleans())
    def cut_zone(self, zone, cut):
        (self.fleet.cut_zones.add if cut else self.fleet.cut_zones.discard)(zone)

    @rule(down=st.booleans(), delay_s=st.sampled_from([0.005, 0.3, 3.0]))
    def trouble_log(self, down, delay_s):
        self.fleet.log.down, self.fleet.log.delay_s = down, delay_s

    @rule(lose=st.booleans())
    def lose_answers(self, lose):
        self.fleet.lose_answers = lose

    @rule(limit=st.sampled_from([0, 3, 20, 31]))
    def change_limit(self, limit):
        self.fleet.log.limits.append(limit)

    @rule()
    def heal(self):
        self.fleet.heal()

    def teardown(self):
        fleet = self.fleet
        try:
            fleet.heal()
            fleet.took_s = 0.3
            fleet.log.limits.append(20)
            for name, node in fleet.nodes.items():
                node.demand = 20 if name == "b0" else 0
            fleet.run(OUTAGE_S + 2 * LINGER_S + 20)
            room = fleet.nodes["b0"].account.current_capacity("t")
            assert room >= 12, "room was lost for good"
        finally:
            fleet.close()


TestMembers = MembersMachine.TestCase
TestMembers.settings = settings(max_examples=12, stateful_step_count=20, deadline=None)
