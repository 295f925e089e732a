"""Callers with persistent connections, and the guarantees that they check."""

import asyncio
import random

import aiohttp
import attrs
import msgspec

from firhook.cell import Resources
from firhook.clock import unix_time
from standins.model import KEY, TaskPlan, now
from standins.soak._fleet import Fleet, Member

WITHDRAWN_KEY = "key-that-is-withdrawn"
#: Guaranteed limits: until every instance knows an accepted job, until every
#: instance refuses a withdrawn key, until no task of a cancelled job starts.
MAX_VISIBILITY_S, MAX_REVOCATION_S, MAX_CANCEL_S = 3.0, 5.0, 3.0
_REQUEST_TIMEOUT_S = 3.0
_MAX_ATTEMPTS = 6
#: The kinds of workers that jobs may require.
KINDS = ("a", "b")
_TASK_RESOURCES = {"millicpus": 1000, "task_memory_mb": 100}
_SMALL = Resources(1000, 100)
#: A worker has room for one such task, so that they wait for each other.
_LARGE_RESOURCES = {"millicpus": 5000, "task_memory_mb": 100}
_LARGE = Resources(5000, 100)


@attrs.define(eq=False)
class SubmittedJob:
    """A job that a caller submitted.

    :ivar accepted_at: when it was accepted, or 0.
    :ivar cancelled_at: when its cancelling was confirmed; 0 if it was not
        cancelled, infinite while the outcome is unknown.
    :ivar unknown: whether a submission may have been accepted without a response.
    :ivar occurrences: number of its occurrences; 0 if it is not periodic.
    """

    id: str
    accepted_at: float = 0.0
    cancelled_at: float = 0.0
    unknown: bool = False
    occurrences: int = 0


