"""Workers as they present themselves, and what they answer."""

import enum

import attrs

from firhook.cell._resources import Resources


@attrs.frozen(slots=True)
class WorkerEntry:
    """A worker as it registered itself.

    :param name: its id, which a later life of it may bear again.
    :param incarnation: when it started, in Unix milliseconds; tells its lives apart.
    :param address: ``host:port`` of its interface.
    :param rack: the label that names its rack.
    :param draining: whether it is about to leave and takes no new work.
    :param leaves_in_s: seconds that are left at least while it drains.
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
    #: The other members of its gang did not come in time.
    GANG_TIMED_OUT = "alone"


@attrs.frozen(slots=True)
class RunningRow:
    """A run that a worker lists as running.

    :param checkpoint: its newest checkpoint, or an empty text.
    :param percent: how much of its work is done.
    :param load: the tail in ms for a serving task, else thousandths of a core.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float = 0.0


@attrs.frozen(slots=True)
class EndedRow:
    """A run that a worker lists as ended.

    :param number: counts the ends of this life of the worker, from 1.
    """

    number: int
    task: str
    run: int
    end: RunEnd
    checkpoint: str


@attrs.frozen(slots=True)
class PollReply:
    """A worker's answer to a look at it.

    :param incarnation: the life of the worker that answered.
    :param clock_s: its own steady clock, in seconds.
    """

    incarnation: int
    clock_s: float
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


class OrderOutcome(enum.Enum):
    """What became of an order to a worker."""

    #: It was carried out, now or before.
    APPLIED = "taken"
    #: A higher fencing token has been seen there.
    FENCED = "fenced"
    #: The run ended or was stopped there, or a later one was.
    SUPERSEDED = "old"
    #: The deadline in the order had passed.
    EXPIRED = "late"
    #: It does not fit.
    NO_CAPACITY = "room"
    #: The ticket was missing, wrong or out of date.
    NO_TICKET = "ticket"
    #: The worker is unwell and has done nothing.
    BUSY = "busy"
    #: The worker cannot make sense of it, and has done nothing.
    INVALID = "invalid"
    #: Another life of the worker is at the address.
    WRONG_INCARNATION = "wrong_life"
    #: Nothing was sent.
    NOT_SENT = "not_sent"
    #: No answer: it may have been carried out, or may yet be.
    UNKNOWN = "unknown"


@attrs.frozen(slots=True)
class OrderAnswer:
    """A worker's answer to an order.

    :param incarnation: the life of the worker that answered; 0 if none did.
    :param clock_s: its own clock in seconds, if it answered.
    """

    outcome: OrderOutcome
    incarnation: int = 0
    clock_s: float | None = None


@attrs.frozen(slots=True)
class StartOrder:
    """An order to start a run.

    :param text: what to run.
    :param lease_until_s: on the worker's clock, until when all that runs on it
        may go on.
    :param ticket: the adviser's ticket, or an empty text.
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
    """The adviser's answer: tickets by worker.

    :param valid_s: seconds for which the tickets are good.
    """

    tickets: dict[str, str]
    valid_s: float
