"""An event loop in virtual time."""

import asyncio


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer.

    Minutes of virtual time pass in milliseconds, and every run with the same seed is
    the same.
    """

    def __init__(self) -> None:
        super().__init__()
        self._virtual = 1000.0
        self._selector.select = self._skip

    def _skip(self, timeout: float | None = None) -> list:
        if timeout:
            self._virtual += timeout
        return []

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual


async def pause(seconds: float) -> None:
    """Wait on the clock of the running loop, virtual or real."""
    await asyncio.sleep(seconds)


def now() -> float:
    """Return the time of the running loop, virtual or real, in seconds."""
    return asyncio.get_running_loop().time()
