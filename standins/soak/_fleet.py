"""Instances as processes, each behind links of its own to all that it reaches."""

import asyncio
import signal
from pathlib import Path

import attrs

from standins.links import Link
from standins.model import HttpModel, Process, ReservedPorts

#: The platform kills a process that was told to stop after this, in seconds.
STOP_GRACE_S = 6.0


@attrs.define(eq=False)
class Member:
    """One machine: the process on it now, and its links.

    :ivar disturbed_until: until when a fault on it or near it may break what
        its callers see.
    :ivar stopping: whether it was told to stop and has not ended.
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
        """Return what all its processes logged."""
        return self.earlier_lines + (
            self.process.lines if self.process is not None else []
        )

    @property
    def is_running(self) -> bool:
        """Whether its process lives."""
        return self.process is not None and self.process.process.returncode is None

    def address(self) -> str:
        """Return where callers connect."""
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
        """Start a machine's process anew, as the platform does."""
        if member.process is not None:
            member.earlier_lines += member.process.lines
        member.process = Process(member.settings_path, member.ports)
        member.stopping = False
        await member.process.start()

    async def kill(self, member: Member) -> None:
        """End a machine's process at once."""
        if member.process is not None and member.is_running:
            member.process.signal(signal.SIGCONT)
            member.process.signal(signal.SIGKILL)
            await member.process.process.wait()

    async def stop(self, member: Member) -> int:
        """Tell a process to stop, and kill it if it does not; return its status."""
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
        """Undo all that was done to links and workers."""
        links = [link for m in self.members for link in m.links.values()]
        for link in [*links, *self.worker_links.values()]:
            link.heal()

    async def close(self) -> None:
        """End everything that was started."""
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
