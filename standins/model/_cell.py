"""Instances of firhook over the model of the platform."""

import asyncio
import contextlib
import inspect
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import msgspec
from multidict import CIMultiDict

from firhook._instance import Instance, InstanceService, load_services
from firhook._mesh import pack_frame
from firhook._peer_messages import DigestPush, RecordsPush
from firhook.address import Address
from firhook.cell import JobStatus, Resources
from firhook.clock import set_clocks
from firhook.errors import FirhookError, PeerUnreachableError
from firhook.platform.connections import Connections
from firhook.platform.instance import Bounds, InstanceSettings, StoreLimits
from firhook.platform.store import (
    OPERATOR_TOPIC,
    WORKER_TOPIC,
)
from firhook.platform.workers import Workers
from firhook.services._callers import Callers
from firhook.services._events import (
    AskInstance,
    RegisterMessageHandler,
    SendToInstance,
    SendToInstances,
)
from firhook.services._members import Registration, read_members
from standins.model._adviser import ModelAdviser
from standins.model._checks import Checks
from standins.model._store import ModelStore
from standins.model._time import VirtualLoop, now, pause
from standins.model._workers import Gangs, ModelWorker, ModelWorkers, TaskPlan

HOST = "jobs.example"
KEY = "key-of-a"
NETWORK_DELAY_S = 0.001
#: What the transport adds to a message, in bytes.
MESSAGE_OVERHEAD = 120
#: How long callers take to leave an instance that is told to stop.
CALLER_LEAVE_S = 2.6
#: The messages that tell instances of new records.
PUSH_MESSAGES = (RecordsPush, DigestPush)


