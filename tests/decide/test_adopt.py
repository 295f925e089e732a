"""Adoption of a lost zone's jobs: when, by which zone, and which attempts."""

import asyncio

from firhook.decide.adopt import (
    MAX_LOG_AGE_S,
    LeadActivity,
    choose_adopter,
    tasks_to_carry,
)
from firhook.decide.lease import latest_end
from firhook.decide.orders import Timing
from firhook.errors import LogTrimmedError
from firhook.model import (
    Assigned,
    Assignment,
    Ended,
    Ending,
    Envelope,
    SnapshotChunk,
    TasksCarried,
    encode_envelope,
)
from firhook.platform.clients import LogEntry, LogPage, LogService
from firhook.roles._adopter import read_zone_state
from firhook.state import ZoneState

TIMING = Timing(lease_s=15.0, hold_s=45.0, margin_s=1.0, sync_s=2.0)


def simulate(activity, until, last_record, start=0, outages=()):
    for now in range(start, until):
        unreachable = any(a <= now < b for a, b in outages)
        activity.record_log_age(MAX_LOG_AGE_S + 1 if unreachable else 0.5, float(now))
        if now <= last_record and not unreachable:
            activity.record_lead("lekki", float(now))


def test_a_zone_is_lost_only_after_hold_and_lease_without_a_renewal():
    """A partitioned lead keeps renewing its tasks.

    If the zone's jobs were adopted before the lead's hold and the tasks' leases have
    expired, a job would run in two zones at once.
    """
    activity = LeadActivity()
    simulate(activity, 200, last_record=10)
    end = 10 + latest_end(0.0, TIMING.hold_s + TIMING.lease_s) + TIMING.margin_s
    assert not activity.is_lost("lekki", TIMING, end)
    assert activity.is_lost("lekki", TIMING, end + 0.01)


def test_after_an_outage_of_the_log_zones_get_time_to_renew():
    """After a ten-minute outage of the log every zone looks inactive.

    Adopting the zones at once would move every job of the cell needlessly.
    """
    activity = LeadActivity()
    simulate(activity, 700, last_record=50, outages=((50, 650),))
    assert not activity.is_lost("lekki", TIMING, 700.0)


def test_count_restarts_after_a_stall():
    activity = LeadActivity()
    simulate(activity, 200, last_record=10)
    activity.reset()
    assert not activity.is_lost("lekki", TIMING, 200.0)


def test_next_live_zone_adopts_the_jobs():
    zones = ("apapa", "ikeja", "lekki", "yaba")
    alive = {"apapa": True, "yaba": True}
    assert choose_adopter(zones, "lekki", alive) == "yaba"
    assert choose_adopter(zones, "yaba", alive) == "apapa"
    assert choose_adopter(zones, "lekki", {}) == ""


def giver_records():
    items = (Assignment("t/a", 0, 1, "w0"), Assignment("t/a", 1, 1, "w1"))
    return [
        Assigned(4, items),
        Ended(4, (Ending("t/a", 0, 1, "preempted", "", 0.6),)),
        Assigned(4, (Assignment("t/a", 0, 2, "w1"),)),
    ]


class FakeLog(LogService):
    """A stream whose first records may have expired."""

    def __init__(self, envelopes, first=0):
        self.envelopes, self.first = envelopes, first

    async def append(self, stream, payloads):
        raise AssertionError("only read")

    async def read(self, stream, offset, wait_s):
        if offset < self.first:
            raise LogTrimmedError("trimmed", first=self.first)
        entries = [
            LogEntry(i, encode_envelope(e))
            for i, e in enumerate(self.envelopes)
            if i >= offset
        ]
        return LogPage(tuple(entries[:2]), len(self.envelopes))


def test_adopted_tasks_resume_from_their_checkpoint_with_the_next_attempt():
    """A zone is lost with a task that is 60 % done.

    The adopting zone must resume the task from its checkpoint.
    """
    envelopes = [Envelope("i", n, b) for n, b in enumerate(giver_records(), 1)]
    giver = asyncio.run(read_zone_state(FakeLog(envelopes), "lekki"))
    own = ZoneState("yaba")
    items = tuple(tasks_to_carry(giver, ["t/a"]))
    own.apply(0, Envelope("k", 1, TasksCarried(7, "lekki", items)))
    own.apply(1, Envelope("k", 2, Assigned(7, (Assignment("t/a", 0, 3, "y0"),))))
    assert own.tasks["t/a"][0].progress == 0.6
    assert own.is_live(("t/a", 0, 3))
    assert own.notes["t/a"][0] == "2 tasks taken over from zone lekki"


def test_a_trimmed_stream_is_read_from_its_snapshot():
    source = ZoneState("lekki")
    records = [Envelope("i", n, b) for n, b in enumerate(giver_records(), 1)]
    for offset, envelope in enumerate(records[:2]):
        source.apply(offset, envelope)
    text = source.to_text()
    half = len(text) // 2
    chunks = [
        Envelope("i", 10 + n, SnapshotChunk(2, n, 2, part))
        for n, part in enumerate((text[:half], text[half:]))
    ]
    service = FakeLog([*records, *chunks], first=2)
    giver = asyncio.run(read_zone_state(service, "lekki"))
    assert giver.tasks["t/a"][0].attempt == 2
    assert giver.tasks["t/a"][0].progress == 0.6
