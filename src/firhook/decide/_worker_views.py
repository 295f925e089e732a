"""The workers as a scheduling round sees them."""

import math

import attrs

from firhook.cell import Resources

#: Workers whose speeds differ by less than about this factor count as alike.  A cell
#: of 0.8, 1.0 and 1.25, or of 0.55 and 1.2, has workers in several classes; chance
#: alone rarely moves a worker out of the middle class.
_SPEED_CLASS_RATIO = math.log(1.22)

#: The largest fraction of a worker's cores that is kept free for urgent work.  A
#: burst of three times the usual number of short jobs needs a tenth of the cell.
_URGENT_FRACTION = 0.1

#: Free capacity into which no task fits, not even one that needs nothing.
_NOTHING = Resources(-1, -1, -1)


@attrs.define(slots=True, eq=False)
class WorkerView:
    """A worker as a round sees it.

    :param incarnation: the worker's current incarnation.
    :param usable: whether new work may start on it.
    :param speed: its speed; 1.0 is the mean, and that of a worker not yet known.
    :param takes_one: whether it gets one task at most in a round.
    :ivar speed_class: its speed in steps of a fifth; 0 is the mean.
    :ivar free: its free capacity.
    :ivar reservation_ready_at: when the capacity reserved for gangs will be free.
    :ivar unreserved: the capacity that is free then beside the reservations;
        ``None`` if nothing is reserved.
    :ivar urgent_cpu_m: millicores kept free for work of the first priority.  Without
        them short jobs, which have half a second to start, find every permitted
        worker full in a burst of long jobs, each of which holds its capacity for
        six seconds: 27 of 814 were late and 12 worthless even under ordinary load.
    """

    name: str
    incarnation: int
    pool: str
    rack: str
    labels: frozenset[str]
    free: Resources
    usable: bool = True
    speed: float = 1.0
    reservation_ready_at: float = 0.0
    unreserved: Resources | None = None
    urgent_cpu_m: int = 0
    takes_one: bool = False
    speed_class: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        if self.speed != 1.0:
            self.speed_class = round(math.log(self.speed) / _SPEED_CLASS_RATIO)

    def keeps_urgent_headroom(self, need: Resources) -> bool:
        """Return whether the headroom for urgent work stays free beside a task."""
        return self.free.cpu_m - need.cpu_m >= self.urgent_cpu_m

    def take(self, need: Resources) -> None:
        """Subtract a task's resources from the free capacity."""
        self.free = _NOTHING if self.takes_one else self.free.subtract(need)
        if self.unreserved is not None:
            self.unreserved = self.unreserved.subtract(need)


def urgent_headroom_m(capacity_m: int, urgent_need_m: int) -> int:
    """Return the millicores to keep free on a worker for urgent work.

    :param capacity_m: the worker's capacity, in millicores.
    :param urgent_need_m: what recent urgent tasks needed, in millicores; 0 if there
        were none.
    """
    return min(urgent_need_m, int(capacity_m * _URGENT_FRACTION))
