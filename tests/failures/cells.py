"""Cells of separate processes, and helpers that the failure tests share."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Any

from standins.cluster import Cluster, Proc

PLANS = """
[small]
share = 1
limit = {limit}
urgent = yes
"""
TEAMS = "[lisboa]\nplan = small\n[porto]\nplan = small\n"

#: Short leases and timeouts, so that a failover takes seconds rather than a minute.
SHORT_TIMINGS = {
    "cell": {
        "lead_lease_s": 2,
        "hold_s": 5,
        "task_lease_s": 3,
        "sync_s": 0.3,
        "margin_s": 0.3,
        "grant_ttl_s": 1.5,
    },
    "gateway": {"drain_lag_s": 0.3, "default_deadline_s": 6},
    "keys": {"key_stale_s": 3, "key_stale_max_s": 8},
    "platform": {"list_poll_s": 0.2, "log_poll_s": 1, "log_timeout_s": 1},
}

Scenario = Callable[[], Awaitable[None]]


def run_scenario(scenario: Scenario, limit_s: float = 150.0) -> None:
    """Run a scenario within a time limit."""
    asyncio.run(asyncio.wait_for(scenario(), limit_s))


@contextlib.asynccontextmanager
async def cell(
    zones: tuple[str, ...] = ("porto",),
    entries: int = 2,
    runners: int = 0,
    workers: int = 0,
    links: bool = False,
    limit: int = 40,
    **overrides: dict[str, Any],
) -> AsyncIterator["Cell"]:
    """Start a cell and wait until it is ready; yield it.

    :param entries: entry instances per zone.
    :param runners: runners per zone.
    :param workers: workers per zone.
    :param links: whether zones can be cut off.
    :param limit: limit of each team.
    :param overrides: settings that differ from ``SHORT_TIMINGS``, by section.
    """
    settings = {
        s: {**SHORT_TIMINGS.get(s, {}), **overrides.get(s, {})} for s in SHORT_TIMINGS
    }
    async with Cluster(zones, settings, links=links) as cluster:
        new_cell = Cell(cluster)
        # Start them concurrently: a dozen interpreters in sequence would take
        # longer than the test itself.
        of_zone = [(zone, i) for zone in zones for i in range(64)]
        new_cell.runners, new_cell.workers, new_cell.entries = await asyncio.gather(
            asyncio.gather(
                *(
                    cluster.add_runner(f"{zone}-runner-{i}", zone, "logbook")
                    for zone, i in of_zone
                    if i < runners
                )
            ),
            asyncio.gather(
                *(
                    cluster.add_worker(f"{zone}-worker-{i}", zone, f"rack-{i}")
                    for zone, i in of_zone
                    if i < workers
                )
            ),
            asyncio.gather(
                *(
                    cluster.add_entry(f"{zone}-entry-{i}", zone)
                    for zone, i in of_zone
                    if i < entries
                )
            ),
        )
        await cluster.wait_ready(*new_cell.entries)
        new_cell.key = await new_cell.set_up(limit)
        yield new_cell


class Cell:
    """A running cell with the API key of its team ``lisboa``."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.entries: list[Proc] = []
        self.runners: list[Proc] = []
        self.workers: list[Proc] = []
        self.key = ""
        self.key_id = ""

    def running_entries(self, zone: str) -> list[Proc]:
        """Return the entry instances of a zone that are running."""
        return [
            e
            for e in self.entries
            if e.list_entry["zone"] == zone and e.process.returncode is None
        ]

    async def operator_call(self, method: str, path: str, body: Any = None) -> Any:
        """Call the first entry as an operator and return the response data."""
        status, data = await self.cluster.call(self.entries[0], method, path, json=body)
        assert status < 400, data
        return data

    async def set_up(self, limit: int) -> str:
        """Apply the lists and return a new key that every entry accepts."""
        body = {"base": 0, "plans": PLANS.format(limit=limit), "teams": TEAMS}
        await self.operator_call("POST", "/v1/config", body)
        given = await self.operator_call("POST", "/v1/keys", {"team": "lisboa"})
        self.key_id = given["key_id"]
        for entry in self.entries:
            await self.wait_for_status(entry, "GET", "/v1/jobs", given["key"], 200)
        return given["key"]

    async def wait_for_status(
        self, entry: Proc, method: str, path: str, key: str, wanted: int
    ) -> None:
        """Wait until an entry responds with a status."""

        async def has_status(proc: Proc) -> bool:
            return (await self.cluster.call(proc, method, path, key=key))[0] == wanted

        await self.cluster.wait_until(entry, has_status, 40.0)

    async def request(
        self, entry: Proc, method: str, path: str, **kw: Any
    ) -> tuple[int, Any]:
        """Send a request of the team and return the status and the data.

        The status is 0 if the connection was cut or the request timed out.
        """
        kw.setdefault("key", self.key)
        try:
            return await self.cluster.call(entry, method, path, **kw)
        except (TimeoutError, OSError, ValueError):
            return 0, None
        except Exception as exc:
            # Some connection errors of aiohttp are not subclasses of OSError.
            if type(exc).__module__.startswith("aiohttp"):
                return 0, None
            raise

    async def request_when_caught_up(
        self, entry: Proc, method: str, path: str, **kw: Any
    ) -> tuple[int, Any]:
        """Send a request, repeatedly until the instance has read the log.

        An instance is ready once it has read the lists.  On a busy machine a charge
        may arrive before the instance has read the earlier charges, and is refused
        with ``ran: no``; tests that count the runs verify this.  Any other response
        is returned.
        """
        for _ in range(100):
            status, data = await self.request(entry, method, path, **kw)
            if status != 503 or data["code"] != "instance.not_ready":
                break
            assert data["ran"] == "no"
            await asyncio.sleep(0.1)
        return status, data

    async def fetch(self, proc: Proc, path: str) -> Any:
        """Return data of a stand-in's admin interface."""
        assert self.cluster.http is not None
        async with self.cluster.http.get(f"http://{proc.ports['http']}{path}") as resp:
            return await resp.json()

    async def set_faults(self, proc: Proc, **faults: Any) -> None:
        """Inject faults into a stand-in."""
        assert self.cluster.http is not None
        url = f"http://{proc.ports['http']}/admin/faults"
        async with self.cluster.http.post(url, json=faults) as resp:
            assert resp.status == 200

    async def set_log_faults(self, **faults: Any) -> None:
        """Inject faults into the platform's log."""
        await self.cluster.post_admin("/admin/faults", faults)

    async def run_counts(self) -> dict[str, int]:
        """Return the number of runs by request body, over all runners."""
        total: dict[str, int] = {}
        for runner in self.runners:
            for body, n in (await self.fetch(runner, "/admin/runs"))["runs"].items():
                total[body] = total.get(body, 0) + n
        return total

    async def request_spans(self) -> list[tuple[str, float, float]]:
        """Return the id, start and end of each served request, over all runners."""
        found = []
        for runner in self.runners:
            found += (await self.fetch(runner, "/admin/runs"))["spans"]
        return [(n, began, ended) for n, began, ended in found]

    async def find_lead(self, zone: str) -> Proc:
        """Return the entry that is the lead of a zone."""
        for entry in self.running_entries(zone):
            status, data = await self.cluster.call(entry, "GET", "/v1/status")
            name = data["leads"][zone].partition("#")[0] if status == 200 else ""
            for candidate in self.running_entries(zone):
                if candidate.name == name:
                    return candidate
        raise AssertionError(f"zone {zone} has no lead")

    async def submit(self, entry: Proc, **job: Any) -> None:
        """Submit a job and check that it is accepted."""
        status, data = await self.cluster.call(
            entry, "POST", "/v1/jobs", key=self.key, json=job
        )
        assert status == 202, data

    async def wait_until_done(self, entry: Proc, job_id: str, timeout_s: float) -> None:
        """Wait until all tasks of a job are done."""

        async def done(proc: Proc) -> bool:
            status, data = await self.cluster.call(
                proc, "GET", f"/v1/jobs/{job_id}", key=self.key
            )
            states = [t["outcome"] for t in (data.get("placed") or {}).values()]
            return status == 200 and states == ["done"] * data["tasks"]

        await self.cluster.wait_until(entry, done, timeout_s)

    async def fetch_task_runs(self) -> list[dict[str, Any]]:
        """Return all runs of tasks at all workers, with their start and end times."""
        found = []
        for worker in self.workers:
            for seen in await self.fetch(worker, "/admin/seen"):
                found.append({**seen, "worker": worker.name})
        return found


def peak_load(spans: Iterable[tuple[float, float | None, float]]) -> float:
    """Return the peak sum of weights of overlapping spans (start, end, weight)."""
    events = []
    for start, end, weight in spans:
        events.append((start, 1, weight))
        events.append((float("inf") if end is None else end, 0, -weight))
    level = most = 0.0
    for _, _, change in sorted(events):
        level += change
        most = max(most, level)
    return most


def assert_no_double_run(runs: list[dict[str, Any]]) -> None:
    """Check that no task ran twice at the same time."""
    by_task: dict[tuple[str, int], list[tuple[float, float | None, float]]] = {}
    for run_ in runs:
        job, index, _ = run_["ref"]
        span = (run_["start"], run_["end"], 1.0)
        by_task.setdefault((job, index), []).append(span)
    for task, spans in by_task.items():
        assert peak_load(spans) <= 1, (task, spans)


def assert_no_overcommit(runs: list[dict[str, Any]], cpus: float) -> None:
    """Check that no worker was ever assigned more than ``cpus``."""
    for worker in {r["worker"] for r in runs}:
        spans = [
            (r["start"], r["end"], r["cpus"]) for r in runs if r["worker"] == worker
        ]
        assert peak_load(spans) <= cpus, worker
