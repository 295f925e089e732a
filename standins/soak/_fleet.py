"""Instances as processes, each behind its own links to its dependencies."""

import asyncio
import signal
from pathlib import Path

import attrs

from standins.links import Link
from standins.model import HttpModel, Process, ReservedPorts

#: The platform kills a process that has not stopped after this time.
STOP_GRACE_S = 6.0


@attrs.define(eq=False)
class Member:
    """A machine with its present process and its links.

    :ivar links: its links to the store and the adviser.
    :ivar disturbed_until: until when a fault may affect its callers.
    :ivar stopping: whether its process was asked to stop and not started since.
    :ivar earlier_lines: log lines of its earlier processes.
    """

    name: str
    ports: tuple[int, ...]
    settings_path: Path
    links: dict[str, Link]
    process: Process | None = None
    disturbed_until: float = 0.0
    stopping: bool = False
    earlier_lines: list[dict] = attrs.field(factory=list)

    def log_lines(self) -> list[dict]:
        """Return the log lines of all its processes."""
        return self.earlier_lines + (
            self.process.lines if self.process is not None else []
        )

    @property
    def is_running(self) -> bool:
        """Whether its process is running."""
        return self.process is not None and self.process.process.returncode is None

    def address(self) -> str:
        """Return the address that callers connect to."""
        return f"127.0.0.1:{self.ports[0]}"


class Fleet:
    """Starts, signals and restarts instances."""

    def __init__(self, model: HttpModel, folder: Path, count: int) -> None:
        self.model = model
        self.worker_links: dict[str, Link] = {}
        self.members: list[Member] = []
        self._folder, self._count = folder, count
        self._ports = ReservedPorts()

    async def start(self) -> None:
        """Put every worker behind a link, and start the instances."""
        for name in self.model.workers:
            self.worker_links[name] = await _start_link(self.model.addresses[name])
            self.model.addresses[name] = self.worker_links[name].address
            self.model.register(name)
        for i in range(self._count):
            await self._add(f"i{i}")

    async def _add(self, name: str) -> None:
        links = {
            "store": await _start_link(self.model.addresses["store"]),
            "adviser": await _start_link(await self.model.add_adviser(name)),
        }
        ports = self._ports.take(3)
        path = self.model.settings(
            self._folder, name, ports, links["store"].address, links["adviser"].address
        )
        member = Member(name, ports, path, links)
        self.members.append(member)
        await self.launch(member)

    async def launch(self, member: Member) -> None:
        """Start a new process on a machine, as the platform does."""
        if member.process is not None:
            member.earlier_lines += member.process.lines
        member.process = Process(member.settings_path, member.ports)
        member.stopping = False
        await member.process.start()

    def lead(self) -> Member | None:
        """Return a machine whose process says that it leads."""
        running = (m for m in self.members if m.process is not None and m.is_running)
        return next((m for m in running if m.process.leads()), None)

    async def kill(self, member: Member) -> None:
        """Kill a machine's process and wait until it has exited."""
        if member.process is not None and member.is_running:
            member.process.signal(signal.SIGCONT)
            member.process.signal(signal.SIGKILL)
            await member.process.process.wait()

    async def stop(self, member: Member) -> int:
        """Stop a process, by force after the grace period; return its exit status."""
        assert member.process is not None
        member.stopping = True
        member.process.signal(signal.SIGTERM)
        try:
            waiting = member.process.process.wait()
            return await asyncio.wait_for(waiting, STOP_GRACE_S)
        except TimeoutError:
            await self.kill(member)
            return -signal.SIGKILL

    def heal(self) -> None:
        """Restore all links."""
        links = [link for m in self.members for link in m.links.values()]
        for link in [*links, *self.worker_links.values()]:
            link.heal()

    async def close(self) -> None:
        """Stop all processes and links."""
        for member in self.members:
            if member.process is not None:
                if member.is_running:
                    member.process.signal(signal.SIGCONT)
                await member.process.end()
            for link in member.links.values():
                await link.close()
        for link in self.worker_links.values():
            await link.close()
        self._ports.close()


async def _start_link(target: str) -> Link:
    link = Link(target)
    await link.start()
    return link
