"""When a zone counts as lost, and which other zone adopts its jobs.

Made for a zone that is cut off or gone for a whole night: its batch work must
go on elsewhere from its checkpoints with nobody watching.  The harm to avoid
is a task that runs in both zones.  The lost zone's lead may go on renewing
its tasks for its hold, counted from before it sent its last renewal of the
lead; each order ends with that hold, and each task one lease later.
"""

from collections.abc import Mapping, Sequence

from firhook.decide._lease import latest_end
from firhook.decide._orders import Timing
from firhook.model import CarriedTask
from firhook.state import ZoneState

#: A log whose end was not seen for so long is out of sight.
MAX_LOG_AGE_S = 10.0


class LeadActivity:
    """How long this instance has seen the log, and when each lead last wrote.

    After an outage of the log every zone looks silent.  Counting from when
    the log came back into sight gives their leads time to renew; otherwise
    the first lead back would adopt the jobs of zones that are well.
    """

    def __init__(self) -> None:
        self._since: float | None = None
        self._heard: dict[str, float] = {}

    def record_log_age(self, age_s: float, now: float) -> None:
        """Note how long ago the end of stream ``cell`` was seen."""
        if age_s > MAX_LOG_AGE_S:
            self._since = None
        elif self._since is None:
            self._since = now

    def reset(self) -> None:
        """Start counting anew, after a stall or a rebuilt state."""
        self._since = None

    def record_lead(self, zone: str, now: float) -> None:
        """Note that a record of a zone's lead was read."""
        self._heard[zone] = now

    def inactive_s(self, zone: str, now: float) -> float:
        """Return for how long a zone's lead was certainly silent."""
        if self._since is None:
            return 0.0
        return now - max(self._since, self._heard.get(zone, float("-inf")))

    def is_lost(self, zone: str, timing: Timing, now: float) -> bool:
        """Return whether nothing of a zone's can be running any more."""
        whole = timing.hold_s + timing.lease_s
        return self.inactive_s(zone, now) > latest_end(0.0, whole) + timing.margin_s


def choose_adopter(zones: Sequence[str], lost: str, alive: Mapping[str, bool]) -> str:
    """Return the zone that adopts a lost zone's jobs, or nothing.

    It is the next one by name that is alive, so that two zones that are lost
    together do not both fall to the same neighbour unless only it is left.
    """
    ordered = sorted(zones)
    at = ordered.index(lost)
    for zone in ordered[at + 1 :] + ordered[:at]:
        if alive.get(zone):
            return zone
    return ""


def tasks_to_carry(giver: ZoneState, job_ids: Sequence[str]) -> list[CarriedTask]:
    """Return the attempts to take over, those that may have run as lost."""
    return [
        CarriedTask(
            job_id,
            index,
            task.attempt,
            task.outcome or "lost",
            task.progress,
            task.failures,
        )
        for job_id in job_ids
        for index, task in sorted(giver.tasks.get(job_id, {}).items())
    ]
