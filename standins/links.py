"""A link between two processes that can be cut, slowed, reset and healed.

A cut link swallows what is sent, as a network that is parted does: nothing is
refused and nothing is answered.  What was under way when it was cut arrives
when it heals, late, even if its sender has given up long since.  Cut one way,
requests arrive and their answers do not.  Silenced, the connections that are
open never carry anything again, while new ones work.
"""

import asyncio
import contextlib


class Link:
    """Forwards TCP connections on loopback to a target.

    :param target: ``host:port`` of the process behind the link.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        self._there = asyncio.Event()
        self._there.set()
        self._back = asyncio.Event()
        self._back.set()
        self._epoch = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self.address

    def cut(self) -> None:
        """Let nothing through from now on."""
        self._there.clear()
        self._back.clear()

    def cut_back(self) -> None:
        """Let requests through, and no answers."""
        self._back.clear()

    def heal(self) -> None:
        """Let everything through, first what was held up."""
        self.delay_s = 0.0
        self._there.set()
        self._back.set()

    def reset(self) -> None:
        """Break all connections that are open."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Let the connections that are open carry nothing any more."""
        self._epoch += 1

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._there.wait()
            host, _, port = self.target.rpartition(":")
            there = await asyncio.open_connection(host, int(port))
            self._writers |= {writer, there[1]}
            try:
                await asyncio.gather(
                    self._pump(reader, there[1], self._there),
                    self._pump(there[0], writer, self._back),
                )
            finally:
                self._writers -= {writer, there[1]}
        writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        passable: asyncio.Event,
    ) -> None:
        epoch = self._epoch
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                await passable.wait()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if epoch != self._epoch:
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()
