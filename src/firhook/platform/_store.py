"""Client of the platform's store: partitioned logs and the newest value per key."""

import base64
import struct
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Any

import aiohttp
import attrs

from firhook.address import Address
from firhook.errors import (
    FirhookError,
    LogFencedError,
    LogFullError,
    LogMovedError,
    LogOutcomeUnknownError,
    LogRecordRefusedError,
    LogSequenceError,
    LogTrimmedError,
    LogUnavailableError,
)
from firhook.platform._client import NoResponseError, NotSentError, Response, call
from firhook.platform._fields import (
    FieldError,
    get_int,
    get_list,
    get_number,
    parse_json,
)

#: The cell's own records.  A topic whose name starts with "keyed." retains the
#: newest record of each key indefinitely.
CELL_TOPIC = "keyed.firhook"
#: Records that operators write.
OPERATOR_TOPIC = "keyed.op"
#: Registrations of workers.
WORKER_TOPIC = "keyed.servers"

#: Suggested delay before a refused call is retried.
_RETRY_S = 0.5
_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")
#: Added to the time that the store is asked to wait.  A store that takes 60 times
#: its usual 4 ms still answers within it.
_READ_SLACK_S = 1.0
#: Time limit for a complete page.  A page has at most 1 MB, which takes 1.6 s on a
#: link of 5 Mbit/s, and a starting instance reads four partitions concurrently.
#: With the timeout of short responses, instances on such links never received a
#: first page after a power failure of the whole cell.
_MAX_READ_S = 12.0


@attrs.frozen(slots=True)
class Producer:
    """Identity of an append, for deduplication and for fencing off a deposed lead.

    :param epoch: the store refuses an append whose epoch is lower than one it has
        seen.
    :param sequence: number of the append within the epoch.
    """

    name: str
    epoch: int
    sequence: int


@attrs.frozen(slots=True)
class AppendResult:
    """Offset of the first appended record, and the end of the partition."""

    offset: int
    end: int


@attrs.frozen(slots=True)
class KeyedRecord:
    """A record of a keyed topic; ``None`` as the value deletes the key."""

    key: str
    value: bytes | None


@attrs.frozen(slots=True)
class StoredRecord:
    """A record of a keyed topic and its offset."""

    offset: int
    key: str
    value: bytes | None


