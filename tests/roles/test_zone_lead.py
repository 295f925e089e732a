"""Tests of the zone lead's loops with a fake log and fake workers."""

import asyncio
import types

from firhook._bus import Bus
from firhook.decide.grants import GrantTable
from firhook.errors import LogOutcomeUnknownError, WorkerUnreachableError
from firhook.events import (
    Append,
    Applied,
    InstancesListed,
    Lead,
    LeadView,
    LogAge,
    RecordApplied,
)
from firhook.model import (
    Assigned,
    Envelope,
    JobAccepted,
    JobSpec,
    LeadClaimed,
    Report,
    Row,
    RowsChanged,
    ZoneFenced,
)
from firhook.roles._zone_lead import ZoneLead
from firhook.state import States
from tests.decide.zone_simulation import ZONE, fleet

STREAM = f"zone.{ZONE}"


class Workers:
    """Workers that answer every poll and order, except the unreachable ones."""

    def __init__(self, unreachable=()):
        self.unreachable = set(unreachable)
        self.orders = []

    async def poll(self, endpoint):
        if endpoint.name in self.unreachable:
            await asyncio.sleep(30.0)
            raise WorkerUnreachableError(endpoint.name)
        return Report(endpoint.name, 1.0, 1, "boot", ())

    async def send_order(self, endpoint, order):
        self.orders.append((endpoint.name, order))
        return Report(endpoint.name, 1.0, order.epoch, "boot", ())


class FakeKernel:
    """The kernel as the zone lead uses it.

    :ivar before_append: called with each record; an error makes the append fail.
    """

    def __init__(self, workers, limit=8):
        self.cfg = types.SimpleNamespace(
            zone=ZONE,
            zones=(ZONE,),
            sync_s=0.05,
            task_lease_s=15.0,
            hold_s=45.0,
            margin_s=0.1,
            lead_lease_s=6.0,
        )
        self.bus = Bus()
        self.states = States((ZONE,), ZONE)
        self.grants = GrantTable(3.0, 30.0)
        self.grants.open(0.0, {}, (), 0.0, 1, 1)
        self.platform = types.SimpleNamespace(workers=workers, log=None)
        self.lane = "i#1"
        self.stopping = False
        self.records = []
        self.before_append = lambda body: None
        self.seq = 0
        self.bus.register_handler(LeadView, self._lead)
        self.bus.register_handler(LogAge, self._age)
        self.bus.register_handler(Append, self._append)
        self.lead = ZoneLead(self)
        self.append_record("cell", LeadClaimed(ZONE, 1, self.lane, -1))
        plan = Row("plans", "p", {"share": "1", "limit": str(limit)})
        self.append_record(
            "config", RowsChanged(0, (plan, Row("teams", "a", {"plan": "p"})))
        )
        self.bus.publish(InstancesListed(tuple(fleet(2))))

    def clock(self):
        return asyncio.get_event_loop().time()

    def append_record(self, stream, body):
        self.seq += 1
        state = self.states.by_stream[stream]
        offset, envelope = state.next_offset, Envelope(self.lane, self.seq, body)
        verdict = state.apply(offset, envelope)
        self.records.append(body)
        self.bus.publish(RecordApplied(stream, offset, envelope, verdict))
        return Applied(offset, verdict)

    async def _lead(self, query):
        return Lead(1, self.lane, True, 45.0, 6.0)

    async def _age(self, query):
        return 0.1

    async def _append(self, query):
        self.before_append(query.body)
        return self.append_record(query.stream, query.body)

    async def run(self, seconds):
        await self.lead.start()
        await asyncio.sleep(seconds)
        await self.lead.stop()


def test_capacity_counts_as_used_before_its_assignment_is_read():
    """The lead also lends a team's capacity to requests.

    If it lent the capacity of an assignment whose record is not yet read, the
    team would run more than its limit.
    """

    async def scenario():
        kernel = FakeKernel(Workers(), limit=8)
        seen = []

        def before_append(body):
            if isinstance(body, Assigned):
                seen.append(kernel.grants.grant("a", "peer", 8, 0, 8, kernel.clock()))

        kernel.before_append = before_append
        kernel.append_record("cell", JobAccepted(JobSpec("j", "a", 5), ZONE))
        await kernel.run(0.6)
        assert seen == [3]

    asyncio.run(scenario())


def test_fence_precedes_the_next_assignment_after_a_lost_answer():
    """The outcome of appending an assignment is unknown."""

    async def scenario():
        kernel = FakeKernel(Workers())
        lost = []

        def before_append(body):
            if isinstance(body, Assigned) and not lost:
                lost.append(body)
                raise LogOutcomeUnknownError("lost")

        kernel.before_append = before_append
        kernel.append_record("cell", JobAccepted(JobSpec("j", "a", 2), ZONE))
        await kernel.run(0.6)
        kinds = [
            type(r).__name__
            for r in kernel.records
            if isinstance(r, (ZoneFenced, Assigned))
        ]
        assert kinds == ["ZoneFenced", "ZoneFenced", "Assigned"]

    asyncio.run(scenario())


def test_unresponsive_worker_delays_no_other():
    """A worker's link drops all packets, so the call to it hangs.

    Urgent work for another worker must not wait until that call ends.
    """

    async def scenario():
        workers = Workers(unreachable={"w000"})
        kernel = FakeKernel(workers)
        kernel.append_record("cell", JobAccepted(JobSpec("j", "a", 2), ZONE))
        await kernel.run(0.6)
        started = [n for n, order in workers.orders if order.start]
        assert set(started) == {"w001"}

    asyncio.run(scenario())
