"""A TCP link between two processes that injects network faults.

A cut link behaves as a network partition: connections are neither refused nor
answered.  Data that was sent before or during the cut is delivered late, when the
link heals, even if its sender has timed out.  With only responses cut, requests
are delivered and their responses are not.  Blackholed connections stay open and
drop all data, while new connections work.
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
        """Hold all data back in both directions until the link heals."""
        self._requests_pass.clear()
        self._responses_pass.clear()

    def cut_responses(self) -> None:
        """Hold responses back until the link heals, and deliver requests."""
        self._responses_pass.clear()

    def heal(self) -> None:
        """Remove the delay and deliver all data, beginning with what was held back."""
        self.delay_s = 0.0
        self._requests_pass.set()
        self._responses_pass.set()

    def reset(self) -> None:
        """Abort all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def blackhole_connections(self) -> None:
        """Drop all further data on the connections that are now open."""
        self._generation += 1

    async def close(self) -> None:
        """Stop listening and close all connections."""
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
