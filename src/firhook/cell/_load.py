"""The lead's table of waiting work, from which instances predict waits."""

import math

import attrs
import msgspec

from firhook.errors import RecordMalformedError

#: The most rows of a table, which then takes less than 4 KB with names of 25 bytes.
MAX_LOAD_ROWS = 128
#: Figures are sent as whole numbers of this fraction, which take a third of the bytes
#: of a floating-point number.
_UNIT = 0.01
#: The largest figure that is sent.
_MAX_FIGURE = 1 << 40

_WireRow = tuple[int, int, int, int, int, int, int, int, bool, int]


@attrs.frozen(slots=True)
class LoadRow:
    """The waiting work of one team in one queue.

    :param queue: the queue's address.
    :param priority: the queue's priority; 0 is the most urgent.
    :param work_core_s: core-seconds of the tasks that wait.
    :param late_core_s: the part of it that can no longer meet its objective.
    :param steps: number of steps that these tasks belong to.
    :param advice_s: seconds of adviser answers that are due and not requested yet.
    :param drain_cores: rate at which the team's work starts, in core-seconds per
        second; 0 if it is not known.
    :param inflow_cores: rate at which instances accepted work of this kind lately, in
        core-seconds per second.
    :param is_over: whether the team is above its share of the cell.
    :param longest_wait_s: how long the step that waits longest has waited.
    """

    team: str
    queue: str
    priority: int
    work_core_s: float
    late_core_s: float = 0.0
    steps: int = 0
    advice_s: float = 0.0
    drain_cores: float = 0.0
    inflow_cores: float = 0.0
    is_over: bool = False
    longest_wait_s: float = 0.0


@attrs.frozen(slots=True)
class LoadTable:
    """The waiting work of a crowded cell; without rows if it is not crowded.

    :param epoch: epoch of the lead that made the table.
    :param sequence: number of the table in that epoch.
    :param made_at: when its figures were taken, on the lead's boot clock.
    :param age_s: age of the figures when the table was sent.
    :param arrivals: number of jobs that the lead added in its term.
    :param adviser_slots: number of requests that the adviser answers at the same time.
    :param rows: the rows with most waiting work.
    :param rest: the sum of the other rows; its team and queue are empty.
    """

    epoch: int
    sequence: int
    made_at: float = 0.0
    age_s: float = 0.0
    arrivals: int = 0
    adviser_slots: int = 1
    rows: tuple[LoadRow, ...] = ()
    rest: LoadRow | None = None


@attrs.frozen(slots=True)
class _Wire:
    """A table as it is sent: rows name their team and queue by its index."""

    epoch: int
    sequence: int
    made_at: float
    age_s: float
    arrivals: int
    adviser_slots: int
    teams: tuple[str, ...]
    queues: tuple[tuple[str, int], ...]
    rows: tuple[_WireRow, ...]
    rest: _WireRow | None


def encode_load_table(table: LoadTable) -> bytes:
    """Encode a table for the lead's heartbeat."""
    teams: dict[str, int] = {}
    queues: dict[tuple[str, int], int] = {}
    rows = [_wire_row(row, teams, queues) for row in table.rows]
    rest = None if table.rest is None else _wire_row(table.rest, teams, queues)
    return msgspec.msgpack.encode(
        (
            table.epoch,
            table.sequence,
            table.made_at,
            table.age_s,
            table.arrivals,
            table.adviser_slots,
            list(teams),
            list(queues),
            rows,
            rest,
        )
    )


def _wire_row(
    row: LoadRow, teams: dict[str, int], queues: dict[tuple[str, int], int]
) -> _WireRow:
    return (
        teams.setdefault(row.team, len(teams)),
        queues.setdefault((row.queue, row.priority), len(queues)),
        _figure(row.work_core_s),
        _figure(row.late_core_s),
        row.steps,
        _figure(row.advice_s),
        _figure(row.drain_cores),
        _figure(row.inflow_cores),
        row.is_over,
        _figure(row.longest_wait_s),
    )


def _figure(value: float) -> int:
    return round(min(max(value / _UNIT, 0.0), _MAX_FIGURE))


_WIRE_FIELDS = tuple[
    int,
    int,
    float,
    float,
    int,
    int,
    tuple[str, ...],
    tuple[tuple[str, int], ...],
    tuple[_WireRow, ...],
    _WireRow | None,
]


def decode_load_table(raw: bytes) -> LoadTable:
    """Decode a table and check its figures.

    It is encoded apart from the heartbeat that contains it: a table that cannot be
    decoded must not make an instance miss the heartbeat, after which it would campaign
    for the lead.

    :raises RecordMalformedError: if the bytes are not a table, or a figure is negative
        or not finite.
    """
    try:
        wire = _Wire(*msgspec.msgpack.decode(raw, type=_WIRE_FIELDS))
        rows = tuple(_row(row, wire) for row in wire.rows)
        rest = None if wire.rest is None else _row(wire.rest, wire)
    except (msgspec.MsgspecError, IndexError, ValueError) as exc:
        raise RecordMalformedError(f"LoadTable: {exc}") from exc
    if len(rows) > MAX_LOAD_ROWS:
        raise RecordMalformedError(f"LoadTable: {len(rows)} rows")
    counts = (wire.epoch, wire.sequence, wire.age_s, wire.arrivals)
    if not all(0 <= count < math.inf for count in counts):
        raise RecordMalformedError("LoadTable: a figure is negative or not finite")
    if not math.isfinite(wire.made_at) or wire.adviser_slots < 1:
        raise RecordMalformedError("LoadTable: no time, or no adviser slot")
    return LoadTable(
        wire.epoch,
        wire.sequence,
        wire.made_at,
        wire.age_s,
        wire.arrivals,
        wire.adviser_slots,
        rows,
        rest,
    )


def _row(row: _WireRow, wire: _Wire) -> LoadRow:
    team, queue, work, late, steps, advice, drain, inflow, is_over, wait = row
    figures = (team, queue, work, late, steps, advice, drain, inflow, wait)
    if not all(0 <= figure <= _MAX_FIGURE for figure in figures):
        raise ValueError("a figure is out of range")
    address, priority = wire.queues[queue]
    return LoadRow(
        wire.teams[team],
        address,
        priority,
        work * _UNIT,
        late * _UNIT,
        steps,
        advice * _UNIT,
        drain * _UNIT,
        inflow * _UNIT,
        is_over,
        wait * _UNIT,
    )
