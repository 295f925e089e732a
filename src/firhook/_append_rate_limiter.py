"""Rate limit of an instance's appends to the log, with priority for urgent ones."""

import asyncio
from collections.abc import Callable

import attrs


@attrs.define(slots=True, eq=False)
class _Waiter:
    fut: asyncio.Future[None]
    is_urgent: Callable[[], bool]


class AppendRateLimiter:
    """A token bucket shared by this instance's appends to all streams.

    The log accepts several hundred appends per second from all instances
    together.  Without a limit, one instance with many records would delay the key
    withdrawals and lead renewals of all others; without priorities, its own
    snapshots would delay its own withdrawals.

    :param appends_per_s: the rate, and the size of the burst after a pause.
    """

    def __init__(self, appends_per_s: float) -> None:
        self._appends_per_s = appends_per_s
        self._next_append_at = 0.0
        self._waiters: list[_Waiter] = []
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(self, is_urgent: Callable[[], bool]) -> None:
        """Wait until the rate permits another append.

        :param is_urgent: called each time an append is permitted, since an urgent
            record may have been added to the stream in the meantime.
        """
        fut = asyncio.get_running_loop().create_future()
        waiter = _Waiter(fut, is_urgent)
        self._waiters.append(waiter)
        self._grant()
        try:
            await fut
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _grant(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._next_append_at = max(self._next_append_at, now - 1.0)
        while self._waiters and self._next_append_at <= now:
            waiter = next((w for w in self._waiters if w.is_urgent()), self._waiters[0])
            self._waiters.remove(waiter)
            if waiter.fut.done():
                continue
            waiter.fut.set_result(None)
            self._next_append_at += 1 / self._appends_per_s
        if self._waiters and self._timer is None:
            self._timer = loop.call_at(self._next_append_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._grant()
