"""A small stand-in of the users' platform for the scripts of this review.

It follows the users' PROTOCOL page: the store as a log with keyed topics, the runners
and the recommendation service, all over HTTP on loopback addresses and the real clock.
It also starts instances of firhook with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
HOST = "jobs.example"
KEY = "key-of-tenant-a"
RECORD_BYTES = 262144
REQUEST_BYTES = 2097152
MAX_HOLD_S = 6.0
STOP_S = 0.2
STORE_ANSWER_S = 0.004
ADVICE_S = 0.02
#: A script ends its processes and exits after this time, which is under two minutes.
LIMIT_S = 110.0
TICKET_VALID_S = 1.5

SETTINGS = """\
node_name = "{name}"
role = "firhookd"
machine_class = "frontend"
serves = ["frontend"]
ip_address = "127.0.0.1"
zone = "z-a"
region = "r"
internal_port_range = [{peers}, {peers}]
seed_nodes = []
bootstrap = true
discovery = "platform"
entry_point = "virtual_ip"
heartbeat_interval_ms = 1500
control_mode = "call"
recommendation = "{adviser}"
[zones]
z-a = "r"
[listen_addresses]
frontend = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{probe}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
revocation_ms = 5000
strict_revocation = true
max_hold_ms = 6000
termination_grace_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_slowdown = 2
checkpoint_interval_s = 0.5
restore_ms = 600
notice_period_ms = 4500
lease_duration_ms = 3000
[platform]
address = "{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 24
append_latency_ms = 1.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
request_bytes = 2097152
keep_s = 300
partition_mb = 200
min_ttl_ms = 1000
"""


class Recorder:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def at(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def note(self, kind, **fields):
        """Write a line."""
        words = " ".join(f"{k}={v}" for k, v in fields.items())
        self._file.write(f"{self.at():8.3f} {kind} {words}\n")
        self._file.flush()


def as_json(data, status=200):
    """Return a JSON response."""
    return web.json_response(data, status=status)


def cut(req):
    """Close the channel without an answer."""
    if req.transport is not None:
        req.transport.abort()
    return web.Response()


class Partition:
    """One partition of a topic."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.epoch, self.sequence, self.answers = -1, None, {}
        self.grown = asyncio.Event()

    def add(self, contents):
        """Append records and return the answer."""
        first = len(self.records)
        for raw in contents:
            key = raw[1 : 1 + raw[0]].decode()
            value = raw[1 + raw[0] :]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
            self.records.append(raw)
        if contents:
            self.grown.set()
            self.grown = asyncio.Event()
        return {"offset": first, "end": len(self.records)}


