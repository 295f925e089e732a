"""Faults injected from outside the processes, chosen by a seed."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from standins.model import KEY, now
from standins.model._cell import config_body
from standins.soak._callers import KINDS, WITHDRAWN_KEY, Callers
from standins.soak._fleet import Fleet, Member

#: How long after a fault callers may still see its effects.
AFTEREFFECT_S = 3.5
#: Ranges of the interval between two faults and of their duration.
_INTERVAL_RANGE_S, _DURATION_RANGE_S = (0.2, 1.6), (0.3, 3.0)

#: The faults that the soak had when the first seeds became regression tests.  With
#: others in the list, these seeds would choose other faults.
INITIAL_FAULT_KINDS = (
    "kill",
    "stop",
    "pause",
    "hup",
    "cut",
    "cut_back",
    "delay",
    "reset",
    "silence",
    "worker_cut",
    "worker_restart",
    "store_busy",
    "store_slow",
    "store_loses",
    "deal_anew",
    "forget",
)

Fault = Callable[[Member, float], Awaitable[None]]


class FaultInjector:
    """Injects random faults, which may overlap.

    :param kinds: names of the faults to inject; all if empty.
    :ivar history: the faults with their times, members and durations.
    :ivar violations: processes that exited with an unexpected status.
    """

    def __init__(
        self,
        fleet: Fleet,
        callers: Callers,
        rng: random.Random,
        kinds: tuple[str, ...] = (),
    ) -> None:
        self.fleet, self.callers, self.rng = fleet, callers, rng
        self.history: list[str] = []
        self.violations: list[str] = []
        self._faulted: set[str] = set()
        self._started_at = now()
        self._faults: dict[str, Fault] = {
            "kill": self._kill,
            "stop": self._stop,
            "pause": self._pause,
            "hup": self._change_settings,
            "cut": self._cut_store,
            "cut_back": self._cut_responses,
            "delay": self._delay_store,
            "reset": self._reset_connections,
            "silence": self._blackhole,
            "worker_cut": self._worker_cut,
            "worker_restart": self._worker_restart,
            "store_busy": self._store_busy,
            "store_slow": self._store_slow,
            "store_loses": self._store_loses_requests,
            "deal_anew": self._rebalance_partitions,
            "forget": self._expire_history,
            "lead_lost": self._lose_lead_with_late_writes,
            "worker_lost": self._restart_worker_without_store,
            "worker_kind": self._restart_worker_as_other_kind,
        }
        self._kinds = kinds or tuple(self._faults)

    async def run(self, seconds: float) -> None:
        """Inject faults for a while, and wait until all of them have ended."""
        until = now() + seconds
        async with asyncio.TaskGroup() as group:
            withdraw_at = now() + self.rng.uniform(0.1, 0.6) * seconds
            while now() < until:
                kind = self.rng.choice(self._kinds)
                member = self.rng.choice(self.fleet.members)
                duration_s = self.rng.uniform(*_DURATION_RANGE_S)
                group.create_task(self._inject(kind, member, duration_s))
                await asyncio.sleep(self.rng.uniform(*_INTERVAL_RANGE_S))
                if self.callers.withdrawn_at is None and now() > withdraw_at:
                    self._withdraw_key()
        self.fleet.heal()

    async def _inject(self, kind: str, member: Member, duration_s: float) -> None:
        if member.name in self._faulted or not member.is_running:
            return
        self._faulted.add(member.name)
        at = now() - self._started_at
        self.history.append(f"{at:.1f} {kind} {member.name} {duration_s:.1f} s")
        try:
            await self._faults[kind](member, duration_s)
        finally:
            self._faulted.discard(member.name)

    def _withdraw_key(self) -> None:
        keys = [KEY["Authorization"].removeprefix("Bearer ")]
        team = {"name": "a", "api_keys": keys, "weight": 1, "upper_limit": {}}
        self.fleet.model.configure(7, tenants=[team])
        self.callers.withdrawn_at = now()
        self.history.append(f"{now() - self._started_at:.1f} key withdrawn")

    def _mark_disturbed(self, members: list[Member], duration_s: float) -> None:
        for member in members:
            until = now() + duration_s + AFTEREFFECT_S
            member.disturbed_until = max(member.disturbed_until, until)

    # Faults of the processes.

    async def _kill(self, member: Member, duration_s: float) -> None:
        self._mark_disturbed([member], duration_s)
        await self.fleet.kill(member)
        await asyncio.sleep(duration_s)
        await self.fleet.launch(member)

    async def _stop(self, member: Member, duration_s: float) -> None:
        assert member.process is not None
        status = await self.fleet.stop(member)
        # A process that has logged nothing does not listen yet.  The signal may
        # end it, because that cuts no connection.
        not_started = status == -signal.SIGTERM and not member.process.lines
        if status != 0 and not not_started:
            self.violations.append(f"{member.name} exited with {status} when stopped")
        await asyncio.sleep(duration_s / 3)
        await self.fleet.launch(member)

    async def _pause(self, member: Member, duration_s: float) -> None:
        assert member.process is not None
        self._mark_disturbed([member], duration_s)
        member.process.signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        member.process.signal(signal.SIGCONT)

    async def _change_settings(self, member: Member, duration_s: float) -> None:
        """Change the settings file, with or without a SIGHUP."""
        assert member.process is not None
        text = member.settings_path.read_text(encoding="utf-8")
        member.settings_path.write_text(text + "# changed\n", encoding="utf-8")
        if duration_s > sum(_DURATION_RANGE_S) / 2:
            member.process.signal(signal.SIGHUP)

    # Faults of their connections.

    async def _cut_store(self, member: Member, duration_s: float) -> None:
        self._mark_disturbed([member], duration_s)
        member.links["store"].cut()
        await asyncio.sleep(duration_s)
        member.links["store"].heal()

    async def _cut_responses(self, member: Member, duration_s: float) -> None:
        self._mark_disturbed([member], duration_s)
        member.links["store"].cut_responses()
        await asyncio.sleep(duration_s)
        member.links["store"].heal()

    async def _delay_store(self, member: Member, duration_s: float) -> None:
        self._mark_disturbed([member], duration_s)
        member.links["store"].delay_s = self.rng.uniform(0.01, 0.25)
        await asyncio.sleep(duration_s)
        member.links["store"].heal()

    async def _reset_connections(self, member: Member, duration_s: float) -> None:
        self._mark_disturbed([member], 0.0)
        for link in member.links.values():
            link.reset()

    async def _blackhole(self, member: Member, duration_s: float) -> None:
        self._mark_disturbed([member], duration_s)
        for link in member.links.values():
            link.blackhole_connections()

    # Faults of the workers and the store.

    async def _worker_cut(self, member: Member, duration_s: float) -> None:
        link = self.rng.choice(list(self.fleet.worker_links.values()))
        if duration_s > sum(_DURATION_RANGE_S) / 2:
            link.cut_responses()
        else:
            link.cut()
        await asyncio.sleep(duration_s)
        link.heal()

    async def _worker_restart(self, member: Member, duration_s: float) -> None:
        name = self.rng.choice(list(self.fleet.worker_links))
        worker = self.fleet.model.workers[name]
        worker.crash()
        await asyncio.sleep(duration_s)
        worker.restart()
        self.fleet.model.register(name)

    async def _restart_worker_as_other_kind(
        self, member: Member, duration_s: float
    ) -> None:
        """Restart a worker as one of another kind that registers a little later.

        Two workers keep their kinds, so that each kind has one.
        """
        name = self.rng.choice(list(self.fleet.worker_links)[2:])
        worker = self.fleet.model.workers[name]
        worker.crash()
        await asyncio.sleep(duration_s / 2)
        worker.kind = self.rng.choice(KINDS)
        worker.restart()
        await asyncio.sleep(duration_s / 4)
        self.fleet.model.register(name)

    async def _store_busy(self, member: Member, duration_s: float) -> None:
        self._mark_disturbed(self.fleet.members, duration_s)
        self.fleet.model.store.mode["*"] = "busy"
        await asyncio.sleep(duration_s)
        self.fleet.model.store.mode["*"] = "up"

    async def _store_slow(self, member: Member, duration_s: float) -> None:
        self._mark_disturbed(self.fleet.members, duration_s)
        self.fleet.model.store.slow, self.fleet.model.store.serial_appends = 30.0, True
        await asyncio.sleep(duration_s)
        self.fleet.model.store.slow = 1.0

    async def _store_loses_requests(self, member: Member, duration_s: float) -> None:
        self._mark_disturbed(self.fleet.members, duration_s)
        self.fleet.model.store.lost_share = 0.3
        self.fleet.model.store.late_share = 0.1
        await asyncio.sleep(duration_s)
        self.fleet.model.store.lost_share = self.fleet.model.store.late_share = 0.0

    # Faults that come together.

    async def _lose_lead_with_late_writes(
        self, member: Member, duration_s: float
    ) -> None:
        """Kill the lead while the store carries out writes late, and start it again."""
        store, lead = self.fleet.model.store, self.fleet.lead()
        self._mark_disturbed(self.fleet.members, duration_s)
        store.late_share = 0.35
        if lead is not None and lead.name not in self._faulted - {member.name}:
            await asyncio.sleep(duration_s / 4)
            await self.fleet.kill(lead)
            await asyncio.sleep(duration_s / 4)
            await self.fleet.launch(lead)
        await asyncio.sleep(duration_s / 2)
        store.late_share = 0.0

    async def _restart_worker_without_store(
        self, member: Member, duration_s: float
    ) -> None:
        """Restart a worker while the store answers nothing."""
        store = self.fleet.model.store
        self._mark_disturbed(self.fleet.members, duration_s)
        store.mode["*"] = "silent"
        await asyncio.sleep(duration_s / 4)
        await self._worker_restart(member, duration_s / 4)
        await asyncio.sleep(duration_s / 2)
        store.mode["*"] = "up"

    async def _rebalance_partitions(self, member: Member, duration_s: float) -> None:
        """Do nothing, because no instance holds partitions of a consumer group.

        The kind remains so that recorded seeds still choose the same faults.
        """

    async def _expire_history(self, member: Member, duration_s: float) -> None:
        self.fleet.model.store.expire_history()


def initial_teams() -> list[dict]:
    """Return the teams' configuration before any key is withdrawn."""
    team = config_body()["tenants"][0]
    return [{**team, "api_keys": [*team["api_keys"], WITHDRAWN_KEY]}]
