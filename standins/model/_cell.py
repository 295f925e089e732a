"""A cell of firhook instances on the model of the platform."""

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
#: Bytes that the transport adds to a message.
MESSAGE_OVERHEAD = 120
#: How long callers take to leave an instance that stops.
CALLER_LEAVE_S = 2.6
#: Messages that announce new records to instances.
PUSH_MESSAGES = (RecordsPush, DigestPush)


def run_virtual(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time and return its result."""
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
    """Blocks an instance's calls while it is frozen or dead."""

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.open.set()

    async def wait_open(self) -> None:
        await self.open.wait()


class _GatedClient:
    """Client whose calls and results wait for the instance's gate."""

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
    """Clients of the model for one instance."""

    def __init__(self, cell: "ModelCell", name: str, gate: _Gate) -> None:
        self._cell, self._name, self._gate = cell, name, gate
        self.store = _GatedClient(cell.store.client(name), gate)
        self.adviser = (
            _GatedClient(cell.adviser.client(name), gate) if cell.adviser else None
        )

    def workers(
        self, may_send: Callable[[], bool], answer_delay_s: Callable[[], float]
    ) -> Workers:
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
    """Transport of messages between the instances of the model."""

    cell: "ModelCell"

    def register_handlers(self) -> None:
        """Connect the transport to the instance's bus."""
        self.handlers: dict[type, Callable[[Any], Any]] = {}
        self.bus.register_handler(AskInstance, self._ask)
        self.bus.subscribe(RegisterMessageHandler, self._on_register_handler)
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

    def _on_register_handler(self, event: RegisterMessageHandler) -> None:
        self.handlers[event.kind] = event.handler

    async def on_started(self) -> None:
        """Register the instance in the cell."""
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
    """The callers' service without sockets."""

    async def _listen(self, handler: Any, address: Address, sock: Any = None) -> None:
        """Do nothing; requests arrive by :meth:`ModelInstance.call`."""

    async def drain(self) -> None:
        """Wait for the time that callers take to leave."""
        await pause(CALLER_LEAVE_S)


class _Content:
    def __init__(self, body: bytes) -> None:
        self._body = body

    async def iter_any(self) -> Any:
        """Yield the body in one piece."""
        yield self._body


@attrs.define
class ModelRequest:
    """A caller's request with the attributes that the callers' service reads."""

    method: str
    path: str
    body: bytes = b""
    key: str = KEY
    host: str = HOST
    deadline_ms: int = 3000

    @property
    def headers(self) -> CIMultiDict[str]:
        """The request's headers."""
        return CIMultiDict(
            {
                "Host": self.host,
                "Authorization": f"Bearer {self.key}",
                "Deadline-Ms": str(self.deadline_ms),
            }
        )

    @property
    def content_length(self) -> int:
        """The length of the body."""
        return len(self.body)

    @property
    def content(self) -> _Content:
        """The body as a stream."""
        return _Content(self.body)


@attrs.define(eq=False)
class ModelInstance:
    """A running instance and the gate that can freeze it."""

    instance: Instance
    gate: _Gate
    alive: bool = True

    @property
    def lead(self) -> Any:
        """The instance's lead service."""
        return self.instance.services["lead"]

    @property
    def leads(self) -> bool:
        """Whether the instance leads and may give orders."""
        return self.alive and self.lead.term is not None and self.lead.may_act()

    async def call(self, req: ModelRequest) -> tuple[int, Any]:
        """Send a caller's request; return the status and the decoded body."""
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
    """A cell: the platform, several instances and callers.

    :param advised: whether workers must be permitted by the adviser before a start.
    :param strengths: CPU capacity in cores by instance; 1 if absent.
    :param zones: zone by instance; the same zone if absent.
    :param worker_zones: zones of the workers, which take turns.
    :param memory_mb: memory of each instance; 0 if it is not limited.
    :ivar plans: plans of the tasks of a step.
    :ivar cut_links: pairs of instances that cannot reach each other.
    :ivar drop_share: share of one-way messages between instances that are lost.
    :ivar jitter_s: maximum additional delay of a one-way message.
    :ivar received_pushes: number of delivered messages that announce records.
    :ivar link_bytes_s: bandwidth of an instance's link in bytes per second, by
        instance; its messages queue behind each other.  Unlimited if absent.
    :ivar order_bytes: size of an order to a worker on that link.
    :ivar sent_bytes: bytes of messages by sender, receiver and kind.
    :ivar longest_wait_s: longest wait of a message at the link, by instance.
    :ivar accepted: path prefix of each accepted job.
    :ivar team_limit: what a team may use at once, as operators write it, unless its
        configuration has a limit of its own; unlimited if empty.
    :ivar gangs: coordinates the gangs on the workers.
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
        worker_zones: tuple[str, ...] = ("z0",),
        memory_mb: float = 0.0,
    ) -> None:
        self.memory_mb = memory_mb
        self.strengths = strengths or {}
        self.zones = zones or {}
        self.worker_zones = worker_zones
        self.rng = random.Random(seed)
        self.store = ModelStore(seed)
        self.checks = Checks()
        self.adviser = (
            ModelAdviser(0.05, 0.001, 2.0, 0.6, self.incarnation_of)
            if advised
            else None
        )
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
        self.team_limit: dict[str, int] = {}
        self.gangs = Gangs()
        self.workers: dict[str, ModelWorker] = {}
        self.instances: dict[str, ModelInstance] = {}
        self._count = instances
        self._worker_count = workers
        self._jobs = 0

    async def begin(self) -> None:
        """Start the workers and the instances and wait until one leads."""
        self.configure(1)
        for i in range(self._worker_count):
            zone = self.worker_zones[i % len(self.worker_zones)]
            self.add_worker(f"w{i}", f"r1-{i // 3}", zone=zone)
        for i in range(self._count):
            await self.add_instance(f"i{i}")
        await self.until(lambda: self.lead() is not None, 5.0)
        await pause(0.5)

    def configure(self, version: int, **changes: Any) -> None:
        """Write a configuration as operators do."""
        body = config_body(version, **changes)
        if self.team_limit:
            for team in body["tenants"]:
                team["upper_limit"] = team.get("upper_limit") or self.team_limit
        if self.advised:
            for queue in body["routes"]:
                defaults = {"decision_ms": 50, "per_item_ms": 1, "validity_ms": 2000}
                queue.setdefault("recommendation", defaults)
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
            self.gangs,
            self.rng,
            self.bounds.lease_s,
        )
        worker.on_restart = lambda: self.register(name)
        self.workers[name] = worker
        self.register(name)
        return worker

    def register(self, name: str) -> None:
        """Write a worker's entry."""
        self.store.put(WORKER_TOPIC, name, self.workers[name].entry_bytes())

    def unregister(self, name: str) -> None:
        """Expire a worker's entry."""
        self.store.put(WORKER_TOPIC, name, None)

    def drain_zone(self, zone: str) -> None:
        """Drain a zone as operators do."""
        self.store.put(OPERATOR_TOPIC, f"evacuate/{zone}", b"{}")
        self.checks.drained_at.setdefault(zone, now())

    def return_zone(self, zone: str) -> None:
        """Return a drained zone to service."""
        self.store.put(OPERATOR_TOPIC, f"evacuate/{zone}", None)
        self.checks.drained_at.pop(zone, None)

    def incarnation_of(self, worker: str) -> int:
        """Return the number of a worker's present process."""
        return self.workers[worker].incarnation

    def plan_of(self, task: str) -> TaskPlan:
        """Return the plan of a task."""
        step = task.rpartition(".")[0]
        return self.plans[step]

    def services(self) -> dict[str, type[InstanceService]]:
        """Return the services of an instance in the order in which they start."""
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
            memory_mb=self.memory_mb,
        )
        gate = _Gate()
        instance = Instance(
            settings, ModelConnections(self, name, gate), self.services()
        )
        model_instance = ModelInstance(instance, gate)
        self.instances[name] = model_instance
        await instance.start()
        return model_instance

    def send_over_link(self, name: str, peer: str, body: Any) -> float:
        """Send a message over an instance's link; return the seconds that it takes."""
        size = len(pack_frame(body)) + MESSAGE_OVERHEAD
        self.sent_bytes[name, peer, type(body).__name__] += size
        return self.send_bytes_over_link(name, size)

    def send_bytes_over_link(self, name: str, size: int) -> float:
        """Send bytes over an instance's link; return the seconds that it takes."""
        rate = self.link_bytes_s.get(name)
        if rate is None:
            return 0.0
        free_at = max(self._link_free_at.get(name, 0.0), now()) + size / rate
        self._link_free_at[name] = free_at
        wait_s = free_at - now()
        self.longest_wait_s[name] = max(self.longest_wait_s[name], wait_s)
        return wait_s

    # Faults and restarts of instances.

    def kill(self, name: str) -> None:
        """Kill an instance at once, so that none of its calls continues."""
        model_instance = self.instances[name]
        model_instance.alive = False
        model_instance.gate.open.clear()
        asyncio.get_running_loop().create_task(self._shut_down(model_instance))

    async def _shut_down(self, model_instance: ModelInstance) -> None:
        term = model_instance.lead.term
        if term is not None:
            await term.end()
        await model_instance.instance.stop()

    async def stop(self, name: str) -> None:
        """Stop an instance and wait until it has stopped."""
        model_instance = self.instances[name]
        await model_instance.instance.drain()
        model_instance.alive = False
        model_instance.gate.open.clear()
        await model_instance.instance.stop()

    async def restart(self, name: str) -> None:
        """Start a killed instance again."""
        await self.add_instance(name)

    def freeze(self, name: str) -> None:
        """Suspend an instance in the middle of its work."""
        self.instances[name].gate.open.clear()

    def disable_pushes(self, name: str) -> None:
        """Make an instance learn of records only by reading the store."""
        handlers = self.instances[name].instance.services["mesh"].handlers
        for kind in PUSH_MESSAGES:
            handlers.pop(kind)

    def unfreeze(self, name: str) -> None:
        """Resume a frozen instance."""
        self.instances[name].gate.open.set()

    def lead(self) -> ModelInstance | None:
        """Return the instance that leads and may give orders."""
        for model_instance in self.instances.values():
            if model_instance.leads and model_instance.gate.open.is_set():
                return model_instance
        return None

    def lead_name(self) -> str:
        """Return the name of the lead."""
        return next(n for n, i in self.instances.items() if i is self.lead())

    def check_lead(self) -> None:
        """Check that the lead handles every unfinished job in its replica.

        A lead whose appends fail may have ended a job that its replica has unfinished.
        One whose table is full holds jobs back.
        """
        lead = self.lead()
        term = lead.lead.term if lead is not None else None
        if term is None or not term.taken_over:
            self.checks.unhandled(now(), 0, set())
            return
        jobs = {job_id for job_id, _ in lead.instance.replica.unfinished_jobs()}
        handled = term.job_table.jobs.keys() | term.held_jobs.ids
        self.checks.unhandled(now(), term.fence, jobs - handled)

    # Callers.

    def any_instance(self) -> ModelInstance:
        """Return a random instance that is running and not frozen."""
        alive = [
            i
            for _, i in sorted(self.instances.items())
            if i.alive and i.gate.open.is_set()
        ]
        return self.rng.choice(alive)

    def new_job_id(self) -> str:
        """Return an unused job id."""
        self._jobs += 1
        return f"{self._jobs:016x}"

    async def submit(
        self,
        steps: list[dict[str, Any]],
        work_s: float = 1.0,
        prefix: str = "/plan/",
        job_id: str = "",
        fails: bool = False,
        attempts: int = 4,
        **more: Any,
    ) -> tuple[str, int]:
        """Submit a job with the retries of a caller; return its id and the status."""
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
                step.get("run_forever", False),
                step.get("requirements", ""),
            )
            for k in range(occurrences):
                self.plans[f"{job_id}.{k}.{number}"] = plan
                if step.get("allow_duplicates"):
                    self.checks.duplicates.add(f"{job_id}.{k}.{number}")
        body = msgspec.json.encode({"specification": job_id, "steps": steps, **more})
        statuses = []
        for _ in range(attempts):
            req = ModelRequest("POST", prefix + job_id, body)
            status, _ = await self.any_instance().call(req)
            statuses.append(status)
            if status == 200:
                self.accepted[job_id] = prefix
                return job_id, status
            await pause(0.3)
        # The job was refused only if no attempt has an unknown outcome.
        return job_id, 504 if 504 in statuses else statuses[-1]

    async def status(self, job_id: str, instance: ModelInstance | None = None) -> str:
        """Return a job's status, or the HTTP status code of a refusal."""
        target = instance or self.any_instance()
        path = self.accepted.get(job_id, "/plan/") + job_id
        code, body = await target.call(ModelRequest("GET", path))
        return body["state"] if code == 200 else str(code)

    async def cancel(self, job_id: str) -> int:
        """Cancel a job; return the HTTP status code."""
        path = self.accepted.get(job_id, "/plan/") + job_id
        code, _ = await self.any_instance().call(ModelRequest("DELETE", path))
        return code

    async def until(self, holds: Callable[[], bool], limit_s: float) -> None:
        """Wait until a predicate returns true."""
        end = now() + limit_s
        while not holds():
            if now() > end:
                raise TimeoutError(f"condition not met within {limit_s} s")
            await pause(0.01)

    def ended(self, job_id: str) -> bool:
        """Return whether a job has ended according to an instance's records."""
        for model_instance in self.instances.values():
            if model_instance.alive and model_instance.gate.open.is_set():
                view = model_instance.instance.replica.jobs.get(job_id)
                if view is not None and view.status.ended:
                    return True
        return False

    async def all_done(self, limit_s: float) -> None:
        """Wait until every accepted job has ended."""
        await self.until(lambda: all(self.ended(j) for j in self.accepted), limit_s)

    def final(self, job_id: str) -> JobStatus:
        """Return the newest status of a job that any instance knows."""
        return max(
            model_instance.instance.replica.jobs[job_id].status
            for model_instance in self.instances.values()
            if model_instance.alive and job_id in model_instance.instance.replica.jobs
        )
