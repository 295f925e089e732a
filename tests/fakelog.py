"""A log in memory with failures on command, and a kernel's bus around a lane."""

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
    """One log of any streams.

    :ivar append_fate: ``ok``, ``refuse``, ``lose`` (taken, but the answer is
        lost) or ``drop`` (the answer is lost and it was not taken).
    :ivar out: whether reading is refused.
    :ivar sent: the payloads of each append, in order.
    """

    streams: dict[str, list[bytes]] = attrs.field(factory=dict)
    first: dict[str, int] = attrs.field(factory=dict)
    append_fate: str = "ok"
    out: bool = False
    sent: list[tuple[str, tuple[bytes, ...]]] = attrs.field(factory=list)
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    def land(self, stream: str, *payloads: bytes) -> int:
        """Take records."""
        records = self.streams.setdefault(stream, [])
        first = len(records)
        records += payloads
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()
        return first

    def write(self, stream: str, lane: str, seq: int, body: object) -> None:
        """Take a record of another instance."""
        self.land(stream, encode_envelope(Envelope(lane, seq, body)))

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        await asyncio.sleep(0)
        self.sent.append((stream, tuple(payloads)))
        if self.append_fate == "refuse":
            raise LogUnavailableError("out")
        if self.append_fate == "drop":
            raise LogOutcomeUnknownError("lost")
        first = self.land(stream, *payloads)
        if self.append_fate == "lose":
            raise LogOutcomeUnknownError("lost")
        return first

    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        await asyncio.sleep(0)
        if self.out:
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
    """Wait until a check holds; the time only bounds a run that has failed."""
    async with asyncio.timeout(timeout_s):
        while not check():
            await asyncio.sleep(0.005)
