"""Registrations and replies of workers and of the adviser, and orders to workers."""

import enum

import attrs

from firhook.cell._resources import Resources


@attrs.frozen(slots=True)
class WorkerEntry:
    """A worker's registration.

    :param name: the worker's id, which a later incarnation may use again.
    :param incarnation: when the worker started, in Unix milliseconds.
    :param address: ``host:port`` of the worker's interface.
    :param rack: value of the label that names the worker's rack.
    :param draining: whether the worker is about to leave and takes no new work.
    :param leaves_in_s: minimum time until a draining worker leaves, in seconds.
    """

    name: str
    incarnation: int
    pool: str
    address: str
    zone: str
    capacity: Resources
    labels: frozenset[str] = frozenset()
    rack: str = ""
    draining: bool = False
    leaves_in_s: float = 0.0
    version: str = ""


class RunEnd(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    #: Another member of its gang ended.
    GANG_BROKEN = "broken"
    #: The other members of its gang did not start in time.
    GANG_TIMED_OUT = "alone"


@attrs.frozen(slots=True)
class RunningRow:
    """A run that a worker lists as running.

    :param checkpoint: the run's newest checkpoint; empty if it has none.
    :param percent: completed part of the work, in percent.
    :param load: tail latency in milliseconds for a serving task; processor use in
        thousandths of a core for any other.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float = 0.0


@attrs.frozen(slots=True)
class EndedRow:
    """A run that a worker lists as ended.

    :param number: number of the end, counted from 1 in each incarnation of the worker.
    :param checkpoint: the run's newest checkpoint; empty if it has none.
    """

    number: int
    task: str
    run: int
    end: RunEnd
    checkpoint: str


@attrs.frozen(slots=True)
class EndCursor:
    """A position among the ends that one incarnation of a worker has numbered.

    Each incarnation counts from 1.  A number without its incarnation would stand for
    other ends once the worker has restarted.

    :param incarnation: 0 if none is known.
    :param number: all ends up to this one are meant.
    """

    incarnation: int = 0
    number: int = 0

    def advanced_to(self, other: "EndCursor") -> "EndCursor":
        """Return the later position; one of another incarnation changes nothing."""
        is_later = other.number > self.number
        return other if is_later and other.incarnation == self.incarnation else self


#: The most ends that a worker lists in one reply, those with the lowest numbers.
MAX_LISTED_ENDS = 500


@attrs.frozen(slots=True)
class PollReply:
    """A worker's reply to a poll.

    :param incarnation: the incarnation of the worker that replied.
    :param clock_s: the worker's monotonic clock, in seconds.
    :param running: the runs that the worker executes.
    :param ended: the ends that were not acknowledged yet.
    """

    incarnation: int
    clock_s: float
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]

    @property
    def lists_all_ends(self) -> bool:
        """Return whether the worker has no further ends that it could not list."""
        return len(self.ended) < MAX_LISTED_ENDS


class OrderOutcome(enum.Enum):
    """The outcome of an order to a worker."""

    #: The worker has carried out the order, now or earlier.
    APPLIED = "taken"
    #: The worker has seen a higher fencing token.
    FENCED = "fenced"
    #: This run of the task, or a later one, has ended or was stopped.
    SUPERSEDED = "old"
    #: The deadline in the order had passed.
    EXPIRED = "late"
    #: The run does not fit into the worker's free capacity.
    NO_CAPACITY = "room"
    #: The ticket was missing, invalid or expired.
    NO_TICKET = "ticket"
    #: The worker is impaired and has not carried out the order.
    BUSY = "busy"
    #: The worker rejected the order as malformed and has not carried it out.
    INVALID = "invalid"
    #: Another incarnation of the worker is at the address.
    WRONG_INCARNATION = "wrong_life"
    #: The order was not sent.
    NOT_SENT = "not_sent"
    #: The order was not answered; it may have been carried out, or may be later.
    UNKNOWN = "unknown"


@attrs.frozen(slots=True)
class OrderAnswer:
    """A worker's answer to an order.

    :param incarnation: the incarnation of the worker that answered; 0 if none did.
    :param clock_s: the worker's monotonic clock, in seconds; ``None`` if unknown.
    """

    outcome: OrderOutcome
    incarnation: int = 0
    clock_s: float | None = None


@attrs.frozen(slots=True)
class StartOrder:
    """An order to start a run.

    :param text: what to run; opaque to the scheduler.
    :param fence: fencing token of the lead.
    :param lease_until_s: end of the worker's lease, on the worker's clock; all its runs
        must have stopped by then.
    :param checkpoint: checkpoint to resume from; empty if there is none.
    :param ticket: the adviser's ticket; empty if none is needed.
    """

    task: str
    run: int
    text: str
    fence: int
    lease_until_s: float
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen(slots=True)
class Advice:
    """The adviser's answer.

    :param tickets: tickets by worker.
    :param valid_s: validity of the tickets, in seconds.
    """

    tickets: dict[str, str]
    valid_s: float
