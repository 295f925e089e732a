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


@message
@attrs.frozen(slots=True)
class AppendAsk:
    """Append a keyed record for an instance that the store turns away."""

    key: str
    value: bytes


@message
@attrs.frozen(slots=True)
class AppendReply:
    """What became of it.

    :param outcome: ``taken``, ``refused`` if it certainly was not and will not
        be taken, or ``unknown``.
    """

    outcome: str
    offset: int = -1


@attrs.frozen(slots=True)
class PushedRecord:
    """A record of the cell's topic that was appended."""

    key: str
    value: bytes | None


@message
@attrs.frozen(slots=True)
class RecordsPush:
    """Records that this instance has just appended, for its peers' replicas.

    :param offset: of the first; the others follow it without a gap.
    """

    partition: int
    offset: int
    records: tuple[PushedRecord, ...]


@message
@attrs.frozen(slots=True)
class RecordsAsk:
    """Read the cell's records, and the configuration, for another instance.

    :param offset: read from here on.
    :param config_version: what the asker has.
    """

    offset: int
    config_version: int


@attrs.frozen(slots=True)
class RelayedRecord:
    """A record, as the store keeps it."""

    offset: int
    key: str
    value: bytes | None


@message
@attrs.frozen(slots=True)
class RecordsReply:
    """What a peer read, in answer to the question.

    :param age_s: how old its reading of the configuration is; negative if it
        has none to offer.
    :param config: the configuration as operators wrote it, if it is newer.
    """

    records: tuple[RelayedRecord, ...] = ()
    next_offset: int = 0
    age_s: float = -1.0
    config: bytes | None = None