def run_virtual(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time, and return its result."""
    loop = VirtualLoop()
    set_clocks(loop.time, lambda: 1_700_000_000 + loop.time())
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        with contextlib.suppress(RuntimeError):
            loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
        set_clocks()


class _Gate:
    """Lets an instance's calls through, unless it is frozen or dead."""

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.open.set()

    async def wait_open(self) -> None:
        await self.open.wait()


class _GatedClient:
    """A client whose calls wait at the instance's gate."""

    def __init__(self, client: Any, gate: _Gate) -> None:
        self._client, self._gate = client, gate

    def __getattr__(self, name: str) -> Any:
        attr = getattr(self._client, name)
        if not asyncio.iscoroutinefunction(attr):
            return attr

        async def call(*args: Any, **kwargs: Any) -> Any:
            await self._gate.wait_open()
            result = await attr(*args, **kwargs)
            await self._gate.wait_open()
            return result

        return call


class ModelConnections(Connections):
    """The model as one instance reaches it."""

    def __init__(self, cell: "ModelCell", name: str, gate: _Gate) -> None:
        self._cell, self._name, self._gate = cell, name, gate
        self.store = _GatedClient(cell.store.client(name), gate)
        self.adviser = (
            _GatedClient(cell.adviser.client(name), gate) if cell.adviser else None
        )

    def workers(self, may_send: Callable[[], bool]) -> Workers:
        """See :meth:`Connections.workers`."""
        cell = self._cell
        client = ModelWorkers(
            cell.workers,
            self._name,
            may_send,
            cell.rng,
            lambda: cell.send_bytes_over_link(self._name, cell.order_bytes),
        )
        return _GatedClient(client, self._gate)


class ModelMesh(InstanceService):
    """Carries messages between the instances of the model."""

    cell: "ModelCell"

    def register_handlers(self) -> None:
        """Offer questions to peers."""
        self.handlers: dict[type, Callable[[Any], Any]] = {}
        self.bus.register_handler(AskInstance, self._ask)
        self.bus.subscribe(RegisterMessageHandler, self._on_serve)
        self.bus.subscribe(SendToInstances, self._on_broadcast)
        self.bus.subscribe(SendToInstance, self._on_send)

    def _on_broadcast(self, event: SendToInstances) -> None:
        names = self.cell.instances if event.names is None else event.names
        for name in list(names):
            self._on_send(SendToInstance(name, event.body))

    def _on_send(self, event: SendToInstance) -> None:
        name, peer = event.peer, self.cell.instances.get(event.peer)
        cut = {self.settings.name, name} in self.cell.cut_links
        if name == self.settings.name or peer is None or not peer.alive or cut:
            return
        if not peer.gate.open.is_set() or self.cell.rng.random() < self.cell.drop_share:
            return
        handler = peer.instance.services["mesh"].handlers.get(type(event.body))
        if handler is not None:
            self.cell.received_pushes += isinstance(event.body, PUSH_MESSAGES)
            late_s = self.cell.jitter_s * self.cell.rng.random()
            late_s += self.cell.send_over_link(self.settings.name, name, event.body)
            self.add_future(
                self._deliver(handler, event.body, NETWORK_DELAY_S + late_s)
            )

    @staticmethod
    async def _deliver(
        handler: Callable[[Any], Any], body: Any, after_s: float
    ) -> None:
        await pause(after_s)
        answer = handler(body)
        if inspect.isawaitable(answer):
            await answer

    def _on_serve(self, event: RegisterMessageHandler) -> None:
        self.handlers[event.kind] = event.handler

    async def on_started(self) -> None:
        """Register."""
        self.add_future(self._register())

    async def _register(self) -> None:
        while True:
            with contextlib.suppress(FirhookError):
                await read_members(self.store, self.replica)
                break
            await pause(0.1)
        await Registration(self, self.settings.name).run()

    async def _ask(self, query: AskInstance) -> Any:
        try:
            async with asyncio.timeout(query.timeout_s):
                return await self._ask_over_link(query)
        except TimeoutError as exc:
            raise PeerUnreachableError(query.peer) from exc

    async def _ask_over_link(self, query: AskInstance) -> Any:
        await pause(
            NETWORK_DELAY_S
            + self.cell.send_over_link(self.settings.name, query.peer, query.body)
        )
        peer = self.cell.instances.get(query.peer)
        pair = {self.settings.name, query.peer}
        if (
            peer is None
            or not peer.alive
            or any(pair == c for c in self.cell.cut_links)
        ):
            await pause(query.timeout_s)
            raise PeerUnreachableError(query.peer)
        handler = peer.instance.services["mesh"].handlers[type(query.body)]
        try:
            answer = handler(query.body)
            if inspect.isawaitable(answer):
                answer = await answer
        except FirhookError as exc:
            raise PeerUnreachableError(query.peer) from exc
        await pause(self.cell.send_over_link(query.peer, self.settings.name, answer))
        return answer


class ModelCallers(Callers):
    """The callers' interface without sockets."""

    async def _listen(self, handler: Any, address: Address, sock: Any = None) -> None:
        """Listen nowhere."""

    async def drain(self) -> None:
        """Wait as long as callers take to leave."""
        await pause(CALLER_LEAVE_S)


class _Content:
    def __init__(self, body: bytes) -> None:
        self._body = body

    async def iter_any(self) -> Any:
        """Return the body at once."""
        yield self._body


@attrs.define
class ModelRequest:
    """A caller's request as the callers' interface sees it."""

    method: str
    path: str
    body: bytes = b""
    key: str = KEY
    host: str = HOST
    deadline_ms: int = 3000

    @property
    def headers(self) -> CIMultiDict[str]:
        """Its headers."""
        return CIMultiDict(
            {
                "Host": self.host,
                "Authorization": f"Bearer {self.key}",
                "Deadline-Ms": str(self.deadline_ms),
            }
        )

    @property
    def content_length(self) -> int:
        """Its body's length."""
        return len(self.body)

    @property
    def content(self) -> _Content:
        """Its body."""
        return _Content(self.body)


@attrs.define(eq=False)
class ModelInstance:
    """An instance, and what can be done to it."""

    instance: Instance
    gate: _Gate
    alive: bool = True

    @property
    def lead(self) -> Any:
        """Its lead service."""
        return self.instance.services["lead"]

    @property
    def leads(self) -> bool:
        """Whether it leads and may give orders."""
        return self.alive and self.lead.term is not None and self.lead.may_act()

    async def call(self, req: ModelRequest) -> tuple[int, Any]:
        """Send a caller's request; return status and body."""
        resp = await self.instance.services["callers"]._handle(req)
        body = msgspec.json.decode(resp.body) if resp.body else None
        return resp.status, body


def config_body(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration as operators write it."""
    queue = {
        "name": "q-plan",
        "host": HOST,
        "path_prefix": "/plan/",
        "service": "pool",
        "priority": 1,
        "max_attempts": 3,
        "slack_factor": 2.0,
        "target_duration_ms": 1000,
        "allow_anonymous": False,
    }
    quote = {**queue, "name": "q-quote", "path_prefix": "/quote/", "priority": 0}
    body = {
        "version": version,
        "routes": [queue, quote],
        "services": [{"name": "pool", "enforce_capacity": False, "standby": False}],
        "limits": {"max_body_bytes": 262144},
        "tenants": [{"name": "a", "api_keys": [KEY], "weight": 1, "upper_limit": {}}],
    }
    return {**body, **changes}


class ModelCell:
    """A cell: the platform, some instances, and callers.

    :param advised: whether the adviser is asked before each start.
    :param strengths: processors of instances, in cores; 1 where nothing is said.
    :param zones: of instances, by name; the same one where nothing is said.
    :ivar drops: the share of one-way messages between instances that are lost.
    :ivar jitter_s: how much later than others such a message may arrive.
    :ivar told: such messages with records that arrived.
    :ivar link_bytes_s: what an instance's link carries in a second, by name; the
        messages that it sends wait behind each other.  Endless where nothing is said.
    :ivar order_bytes: what an order to a worker takes of that.
    :ivar sent_bytes: bytes of messages by sender, receiver and kind.
    :ivar longest_wait_s: the longest that a message waited at each instance's link.
    """

    def __init__(
        self,
        instances: int = 3,
        workers: int = 6,
        seed: int = 1,
        advised: bool = False,
        bounds: Bounds | None = None,
        strengths: dict[str, float] | None = None,
        zones: dict[str, str] | None = None,
    ) -> None:
        self.strengths = strengths or {}
        self.zones = zones or {}
        self.rng = random.Random(seed)
        self.store = ModelStore(seed)
        self.checks = Checks()
        self.adviser = ModelAdviser(0.05, 0.001, 2.0, 0.6) if advised else None
        self.advised = advised
        self.bounds = bounds or Bounds()
        self.plans: dict[str, TaskPlan] = {}
        self.cut_links: list[set[str]] = []
        self.drop_share = 0.02
        self.jitter_s = 0.0
        self.received_pushes = 0
        self.link_bytes_s: dict[str, float] = {}
        self.order_bytes = 0
        self.sent_bytes: Counter[tuple[str, str, str]] = Counter()
        self.longest_wait_s: Counter[str] = Counter()
        self._link_free_at: dict[str, float] = {}
        self.accepted: dict[str, str] = {}
        self._gangs = Gangs()
        self.workers: dict[str, ModelWorker] = {}
        self.instances: dict[str, ModelInstance] = {}
        self._count = instances
        self._worker_count = workers
        self._jobs = 0

    async def begin(self) -> None:
        """Start everything and wait until there is a lead."""
        self.configure(1)
        for i in range(self._worker_count):
            self.add_worker(f"w{i}", f"r1-{i // 3}")
        for i in range(self._count):
            await self.add_instance(f"i{i}")
        await self.until(lambda: self.lead() is not None, 5.0)
        await pause(0.5)

    def configure(self, version: int, **changes: Any) -> None:
        """Put a configuration in force, as operators do."""
        body = config_body(version, **changes)
        if self.advised:
            for queue in body["routes"]:
                plain = {"decision_ms": 50, "per_item_ms": 1, "validity_ms": 2000}
                queue.setdefault("recommendation", plain)
        self.store.put(OPERATOR_TOPIC, "config", msgspec.json.encode(body))

    def add_worker(
        self, name: str, rack: str, cpu_m: int = 8000, zone: str = "z0"
    ) -> ModelWorker:
        """Add a worker and register it."""
        worker = ModelWorker(
            name,
            Resources(cpu_m, 65536),
            rack,
            zone,
            self.plan_of,
            self.checks,
            self._gangs,
            self.rng,
            self.bounds.lease_s,
        )
        self.workers[name] = worker
        self.register(name)
        return worker

    def register(self, name: str) -> None:
        """Write a worker's entry."""
        self.store.put(WORKER_TOPIC, name, self.workers[name].entry_bytes())

    def unregister(self, name: str) -> None:
        """Let a worker's entry lapse."""
        self.store.put(WORKER_TOPIC, name, None)

    def plan_of(self, task: str) -> TaskPlan:
        """Return what the model knows of a task."""
        step = task.rpartition(".")[0]
        return self.plans[step]

    def services(self) -> dict[str, type[InstanceService]]:
        """Return the services that an instance runs, in the order of their start."""
        shipped = load_services()
        return {
            "follower": shipped["follower"],
            "operator": shipped["operator"],
            "mesh": type("_Mesh", (ModelMesh,), {"cell": self}),
            "lead": shipped["lead"],
            "callers": ModelCallers,
        }

    async def add_instance(self, name: str, zone: str = "") -> ModelInstance:
        """Start an instance."""
        address = Address("10.0.0.1", 1)
        settings = InstanceSettings(
            name=name,
            zone=zone or self.zones.get(name, "z0"),
            ip="10.0.0.1",
            callers=address,
            probe=address,
            peer_port=1,
            store=address,
            adviser=address if self.advised else None,
            machines_api=None,
            strength=self.strengths.get(name, 1.0),
            heartbeat_s=1.5,
            bounds=self.bounds,
            store_limits=StoreLimits(),
        )
        gate = _Gate()
        instance = Instance(
            settings, ModelConnections(self, name, gate), self.services()
        )
        made = ModelInstance(instance, gate)
        self.instances[name] = made
        await instance.start()
        return made

    def send_over_link(self, name: str, peer: str, body: Any) -> float:
        """Send a message over an instance's link; return how long that takes."""
        size = len(pack_frame(body)) + MESSAGE_OVERHEAD
        self.sent_bytes[name, peer, type(body).__name__] += size
        return self.send_bytes_over_link(name, size)

    def send_bytes_over_link(self, name: str, size: int) -> float:
        """Send so many bytes over an instance's link; return how long that takes."""
        rate = self.link_bytes_s.get(name)
        if rate is None:
            return 0.0
        free_at = max(self._link_free_at.get(name, 0.0), now()) + size / rate
        self._link_free_at[name] = free_at
        wait_s = free_at - now()
        self.longest_wait_s[name] = max(self.longest_wait_s[name], wait_s)
        return wait_s

    # What can be done to instances.

    def kill(self, name: str) -> None:
        """End an instance at once: nothing that it began goes on."""
        found = self.instances[name]
        found.alive = False
        found.gate.open.clear()
        asyncio.get_running_loop().create_task(self._shut_down(found))

    async def _shut_down(self, found: ModelInstance) -> None:
        term = found.lead.term
        if term is not None:
            await term.end()
        await found.instance.stop()

    async def stop(self, name: str) -> None:
        """Tell an instance to stop, and wait until it has."""
        found = self.instances[name]
        await found.instance.drain()
        found.alive = False
        found.gate.open.clear()
        await found.instance.stop()

    async def restart(self, name: str) -> None:
        """Start a killed instance again."""
        await self.add_instance(name)

    def freeze(self, name: str) -> None:
        """Hold an instance up in the middle of whatever it does."""
        self.instances[name].gate.open.clear()

    def disable_pushes(self, name: str) -> None:
        """Have an instance learn of records only by reading the store."""
        handlers = self.instances[name].instance.services["mesh"].handlers
        for kind in PUSH_MESSAGES:
            handlers.pop(kind)

    def unfreeze(self, name: str) -> None:
        """Let it go on."""
        self.instances[name].gate.open.set()

    def lead(self) -> ModelInstance | None:
        """Return the instance that leads and may give orders."""
        for found in self.instances.values():
            if found.leads and found.gate.open.is_set():
                return found
        return None

    def lead_name(self) -> str:
        """Return the name of the lead."""
        return next(n for n, i in self.instances.items() if i is self.lead())

    # Callers.

    def any_instance(self) -> ModelInstance:
        """Return an instance that lives."""
        alive = [
            i
            for _, i in sorted(self.instances.items())
            if i.alive and i.gate.open.is_set()
        ]
        return self.rng.choice(alive)

    def new_job_id(self) -> str:
        """Return an id."""
        self._jobs += 1
        return f"{self._jobs:016x}"

    async def submit(
        self,
        steps: list[dict[str, Any]],
        work_s: float = 1.0,
        prefix: str = "/plan/",
        job_id: str = "",
        fails: bool = False,
        **more: Any,
    ) -> tuple[str, int]:
        """Submit a job, with retries as callers make them; return id and status."""
        job_id = job_id or self.new_job_id()
        occurrences = max(more.get("repetitions", 0), 1)
        for number, step in enumerate(steps):
            need = Resources(step.get("millicpus", 0), step.get("task_memory_mb", 0))
            plan = TaskPlan(
                step.get("work_s", work_s),
                need,
                fails,
                step["count"] if step.get("all_or_nothing") else 0,
                step.get("enable_checkpoints", False),
            )
            for k in range(occurrences):
                self.plans[f"{job_id}.{k}.{number}"] = plan
                if step.get("allow_duplicates"):
                    self.checks.duplicates.add(f"{job_id}.{k}.{number}")
        body = msgspec.json.encode({"specification": job_id, "steps": steps, **more})
        statuses = []
        for _ in range(4):
            req = ModelRequest("POST", prefix + job_id, body)
            status, _ = await self.any_instance().call(req)
            statuses.append(status)
            if status == 200:
                self.accepted[job_id] = prefix
                return job_id, status
            await pause(0.3)
        # It was refused only if no attempt was left open.
        return job_id, 504 if 504 in statuses else statuses[-1]

    async def status(self, job_id: str, instance: ModelInstance | None = None) -> str:
        """Return where a job stands, or the status code of a refusal."""
        target = instance or self.any_instance()
        path = self.accepted.get(job_id, "/plan/") + job_id
        code, body = await target.call(ModelRequest("GET", path))
        return body["state"] if code == 200 else str(code)

    async def cancel(self, job_id: str) -> int:
        """Cancel a job; return the status code."""
        path = self.accepted.get(job_id, "/plan/") + job_id
        code, _ = await self.any_instance().call(ModelRequest("DELETE", path))
        return code

    async def until(self, holds: Callable[[], bool], limit_s: float) -> None:
        """Wait until something holds."""
        end = now() + limit_s
        while not holds():
            if now() > end:
                raise TimeoutError(f"not within {limit_s} s")
            await pause(0.01)

    def ended(self, job_id: str) -> bool:
        """Return whether a job has ended, as the records say."""
        for found in self.instances.values():
            if found.alive and found.gate.open.is_set():
                view = found.instance.replica.jobs.get(job_id)
                if view is not None and view.status.ended:
                    return True
        return False

    async def all_done(self, limit_s: float) -> None:
        """Wait until every accepted job has ended."""
        await self.until(lambda: all(self.ended(j) for j in self.accepted), limit_s)

    def final(self, job_id: str) -> JobStatus:
        """Return the newest status of a job that any instance knows."""
        return max(
            found.instance.replica.jobs[job_id].status
            for found in self.instances.values()
            if found.alive and job_id in found.instance.replica.jobs
        )
