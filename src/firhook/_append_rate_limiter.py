"""This instance's part of the log's append rate, urgent records first."""

import asyncio
from collections.abc import Callable

import attrs


@attrs.define(slots=True, eq=False)
class _Waiter:
    fut: asyncio.Future[None]
    is_urgent: Callable[[], bool]


class AppendRateLimiter:
    """A token bucket over this instance's appends to all streams.

    The log takes several hundred appends a second for everyone together.
    Without a bound, one instance with much to record would slow down the
    withdrawals of keys and the renewals of leads of all the others; without
    an order, its own snapshots would hold up its own withdrawals.

    :param appends_per_s: appends a second, and as many at once after a pause.
    """

    def __init__(self, appends_per_s: float) -> None:
        self._appends_per_s = appends_per_s
        self._next_append_at = 0.0
        self._waiters: list[_Waiter] = []
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(self, is_urgent: Callable[[], bool]) -> None:
        """Wait until the next append is within the rate.

        :param is_urgent: asked each time an append becomes free, since something
            urgent may have come to the stream while it waited.
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