class Callers:
    """Submits jobs, queries them and cancels some, until ``stopping`` is set.

    :ivar violations: descriptions of the violated guarantees.
    :ivar withdrawn_at: when the key of one caller was withdrawn.
    :ivar responses: number of calls by method and status.
    """

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.fleet, self.rng = fleet, rng
        self.jobs: list[SubmittedJob] = []
        self.violations: list[str] = []
        self.withdrawn_at: float | None = None
        self.responses: dict[str, int] = {}
        self.stopping = False

    async def run(self, count: int) -> None:
        """Run ``count`` callers with separate connections, and one with another key."""
        async with asyncio.TaskGroup() as group:
            for i in range(count):
                group.create_task(self._caller(i))
            group.create_task(self._use_withdrawn_key())

    async def submit_periodic_and_labelled(self, rng: random.Random) -> None:
        """Submit jobs whose occurrences overlap, and jobs for workers of one kind."""
        async with aiohttp.ClientSession() as http:
            while not self.stopping:
                job = SubmittedJob(f"ffff{rng.getrandbits(48):012x}")
                is_periodic = rng.random() < 0.5
                body = (
                    self._make_periodic(job, rng)
                    if is_periodic
                    else self._make_labelled(job, rng)
                )
                await self._submit(http, job, rng, body)
                await asyncio.sleep(rng.uniform(0.2, 0.8))

    def _make_periodic(self, job: SubmittedJob, rng: random.Random) -> bytes:
        """Return the body of a job with overlapping occurrences of two steps."""
        job.occurrences = rng.randint(2, 5)
        gang = rng.choice((0, 2))
        steps = [
            {**_TASK_RESOURCES, "count": rng.randint(1, 2)},
            {**_LARGE_RESOURCES, "count": gang or 1, "after": [0]},
        ]
        if gang:
            steps[1]["all_or_nothing"] = True
        for k in range(job.occurrences):
            plans = self.fleet.model.plans
            plans[f"{job.id}.{k}.0"] = TaskPlan(rng.uniform(0.1, 1.0), _SMALL)
            plan = TaskPlan(rng.uniform(0.5, 2.0), _LARGE, gang=gang)
            plans[f"{job.id}.{k}.1"] = plan
        body = {
            "specification": job.id,
            "steps": steps,
            "start_time_ms": int((unix_time() + rng.uniform(0.0, 1.0)) * 1000),
            "interval_ms": rng.randint(200, 1500),
            "repetitions": job.occurrences,
        }
        return msgspec.json.encode(body)

    def _make_labelled(self, job: SubmittedJob, rng: random.Random) -> bytes:
        """Return the body of a job whose tasks need a worker of a kind.

        The adviser permits the worker that keeps this kind, so that the job can run.
        """
        number = rng.randrange(len(KINDS))
        label, keeper = KINDS[number], list(self.fleet.model.workers)[number]
        while not self.fleet.model.adviser.may_run(f"{job.id}.0.0", keeper):
            job.id = f"ffff{rng.getrandbits(48):012x}"
        step = {**_LARGE_RESOURCES, "count": rng.randint(1, 4), "requirements": label}
        plan = TaskPlan(rng.uniform(0.5, 1.5), _LARGE, label=label)
        self.fleet.model.plans[f"{job.id}.0.0"] = plan
        return msgspec.json.encode({"specification": job.id, "steps": [step]})

    def find_missing_occurrences(self) -> list[str]:
        """Return the occurrences of completed jobs of which no task has started."""
        begun = {
            task.rpartition(".")[0].rpartition(".")[0]
            for task in self.fleet.model.checks.last_start
        }
        return [
            f"occurrence {k} of {job.id} never ran"
            for job in self.jobs
            for k in range(job.occurrences)
            if job.accepted_at and not job.cancelled_at and f"{job.id}.{k}" not in begun
        ]

    async def _caller(self, number: int) -> None:
        rng = random.Random(self.rng.random())
        async with aiohttp.ClientSession() as http:
            while not self.stopping:
                job = SubmittedJob(f"{number:04x}{rng.getrandbits(48):012x}")
                await self._submit(http, job, rng, self._make_job(job, rng))
                await asyncio.sleep(rng.uniform(0.05, 0.4))
                await self._check_random_job(http, rng)
                if job.accepted_at and rng.random() < 0.15:
                    await self._cancel(http, job, rng)

    async def call(
        self,
        http: aiohttp.ClientSession,
        member: Member,
        method: str,
        job: str,
        body: bytes | None = None,
        headers: dict[str, str] = KEY,
    ) -> int:
        """Return the status of a call; 0 if it did not connect, -1 if it was cut."""
        url = f"http://{member.address()}/plan/{job}"
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        undisturbed = now() >= member.disturbed_until
        status = -1
        try:
            async with http.request(
                method, url, data=body, headers=headers, timeout=timeout
            ) as resp:
                await resp.read()
                status = resp.status
        except aiohttp.ClientConnectorError:
            status = 0
        except (aiohttp.ClientError, TimeoutError) as exc:
            # A graceful stop must not cut a request that was sent.
            if undisturbed and now() >= member.disturbed_until and member.stopping:
                self.violations.append(f"{method} {job} cut by {member.name}: {exc!r}")
        key = f"{method} {status}"
        self.responses[key] = self.responses.get(key, 0) + 1
        return status

    async def _submit(
        self,
        http: aiohttp.ClientSession,
        job: SubmittedJob,
        rng: random.Random,
        body: bytes,
    ) -> None:
        self.jobs.append(job)
        for _ in range(_MAX_ATTEMPTS):
            member = rng.choice(self.fleet.members)
            status = await self.call(http, member, "POST", job.id, body)
            if status == 200:
                job.accepted_at = now()
                return
            if status not in (0, 429, 503):
                job.unknown = True
                if int(job.id[-1], 16) % 2:
                    # Half of the callers do not wait any longer.
                    await self._cancel(http, job, rng)
                    return
            await asyncio.sleep(rng.uniform(0.05, 0.3))
        if not job.unknown:
            self.fleet.model.checks.refused.add(job.id)

    def _make_job(self, job: SubmittedJob, rng: random.Random) -> bytes:
        """Return the body of a job of one or two steps, the first perhaps a gang."""
        gang = rng.choice((0, 0, 3))
        steps = [{**_TASK_RESOURCES, "count": gang or rng.randint(1, 5)}]
        if gang:
            steps[0]["all_or_nothing"] = True
        if rng.random() < 0.4:
            steps.append({**_TASK_RESOURCES, "count": rng.randint(1, 3), "after": [0]})
        work_s = rng.uniform(0.1, 1.5)
        for number in range(len(steps)):
            members = gang if number == 0 else 0
            plan = TaskPlan(work_s, Resources(1000, 100), gang=members)
            self.fleet.model.plans[f"{job.id}.0.{number}"] = plan
        return msgspec.json.encode({"specification": job.id, "steps": steps})

    async def _check_random_job(
        self, http: aiohttp.ClientSession, rng: random.Random
    ) -> None:
        known = [j for j in self.jobs if j.accepted_at and not j.cancelled_at]
        if not known:
            return
        job = rng.choice(known)
        sent_at = now()
        member = rng.choice(self.fleet.members)
        status = await self.call(http, member, "GET", job.id)
        must_be_known = sent_at - job.accepted_at > MAX_VISIBILITY_S
        if status == 410 and must_be_known and not job.cancelled_at:
            self.violations.append(f"accepted job {job.id} not found at {member.name}")

    async def _cancel(
        self, http: aiohttp.ClientSession, job: SubmittedJob, rng: random.Random
    ) -> None:
        job.cancelled_at = float("inf")
        for _ in range(_MAX_ATTEMPTS):
            member = rng.choice(self.fleet.members)
            status = await self.call(http, member, "DELETE", job.id)
            if status in (200, 410):
                job.cancelled_at = now()
                return
            await asyncio.sleep(0.3)

    async def _use_withdrawn_key(self) -> None:
        """Make calls with a key that is withdrawn meanwhile."""
        headers = {**KEY, "Authorization": f"Bearer {WITHDRAWN_KEY}"}
        rng = random.Random(self.rng.random())
        async with aiohttp.ClientSession() as http:
            while not self.stopping:
                member = rng.choice(self.fleet.members)
                sent_at = now()
                status = await self.call(http, member, "GET", "", headers=headers)
                withdrawn_at = self.withdrawn_at
                if (
                    status == 200
                    and withdrawn_at is not None
                    and sent_at - withdrawn_at > MAX_REVOCATION_S
                ):
                    self.violations.append(
                        f"withdrawn key accepted {sent_at - withdrawn_at:.1f} s later "
                        f"by {member.name}"
                    )
                await asyncio.sleep(0.1)

    def find_late_starts(self) -> list[str]:
        """Return the tasks that started too long after their job was cancelled."""
        starts = self.fleet.model.checks.last_start
        found = []
        for job in self.jobs:
            if not 0 < job.cancelled_at < float("inf"):
                continue
            for task, started_at in starts.items():
                if (
                    task.startswith(job.id)
                    and started_at > job.cancelled_at + MAX_CANCEL_S
                ):
                    late_s = started_at - job.cancelled_at
                    found.append(
                        f"{task} started {late_s:.1f} s after its job was cancelled"
                    )
        return found

    async def wait_for_completion(self, timeout_s: float) -> list[str]:
        """Wait for the accepted jobs; return the ids of those that did not complete."""
        unfinished = [j for j in self.jobs if j.accepted_at and not j.cancelled_at]
        deadline = now() + timeout_s
        async with aiohttp.ClientSession(headers=KEY) as http:
            while unfinished and now() < deadline:
                unfinished = [
                    j for j in unfinished if not await self._is_completed(http, j)
                ]
                await asyncio.sleep(0.3)
        return [job.id for job in unfinished]

    async def _is_completed(
        self, http: aiohttp.ClientSession, job: SubmittedJob
    ) -> bool:
        member = self.rng.choice(self.fleet.members)
        url = f"http://{member.address()}/plan/{job.id}"
        try:
            async with http.get(url) as resp:
                raw = await resp.read()
        except aiohttp.ClientError:
            return False
        return resp.status == 200 and msgspec.json.decode(raw)["state"] == "completed"
