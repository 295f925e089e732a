"""Counts the traffic with the platform's log."""

from collections import Counter
from collections.abc import Sequence

from firhook.errors import FirhookError
from firhook.platform._base import LogPage, LogService


class CountingLog(LogService):
    """Log service that counts its traffic for the metrics.

    It wraps the client that all roles share, so the counters show the appends
    that reach the log, however roles batch them.  The log's limit of several
    hundred appends per second is shared by all instances.

    :param inner: log service that does the work.
    :param counters: counters to increase.
    """

    def __init__(self, inner: LogService, counters: Counter[str]) -> None:
        self._inner = inner
        self._counters = counters

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """See :meth:`LogService.append`."""
        self._counters["log_appends"] += 1
        self._counters["log_appended_records"] += len(payloads)
        self._counters["log_appended_bytes"] += sum(map(len, payloads))
        try:
            return await self._inner.append(stream, payloads)
        except FirhookError:
            self._counters["log_append_failures"] += 1
            raise

    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        """See :meth:`LogService.read`."""
        page = await self._inner.read(stream, offset, wait_s)
        self._counters["log_read_records"] += len(page.entries)
        self._counters["log_read_bytes"] += sum(len(e.payload) for e in page.entries)
        return page
