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
        self._requests_pass = asyncio.Event()
        self._requests_pass.set()
        self._responses_pass = asyncio.Event()
        self._responses_pass.set()
        self._generation = 0
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
        self._requests_pass.clear()
        self._responses_pass.clear()

    def cut_responses(self) -> None:
        """Let requests through, and no answers."""
        self._responses_pass.clear()

    def heal(self) -> None:
        """Let everything through, first what was held up."""
        self.delay_s = 0.0
        self._requests_pass.set()
        self._responses_pass.set()

    def reset(self) -> None:
        """Break all connections that are open."""
        for writer in list(self._writers):
            writer.transport.abort()

    def blackhole_connections(self) -> None:
        """Let the connections that are open carry nothing any more."""
        self._generation += 1

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
            await self._requests_pass.wait()
            host, _, port = self.target.rpartition(":")
            upstream = await asyncio.open_connection(host, int(port))
            self._writers |= {writer, upstream[1]}
            try:
                await asyncio.gather(
                    self._pump(reader, upstream[1], self._requests_pass),
                    self._pump(upstream[0], writer, self._responses_pass),
                )
            finally:
                self._writers -= {writer, upstream[1]}
        writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        passes: asyncio.Event,
    ) -> None:
        generation = self._generation
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                await passes.wait()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if generation != self._generation:
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()
