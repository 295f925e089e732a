"""When a zone counts as lost, and which zone adopts its jobs.

The batch work of a zone that is partitioned or lost for hours must continue
elsewhere from its checkpoints without an operator.  A task must never run in
both zones.  The lost zone's lead may keep renewing its tasks for its hold time,
counted from before it sent its last lease renewal; every order expires with the
hold, and every task one lease later.
"""

from collections.abc import Mapping, Sequence

from firhook.decide._lease import latest_end
from firhook.decide._orders import Timing
from firhook.model import CarriedTask
from firhook.state import ZoneState

#: The log counts as unreachable if its end was last read longer ago than this.
MAX_LOG_AGE_S = 10.0


class LeadActivity:
    """Tracks how long the log has been reachable and when each lead last wrote.

    After an outage of the log every zone looks inactive.  Counting from the end
    of the outage gives the leads time to renew; otherwise the first lead to
    recover would adopt the jobs of healthy zones.
    """

    def __init__(self) -> None:
        self._visible_since: float | None = None
        self._lead_read_at: dict[str, float] = {}

    def record_log_age(self, age_s: float, now: float) -> None:
        """Record how long ago the end of stream ``cell`` was read."""
        if age_s > MAX_LOG_AGE_S:
            self._visible_since = None
        elif self._visible_since is None:
            self._visible_since = now

    def reset(self) -> None:
        """Restart the count after a stall or a rebuilt state."""
        self._visible_since = None

    def record_lead(self, zone: str, now: float) -> None:
        """Record that a record of a zone's lead was read."""
        self._lead_read_at[zone] = now

    def inactive_s(self, zone: str, now: float) -> float:
        """Return for how long a zone's lead has certainly written nothing."""
        if self._visible_since is None:
            return 0.0
        return now - max(
            self._visible_since, self._lead_read_at.get(zone, float("-inf"))
        )

    def is_lost(self, zone: str, timing: Timing, now: float) -> bool:
        """Return whether no task of a zone can still be running."""
        max_run_s = timing.hold_s + timing.lease_s
        return self.inactive_s(zone, now) > latest_end(0.0, max_run_s) + timing.margin_s


def choose_adopter(zones: Sequence[str], lost: str, alive: Mapping[str, bool]) -> str:
    """Return the zone that adopts a lost zone's jobs, or an empty string.

    This is the next live zone in order of name, so that two zones lost together
    are adopted by different zones unless only one is left.
    """
    ordered = sorted(zones)
    start = ordered.index(lost)
    for zone in ordered[start + 1 :] + ordered[:start]:
        if alive.get(zone):
            return zone
    return ""


def tasks_to_carry(giver: ZoneState, job_ids: Sequence[str]) -> list[CarriedTask]:
    """Return a lost zone's attempts; those that may be running count as lost."""
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