class Store:
    """The platform's store.

    :ivar lose: called with the keys of an append; returns after how many seconds it is
        carried out without an answer, or None to answer it at once.
    :ivar refused: sizes of the records that were longer than the limit.
    """

    def __init__(self, recorder):
        self.partitions = {}
        self.lose = lambda keys: None
        self.refused = []
        self._recorder = recorder

    def part(self, topic, number=0):
        """Return a partition."""
        return self.partitions.setdefault((topic, int(number)), Partition())

    def put(self, topic, key, value):
        """Write a record as the operator and the runners do."""
        raw = bytes((len(key),)) + key.encode() + value
        self.part(topic).add([raw])

    def routes(self):
        """Return the HTTP routes."""
        return [
            web.post("/-/log-append", self._append),
            web.get("/-/log-read", self._read),
            web.get("/-/log-newest", self._newest),
        ]

    async def _append(self, req):
        q, body = req.query, await req.read()
        contents, at = [], 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            contents.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        longest = max(map(len, contents), default=0)
        if longest > RECORD_BYTES or sum(map(len, contents)) > REQUEST_BYTES:
            if len(self.refused) < 5:
                self._recorder.note("store.refused", longest_record=longest)
            self.refused.append(longest)
            return as_json({"reason": "size"}, 400)
        await asyncio.sleep(STORE_ANSWER_S / 2)
        part = self.part(q["topic"], q["part"])
        late_s = self.lose([raw[1 : 1 + raw[0]].decode() for raw in contents])
        if late_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(late_s, self._carry_out, part, q, contents)
            await asyncio.sleep(20)
            return cut(req)
        status, answer = self._carry_out(part, q, contents)
        await asyncio.sleep(STORE_ANSWER_S / 2)
        return as_json(answer, status)

    @staticmethod
    def _carry_out(part, q, contents):
        if "at" in q and int(q["at"]) != len(part.records):
            return 412, {"end": len(part.records)}
        if "producer" not in q:
            return 200, part.add(contents)
        epoch, sequence = int(q["epoch"]), int(q["sequence"])
        if epoch < part.epoch:
            return 409, {"reason": "fenced"}
        if epoch > part.epoch:
            part.epoch, part.sequence, part.answers = epoch, None, {}
        if not contents:
            end = len(part.records)
            return 200, {"offset": end, "end": end}
        if sequence in part.answers:
            return 200, part.answers[sequence]
        if part.sequence is not None and sequence != part.sequence + 1:
            return 409, {"reason": "seq", "sequence": part.sequence + 1}
        part.sequence = sequence
        part.answers[sequence] = part.add(contents)
        part.answers.pop(sequence - 5, None)
        return 200, part.answers[sequence]

    async def _read(self, req):
        q = req.query
        part, at = self.part(q["topic"], q["part"]), int(q["from"])
        await asyncio.sleep(STORE_ANSWER_S)
        if len(part.records) <= at and "wait_ms" in q:
            grown = part.grown.wait()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(grown, min(int(q["wait_ms"]), 30000) / 1000)
        limit = int(q.get("maximum_kilobytes", 1024)) * 1024
        out = [struct.pack(">QQ", len(part.records), 0)]
        size = 0
        for raw in part.records[at:]:
            if size and size + len(raw) > limit:
                break
            out.append(struct.pack(">I", len(raw)) + raw)
            size += len(raw) + 4
        return web.Response(body=b"".join(out))

    async def _newest(self, req):
        q = req.query
        part = self.part(q["topic"], q["part"])
        await asyncio.sleep(STORE_ANSWER_S)
        keys = sorted(k for k in part.newest if k > q.get("after", ""))
        items, size = [], 0
        for key in keys:
            offset, value = part.newest[key]
            if len(items) == 500 or (items and size + len(value) > 1_000_000):
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
            size += len(value)
        more, end = len(items) < len(keys), len(part.records)
        return as_json({"items": items, "has_more": more, "end": end})


