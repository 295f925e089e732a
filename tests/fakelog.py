"""An in-memory log whose failures tests can switch on."""

import asyncio
import contextlib
from collections.abc import Sequence

import attrs

from firhook.errors import (
    LogOutcomeUnknownError,
    LogTrimmedError,
    LogUnavailableError,
)
from firhook.model import Envelope, encode_envelope
from firhook.platform.clients import LogEntry, LogPage, LogService


@attrs.define(eq=False)
class FakeLog(LogService):
    """An in-memory log with any number of streams.

    :ivar first: first offset that is still kept, by stream.
    :ivar append_outcome: ``ok``, ``refuse``, ``lose`` (accepted, but the response is
        lost) or ``drop`` (not accepted, and the response is lost).
    :ivar reads_fail: whether reads are refused.
    :ivar sent: the payloads of each append request, in order.
    :ivar grown: set when records are added.
    """

    streams: dict[str, list[bytes]] = attrs.field(factory=dict)
    first: dict[str, int] = attrs.field(factory=dict)
    append_outcome: str = "ok"
    reads_fail: bool = False
    sent: list[tuple[str, tuple[bytes, ...]]] = attrs.field(factory=list)
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    def add_records(self, stream: str, *payloads: bytes) -> int:
        """Add records to a stream and return the offset of the first."""
        records = self.streams.setdefault(stream, [])
        first = len(records)
        records += payloads
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()
        return first

    def write(self, stream: str, lane: str, seq: int, body: object) -> None:
        """Add a record of another instance."""
        self.add_records(stream, encode_envelope(Envelope(lane, seq, body)))

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        await asyncio.sleep(0)
        self.sent.append((stream, tuple(payloads)))
        if self.append_outcome == "refuse":
            raise LogUnavailableError("out")
        if self.append_outcome == "drop":
            raise LogOutcomeUnknownError("lost")
        first = self.add_records(stream, *payloads)
        if self.append_outcome == "lose":
            raise LogOutcomeUnknownError("lost")
        return first

    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        await asyncio.sleep(0)
        if self.reads_fail:
            raise LogUnavailableError("out")
        records = self.streams.setdefault(stream, [])
        first = self.first.get(stream, 0)
        if offset < first:
            raise LogTrimmedError("expired", first=first)
        if offset >= len(records):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.grown.wait(), wait_s)
        entries = tuple(
            LogEntry(i, records[i]) for i in range(offset, len(records))[:100]
        )
        return LogPage(entries, len(records))


async def until(check, timeout_s: float = 10.0) -> None:
    """Wait until a check returns true; the timeout only bounds failing runs."""
    async with asyncio.timeout(timeout_s):
        while not check():
            await asyncio.sleep(0.005)
