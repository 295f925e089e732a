"""Messages between the instances of a cell."""

import attrs

from firhook._codec import message


@attrs.frozen(slots=True)
class WorkerTicket:
    """The adviser's permission for one worker."""

    worker: str
    ticket: str


@message
@attrs.frozen(slots=True)
class AdviceAsk:
    """Ask the adviser, as this instance, about a step."""

    step: str
    workers: tuple[str, ...]
    timeout_s: float


@message
@attrs.frozen(slots=True)
class AdviceReply:
    """The adviser's answer; not ``answered`` if none came."""

    answered: bool
    tickets: tuple[WorkerTicket, ...] = ()
    valid_s: float = 0.0


@attrs.frozen(slots=True)
class PushedRecord:
    """A record of the cell's topic that was appended."""

    key: str
    value: bytes | None


@attrs.frozen(slots=True)
class PushedBatch:
    """Records of one partition that follow each other without a gap.

    :param offset: of the first.
    """

    partition: int
    offset: int
    records: tuple[PushedRecord, ...]


@message
@attrs.frozen(slots=True)
class RecordsPush:
    """Records that were just appended, for the replicas of peers."""

    batches: tuple[PushedBatch, ...]


@message
@attrs.frozen(slots=True)
class LeadAlive:
    """The lead says that it leads.

    :param newest: the version of the newest record that it has written.
    """

    epoch: int
    name: str
    newest: int


@message
@attrs.frozen(slots=True)
class LeadOffer:
    """Ask an instance to take the cell over from the lead that asks."""

    epoch: int


@message
@attrs.frozen(slots=True)
class LeadOfferReply:
    """Whether the instance takes the cell over now."""

    taken: bool


@message
@attrs.frozen(slots=True)
class StrongerHere:
    """Tell the lead that a much stronger instance is ready to lead."""

    name: str