@attrs.frozen(slots=True)
class Slice:
    """A range of records of a partition.

    :param next_offset: offset after the last returned record.
    :param end: offset of the next record to be appended to the partition.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    end: int


@attrs.frozen(slots=True)
class NewestRecords:
    """The newest record of each key.

    :param end: end of the partition before the first page was read; every record
        before it is reflected.
    """

    records: tuple[StoredRecord, ...]
    end: int


def encode_keyed_record(record: KeyedRecord) -> bytes:
    """Encode a keyed record: length of the key, key and value."""
    key = record.key.encode()
    return bytes((len(key),)) + key + (record.value or b"")


def _decode_keyed_record(offset: int, content: bytes) -> StoredRecord | None:
    if not content or len(content) <= content[0]:
        return None
    end = 1 + content[0]
    try:
        key = content[1:end].decode()
    except UnicodeDecodeError:
        return None
    return StoredRecord(offset, key, content[end:] or None)


class Store(ABC):
    """Client of the platform's store for one instance.

    Every method raises :class:`LogUnavailableError` if the call certainly had no
    effect, and :class:`LogOutcomeUnknownError` if no response came.

    :ivar calls: number of calls by name and outcome.
    """

    calls: dict[str, int]

    @abstractmethod
    async def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[bytes],
        producer: Producer | None = None,
        expected_end: int | None = None,
        timeout_s: float | None = None,
    ) -> AppendResult:
        """Append records atomically; without records, only set the epoch.

        :param expected_end: append only if the partition ends at this offset.
        :raises LogFencedError: if the store has seen a higher epoch.
        :raises LogSequenceError: if the sequence number is not the next one.
        :raises LogMovedError: if the partition does not end at ``expected_end``.
        :raises LogFullError: if the store is full.
        :raises LogRecordRefusedError: if it refuses one of the records each time.
        """

    @abstractmethod
    async def read(
        self, topic: str, partition: int, offset: int, wait_s: float = 0.0
    ) -> Slice:
        """Return the records of a keyed topic from an offset on.

        :param wait_s: how long the store waits for a record if there is none.
        :raises LogTrimmedError: if records from the offset on have expired.
        """

    @abstractmethod
    async def read_newest(
        self, topic: str, partition: int = 0, after: str = "", until: str = ""
    ) -> NewestRecords:
        """Return the newest record of each key of a keyed topic.

        Keys are ordered by their bytes.

        :param after: exclusive lower bound of the keys; none if empty.
        :param until: exclusive upper bound of the keys; none if empty.
        """


class HttpStore(Store):
    """HTTP client of the platform's store.

    :param timeout_s: how long to wait for a response.
    """

    def __init__(
        self, session: aiohttp.ClientSession, address: Address, timeout_s: float = 1.5
    ) -> None:
        self._session = session
        self._url = f"http://{address}/-/log-"
        self._timeout_s = timeout_s
        self.calls: dict[str, int] = {}

    def _count(self, name: str, outcome: str) -> None:
        key = f"{name} {outcome}"
        self.calls[key] = self.calls.get(key, 0) + 1

    async def _call(
        self,
        method: str,
        name: str,
        query: str,
        body: bytes | None,
        timeout_s: float,
        total_timeout_s: float | None = None,
    ) -> Response:
        url = f"{self._url}{name}{query}"
        try:
            response = await call(
                self._session,
                method,
                url,
                timeout_s,
                body,
                total_timeout_s=total_timeout_s,
            )
        except NotSentError as exc:
            self._count(name, "not_sent")
            raise LogUnavailableError(str(exc), retry_after_s=_RETRY_S) from exc
        except NoResponseError as exc:
            self._count(name, "no_answer")
            raise LogOutcomeUnknownError(str(exc), retry_after_s=_RETRY_S) from exc
        self._count(name, str(response.status))
        if response.status in (429, 503):
            raise LogUnavailableError(
                f"the store returned {response.status}", retry_after_s=_RETRY_S
            )
        return response

    async def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[bytes],
        producer: Producer | None = None,
        expected_end: int | None = None,
        timeout_s: float | None = None,
    ) -> AppendResult:
        """See :meth:`Store.append`."""
        query = f"?topic={topic}&part={partition}"
        if producer is not None:
            query += f"&producer={producer.name}&epoch={producer.epoch}"
            query += f"&sequence={producer.sequence}"
        if expected_end is not None:
            query += f"&at={expected_end}"
        body = b"".join(_LENGTH.pack(len(r)) + r for r in records)
        response = await self._call(
            "POST", "append", query, body, timeout_s or self._timeout_s
        )
        if response.status == 200:
            try:
                data = parse_json(response.body)
                return AppendResult(get_int(data, "offset", 0), get_int(data, "end", 0))
            except FieldError as exc:
                raise LogOutcomeUnknownError(str(exc)) from exc
        raise _decode_append_error(response)

    async def read(
        self, topic: str, partition: int, offset: int, wait_s: float = 0.0
    ) -> Slice:
        """See :meth:`Store.read`."""
        query = f"?topic={topic}&part={partition}&from={offset}"
        if wait_s > 0:
            query += f"&wait_ms={int(wait_s * 1000)}"
        response = await self._call(
            "GET", "read", query, None, wait_s + _READ_SLACK_S, _MAX_READ_S
        )
        if response.status == 410:
            raise LogTrimmedError(f"{topic}: offset {offset} has expired")
        if response.status != 200 or len(response.body) < _BOUNDS.size:
            raise LogOutcomeUnknownError(f"the store returned {response.status}")
        return _decode_slice(response.body, offset)

    async def read_newest(
        self, topic: str, partition: int = 0, after: str = "", until: str = ""
    ) -> NewestRecords:
        """See :meth:`Store.read_newest`."""
        records: list[StoredRecord] = []
        end: int | None = None
        while True:
            query = f"?topic={topic}&part={partition}"
            if after:
                query += f"&after={_quote_key(after)}"
            response = await self._call(
                "GET", "newest", query, None, self._timeout_s, _MAX_READ_S
            )
            if response.status != 200:
                raise LogOutcomeUnknownError(f"the store returned {response.status}")
            try:
                data = parse_json(response.body)
                page = [_decode_newest_record(item) for item in get_list(data, "items")]
                # Later pages may include later records; the caller reads those
                # again from the end that the first page reported.
                end = get_int(data, "end", 0) if end is None else end
                more = data.get("has_more") is True
            except FieldError as exc:
                raise LogOutcomeUnknownError(str(exc)) from exc
            found = [record for record in page if record is not None]
            records += [r for r in found if not until or r.key < until]
            beyond = bool(until) and any(r.key >= until for r in found)
            if not more or not page or page[-1] is None or beyond:
                return NewestRecords(tuple(records), end)
            after = page[-1].key


def _decode_newest_record(item: Any) -> StoredRecord | None:
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        return None
    try:
        value = base64.b64decode(item.get("value") or "")
    except (ValueError, TypeError):
        value = b""
    return StoredRecord(int(get_number(item, "offset", 0)), item["key"], value or None)


def _decode_slice(body: bytes, offset: int) -> Slice:
    end, _ = _BOUNDS.unpack_from(body)
    records: list[StoredRecord] = []
    at = _BOUNDS.size
    while at + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        record = _decode_keyed_record(offset, body[at : at + length])
        if record is not None:
            records.append(record)
        at += length
        offset += 1
    return Slice(tuple(records), offset, end)


def _decode_append_error(response: Response) -> FirhookError:
    try:
        data = parse_json(response.body)
    except FieldError:
        data = {}
    reason = data.get("reason")
    if response.status == 409 and reason == "fenced":
        return LogFencedError("the store has seen a higher epoch")
    if response.status == 409 and reason == "seq":
        return LogSequenceError("unexpected sequence number", **_sequence_fields(data))
    if response.status == 412:
        return LogMovedError("unexpected end of the partition", end=data.get("end"))
    if response.status in (400, 413):
        return LogRecordRefusedError(f"the store returned {response.status}")
    if response.status == 507:
        return LogFullError("the store is full", retry_after_s=_RETRY_S)
    return LogOutcomeUnknownError(f"the store returned {response.status}")


def _sequence_fields(data: dict[str, Any]) -> dict[str, Any]:
    return {"expected": data.get("sequence")}


def _quote_key(key: str) -> str:
    # Percent-encodes operators' keys; this system's own keys need no encoding.
    return "".join(
        c
        if (c.isalnum() and c.isascii()) or c in "-._~/"
        else "".join(f"%{b:02X}" for b in c.encode())
        for c in key
    )
