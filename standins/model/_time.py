"""An event loop in virtual time."""

import asyncio


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer.

    Minutes pass in milliseconds, and every run is the same.
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
    """Wait in virtual time."""
    await asyncio.sleep(seconds)


def now() -> float:
    """Return the virtual time."""
    return asyncio.get_running_loop().time()
