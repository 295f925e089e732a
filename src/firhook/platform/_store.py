"""The platform's store: partitions of records, and newest values."""

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

#: The cell's own records.  A topic whose name begins so keeps the newest record
#: of each key for good.
CELL_TOPIC = "keyed.firhook"
#: What operators write.
OPERATOR_TOPIC = "keyed.op"
#: Where workers register.
WORKER_TOPIC = "keyed.servers"

#: When a refused call makes sense again, in seconds.
_RETRY_S = 0.5
_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")
#: A read waits so much longer for its answer than it asks the store to wait;
#: a store that answers 60 times slower than its 4 ms is still heard.
_READ_SLACK_S = 1.0
#: The longest that one page may take to arrive.  A page has 1 MB at most, which
#: takes 1.6 s on a link of 5 Mbit/s, and four partitions are read side by side
#: when an instance starts.  With a limit as for short answers, instances on such
#: links never got a first page after all had been without power.
_MAX_READ_S = 12.0


@attrs.frozen(slots=True)
class Producer:
    """Who appends, so that a repeat is recognised and an old lead refused.

    :param epoch: an append with an epoch lower than one seen is refused.
    :param sequence: numbers the appends of an epoch.
    """

    name: str
    epoch: int
    sequence: int


@attrs.frozen(slots=True)
class AppendResult:
    """Where records landed, and the offset that the next one will get."""

    offset: int
    end: int


@attrs.frozen(slots=True)
class KeyedRecord:
    """A record of a keyed topic; without a value the key is dropped."""

    key: str
    value: bytes | None


@attrs.frozen(slots=True)
class StoredRecord:
    """A record with its offset."""

    offset: int
    key: str
    value: bytes | None


@attrs.frozen(slots=True)
class Slice:
    """Part of a partition, and the offset after its last record.

    :param next_offset: the offset after the last record returned.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    end: int


@attrs.frozen(slots=True)
class NewestRecords:
    """The newest record of each key.

    :param end: where the partition ended before the first page was read: all
        records before it are accounted for.
    """

    records: tuple[StoredRecord, ...]
    end: int


def encode_keyed_record(record: KeyedRecord) -> bytes:
    """Return a keyed record's content."""
    key = record.key.encode()
    return bytes((len(key),)) + key + (record.value or b"")


def _decode_keyed_record(offset: int, content: bytes) -> StoredRecord | None:
    if not content:
        return None
    end = 1 + content[0]
    try:
        key = content[1:end].decode()
    except UnicodeDecodeError:
        return None
    return StoredRecord(offset, key, content[end:] or None)


class Store(ABC):
    """The platform's store, as one instance reaches it.

    Every method raises :class:`LogUnavailableError` if the store certainly did
    nothing, and :class:`LogOutcomeUnknownError` if no answer came.

    :ivar calls: how many calls ended how, by name and outcome.
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
        """Append records, all or none; without records only set the epoch.

        :param expected_end: append only if the partition ends there.
        :raises LogFencedError: if a higher epoch has been seen.
        :raises LogSequenceError: if the sequence number is not the next one.
        :raises LogMovedError: if the partition ends elsewhere.
        :raises LogFullError: if there is no space.
        """

    @abstractmethod
    async def read(
        self, topic: str, partition: int, offset: int, wait_s: float = 0.0
    ) -> Slice:
        """Return the records of a keyed topic from an offset on.

        :param wait_s: how long the store waits if there are none yet.
        :raises LogTrimmedError: if records from the offset on have expired.
        """

    @abstractmethod
    async def read_newest(
        self, topic: str, partition: int = 0, after: str = "", until: str = ""
    ) -> NewestRecords:
        """Return the newest record of each key of a keyed topic.

        :param after: only of keys beyond this one, in the order of their bytes.
        :param until: only of keys before this one; of all if empty.
        """


class HttpStore(Store):
    """Client of the platform's store; the only one.

    :param timeout_s: how long to wait for an answer.
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
            answer = await call(
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
        self._count(name, str(answer.status))
        if answer.status in (429, 503):
            raise LogUnavailableError(
                f"the store answered {answer.status}", retry_after_s=_RETRY_S
            )
        return answer

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
        answer = await self._call(
            "POST", "append", query, body, timeout_s or self._timeout_s
        )
        if answer.status == 200:
            try:
                data = parse_json(answer.body)
                return AppendResult(get_int(data, "offset", 0), get_int(data, "end", 0))
            except FieldError as exc:
                raise LogOutcomeUnknownError(str(exc)) from exc
        raise _decode_append_error(answer)

    async def read(
        self, topic: str, partition: int, offset: int, wait_s: float = 0.0
    ) -> Slice:
        """See :meth:`Store.read`."""
        query = f"?topic={topic}&part={partition}&from={offset}"
        if wait_s > 0:
            query += f"&wait_ms={int(wait_s * 1000)}"
        answer = await self._call(
            "GET", "read", query, None, wait_s + _READ_SLACK_S, _MAX_READ_S
        )
        if answer.status == 410:
            raise LogTrimmedError(f"{topic} from {offset}")
        if answer.status != 200 or len(answer.body) < _BOUNDS.size:
            raise LogOutcomeUnknownError(f"the store answered {answer.status}")
        return _decode_slice(answer.body, offset)

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
            answer = await self._call(
                "GET", "newest", query, None, self._timeout_s, _MAX_READ_S
            )
            if answer.status != 200:
                raise LogOutcomeUnknownError(f"the store answered {answer.status}")
            try:
                data = parse_json(answer.body)
                page = [_decode_newest_record(item) for item in get_list(data, "items")]
                # Later pages may show later records; those are read again from
                # the end that the first page told.
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


def _decode_append_error(answer: Response) -> FirhookError:
    try:
        data = parse_json(answer.body)
    except FieldError:
        data = {}
    # The field tells why a call was refused.
    reason = data.get("reason")
    if answer.status == 409 and reason == "fenced":
        return LogFencedError("a higher epoch has been seen")
    if answer.status == 409 and reason == "seq":
        return LogSequenceError(
            "another sequence number is expected", **_sequence_fields(data)
        )
    if answer.status == 412:
        return LogMovedError("the partition ends elsewhere", end=data.get("end"))
    if answer.status == 507:
        return LogFullError("the store is full", retry_after_s=_RETRY_S)
    return LogOutcomeUnknownError(f"the store answered {answer.status}")


def _sequence_fields(data: dict[str, Any]) -> dict[str, Any]:
    return {"expected": data.get("sequence")}


def _quote_key(key: str) -> str:
    # Keys are our own or operators'; a slash is the only other sign in ours.
    return "".join(
        c
        if (c.isalnum() and c.isascii()) or c in "-._~/"
        else "".join(f"%{b:02X}" for b in c.encode())
        for c in key
    )