class Runner:
    """One runner, which does not guard its capacity.

    :param work_s: returns how long a task runs, by its name.
    """

    def __init__(self, name, capacity, recorder, work_s):
        self.name, self.capacity, self._recorder = name, capacity, recorder
        self._work_s = work_s
        self.born = int(time.time() * 1000)
        self._clock_began = time.monotonic()
        self.fence, self.lease_ms = 0, 0
        self.running, self.highest = {}, {}
        self.ended, self._count = [], 0
        self._end_event = asyncio.Event()
        self.starts = 0
        self.begun = {}
        self.lapsed = 0

    def clock_ms(self):
        """Return the runner's steady clock."""
        return int((time.monotonic() - self._clock_began) * 1000) + 1000

    def entry(self, address, sequence):
        """Return the entry under servers/."""
        return {
            "service": "svc",
            "address": address,
            "zone": "z-a",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": sequence,
            "born": self.born,
            "capacity": self.capacity,
            "labels": ["a", f"r-{self.name}"],
        }

    def routes(self):
        """Return the HTTP routes."""
        return [
            web.post("/-/hold", self._hold),
            web.post("/-/run-start", self._start),
            web.post("/-/run-stop", self._stop),
        ]

    def _answer(self, status=200, **fields):
        head = {"timestamp_ms": self.clock_ms(), "born": self.born}
        return as_json({**head, **fields}, status)

    def _end(self, task, how):
        run = self.running.pop(task)[0]
        self._count += 1
        self.ended.append([self._count, task, run, how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run)
        self._recorder.note("ended", runner=self.name, task=task, run=run, how=how)
        if how == "lapsed":
            self.lapsed += 1
        self._end_event.set()
        self._end_event = asyncio.Event()

    def tick(self):
        """End what is done or whose lease has expired."""
        now = time.monotonic()
        for task, row in list(self.running.items()):
            if self.clock_ms() > self.lease_ms:
                self._end(task, "lapsed")
            elif row[3] is not None and now >= row[3]:
                self._end(task, "stopped")
            elif now - row[1] >= row[2]:
                self._end(task, "done")

    def _extend(self, deadline_ms):
        most = self.clock_ms() + int(MAX_HOLD_S * 1000)
        self.lease_ms = max(self.lease_ms, min(deadline_ms, most))

    async def _checked(self, req):
        if req.headers.get("Expected-Instance", self.name) != self.name:
            return None, web.Response(status=421)
        data = json.loads(await req.read())
        if data["fencing_token"] < self.fence:
            return None, self._answer(409, reason="fence")
        self.fence = data["fencing_token"]
        return data, None

    async def _start(self, req):
        data, refusal = await self._checked(req)
        if refusal is not None:
            return refusal
        task, run = data["task"], data["run"]
        if task in self.running and self.running[task][0] == run:
            return self._answer()
        if run <= self.highest.get(task, 0) or task in self.running:
            self._extend(data["deadline_ms"])
            return self._answer(409, reason="old")
        if data["deadline_ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(data["deadline_ms"])
        self.running[task] = [run, time.monotonic(), self._work_s(task), None]
        self.starts += 1
        self.begun.setdefault(task, []).append((run, time.monotonic()))
        self._recorder.note("started", runner=self.name, task=task, run=run)
        return self._answer()

    async def _stop(self, req):
        data, refusal = await self._checked(req)
        if refusal is not None:
            return refusal
        task, run = data["task"], data["run"]
        row = self.running.get(task)
        if row is not None and row[0] == run and row[3] is None:
            row[3] = time.monotonic() + STOP_S
        self.highest[task] = max(self.highest.get(task, 0), run)
        return self._answer()

    async def _hold(self, req):
        data, refusal = await self._checked(req)
        if refusal is not None:
            return refusal
        self.ended = [row for row in self.ended if row[0] > data["ack_cursor"]]
        if "deadline_ms" in data:
            self._extend(data["deadline_ms"])
        wait_s = min(data.get("wait_ms", 0), 2000) / 1000
        if wait_s and not self.ended:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._end_event.wait(), wait_s)
        now = time.monotonic()
        rows = [
            [task, row[0], "", min(int((now - row[1]) * 100 / row[2]), 99), 0]
            for task, row in self.running.items()
        ]
        return self._answer(running=rows, finished=self.ended[:500])


class Instance:
    """One process of firhook."""

    def __init__(self, name, ports, settings, folder):
        self.name, self.ports, self.settings = name, ports, settings
        self.log = folder / f"{name}.log"
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "FIRHOOK_SETTINGS": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                ["python3", "-m", "firhook.daemon"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
            )

    def events(self, *names):
        """Return the logged events of some names, as objects."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            try:
                row = json.loads(line)
            except ValueError:
                continue
            if row.get("event") in names:
                found.append(row)
        return found

    def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Platform:
    """The stand-ins and the instances of one script."""

    def __init__(self, record, runners=3, millicpus=16000, advised=False):
        self.recorder = Recorder(record)
        self.store = Store(self.recorder)
        self.runners = {}
        self.addresses = {}
        self.work_s = lambda task: 0.4
        self.advised = advised
        self.instances = {}
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self._count, self._millicpus = runners, millicpus
        self._webs, self._reserved = [], []
        self._tasks = []

    async def __aenter__(self):
        """Start the stand-ins."""
        self.addresses["store"] = await self._listen(self.store.routes())
        advise = [web.post("/-/advise", self._advise)]
        self.addresses["adviser"] = await self._listen(advise)
        for i in range(self._count):
            name = f"runner-{i:04x}"
            capacity = {"millicpus": self._millicpus, "task_memory_mb": 65536}
            capacity["gpus"] = 0
            work_s = lambda task: self.work_s(task)  # noqa: E731
            runner = Runner(name, capacity, self.recorder, work_s)
            self.runners[name] = runner
            self.addresses[name] = await self._listen(runner.routes())
        self.configure(1)
        self._tasks = [asyncio.create_task(self._beat())]
        self._tasks.append(asyncio.create_task(self._tick()))
        timeout = aiohttp.ClientTimeout(total=5)
        self.session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *exc):
        """End all processes and servers."""
        await self.session.close()
        for instance in self.instances.values():
            instance.kill()
        for task in self._tasks:
            task.cancel()
        for runner in self._webs:
            await runner.cleanup()
        for sock in self._reserved:
            sock.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _listen(self, routes):
        app = web.Application(client_max_size=1 << 24)
        app.add_routes(routes)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self._webs.append(runner)
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    async def _advise(self, req):
        data = json.loads(await req.read())
        await asyncio.sleep(ADVICE_S + 0.001 * len(data["workers"]))
        rows = [[name, f"t-{name}"] for name in data["workers"]]
        return as_json({"good": rows, "validity_ms": int(TICKET_VALID_S * 1000)})

    async def _beat(self):
        sequence = 0
        while True:
            sequence += 1
            for name, runner in self.runners.items():
                entry = runner.entry(self.addresses[name], sequence)
                value = json.dumps(entry).encode()
                self.store.put("keyed.servers", name, value)
            await asyncio.sleep(1.5)

    async def _tick(self):
        while True:
            for runner in self.runners.values():
                runner.tick()
            await asyncio.sleep(0.02)

    def configure(self, version):
        """Write a desired state."""
        route = {
            "name": "q",
            "host": HOST,
            "path_prefix": "/q/",
            "service": "svc",
            "priority": 1,
            "max_attempts": 4,
            "slack_factor": 3.0,
            "target_duration_ms": 3000,
        }
        if self.advised:
            route["recommendation"] = {
                "decision_ms": int(ADVICE_S * 1000),
                "per_item_ms": 1,
                "validity_ms": int(TICKET_VALID_S * 1000),
            }
        state = {
            "version": version,
            "routes": [route],
            "services": [{"name": "svc", "enforce_capacity": False}],
            "limits": {"max_body_bytes": 262144},
            "tenants": [
                {"name": "a", "api_keys": [KEY], "weight": 1.0, "upper_limit": {}}
            ],
        }
        self.store.put("keyed.op", "config", json.dumps(state).encode())

    def add_instance(self, name):
        """Prepare an instance with free ports."""
        ports = []
        for _ in range(3):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", 0))
            self._reserved.append(sock)
            ports.append(sock.getsockname()[1])
        text = SETTINGS.format(
            name=name,
            callers=ports[0],
            probe=ports[1],
            peers=ports[2],
            store=self.addresses["store"],
            adviser=self.addresses["adviser"],
        )
        path = self.folder / f"{name}.toml"
        path.write_text(text, encoding="utf-8")
        instance = Instance(name, ports, path, self.folder)
        self.instances[name] = instance
        return instance

    def lead(self):
        """Return the instance that led last, according to the logs."""
        newest = None
        for instance in self.instances.values():
            for row in instance.events("lead.began"):
                if newest is None or row["epoch"] > newest[0]:
                    newest = (row["epoch"], instance)
        return newest[1] if newest else None

    async def call(self, instance, method, path, body=None):
        """Make a call; return the status, 0 if no answer came, and the body."""
        url = f"http://127.0.0.1:{instance.ports[0]}{path}"
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Content-Type": "application/json",
            "Deadline-Ms": "3000",
        }
        raw = json.dumps(body).encode() if body is not None else None
        began = time.monotonic()
        try:
            async with self.session.request(
                method, url, data=raw, headers=headers
            ) as resp:
                status, answer = resp.status, await resp.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            status, answer = 0, b""
        self.recorder.note(
            "call",
            to=instance.name,
            method=method,
            path=path,
            status=status,
            body=answer[:60].decode(errors="replace"),
            took_ms=int((time.monotonic() - began) * 1000),
        )
        return status, answer

    async def is_ready(self, instance):
        """Return whether an instance answers the readiness probe with 200."""
        url = f"http://127.0.0.1:{instance.ports[1]}/-/readiness"
        try:
            async with self.session.get(url) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def until(self, holds, limit_s, step_s=0.05):
        """Wait until an asynchronous predicate holds; return whether it did."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await holds():
                return True
            await asyncio.sleep(step_s)
        return False

    async def submit(self, job, body, instances):
        """Submit a job with repeats at any instance, as clients do."""
        for attempt in range(5):
            instance = instances[attempt % len(instances)]
            status, _ = await self.call(instance, "POST", f"/q/{job}", body)
            if status == 200:
                return True
            await asyncio.sleep(0.4)
        return False

    async def state(self, job, instances):
        """Return the shown state of a job."""
        for instance in instances:
            status, answer = await self.call(instance, "GET", f"/q/{job}")
            if status == 200:
                return json.loads(answer)["state"]
        return None


def run(main):
    """Run a script; exit with 2 if it could not run, or not in time."""
    try:
        code = asyncio.run(asyncio.wait_for(main(), LIMIT_S))
    except Exception as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
