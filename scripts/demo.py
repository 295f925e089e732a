"""A demonstration of a cell of separate processes.

Starts a stand-in platform, runners, workers and four entry instances in two zones,
then uses them as operators and callers do, through the public interfaces only.
Exits with 0 only if every check passes.
"""

import asyncio
import json
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from standins.cluster import OPERATOR_KEY, Cluster, Proc, process_env  # noqa: E402

PLANS = """[small]
share = 1
limit = 24
slo_ms = 250

[large]
share = 4
limit = 64
urgent = yes
"""
TEAMS = """[ikoyi-estates]
plan = small

[ibadan-growers]
plan = large
"""


def print_step(text: str) -> None:
    """Print the title of a step."""
    print(f"\n== {text}", flush=True)


def check(what: str, ok: bool, seen: Any) -> None:
    """Print the result of a check and stop the demonstration if it failed.

    :raises SystemExit: if the check failed.
    """
    print(f"   {'ok ' if ok else 'BAD'} {what}", flush=True)
    if not ok:
        raise SystemExit(f"check failed, got: {seen!r}")


async def run_tool(proc: Proc, *args: str, key: str = OPERATOR_KEY) -> str:
    """Run the firhook tool against an instance and return its output.

    :raises SystemExit: if the tool failed.
    """
    env = {
        **process_env(),
        "FIRHOOK_URL": f"http://{proc.ports['gateway']}",
        "FIRHOOK_KEY": key,
    }
    print(f"   $ firhook {' '.join(Path(a).name for a in args)}", flush=True)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "firhook",
        *args,
        env=env,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    out, _ = await process.communicate()
    text = out.decode()
    if process.returncode:
        raise SystemExit(f"firhook {' '.join(args)} failed:\n{text}")
    return text


def print_output(text: str) -> None:
    """Print output of the tool, indented."""
    for line in text.strip("\n").splitlines():
        print(f"     {line}", flush=True)


async def start_cell(cluster: Cluster) -> list[Proc]:
    """Start the cell and return its entry instances."""
    for zone in cluster.zones:
        for i in (1, 2):
            await cluster.add_runner(f"{zone}-runner-{i}", zone, "subscriptions")
            await cluster.add_worker(f"{zone}-worker-{i}", zone, f"{zone}-rack-{i}")
    entries = [
        await cluster.add_entry(f"{zone}-entry-{i}", zone)
        for zone in cluster.zones
        for i in (1, 2)
    ]
    await cluster.wait_ready(*entries)
    return entries


async def configure(cluster: Cluster, entries: list[Proc], tmp: Path) -> str:
    """Apply the lists of plans and teams, create a key and return it."""
    print_step("an operator applies the lists of plans and teams and creates a key")
    (tmp / "plans.ini").write_text(PLANS)
    (tmp / "teams.ini").write_text(TEAMS)
    plans, teams = str(tmp / "plans.ini"), str(tmp / "teams.ini")
    print_output(
        await run_tool(
            entries[0], "config", "apply", "--plans", plans, "--teams", teams
        )
    )
    print_output(await run_tool(entries[0], "config", "wait", "1"))
    print_output(await run_tool(entries[3], "team", "list"))
    out = await run_tool(entries[1], "key", "give", "ibadan-growers")
    key = out.split()[-1]

    async def accepts_key(proc: Proc) -> bool:
        return (await cluster.call(proc, "GET", "/v1/jobs", key=key))[0] == 200

    for entry in entries:
        await cluster.wait_until(entry, accepts_key)
    return key


async def send_requests(cluster: Cluster, entries: list[Proc], key: str) -> None:
    """Request a quote, and send a charge twice through two instances."""
    print_step(
        "a caller requests a quote and sends a charge twice through two instances"
    )
    path = "/r/subscriptions/quote?n=7"
    status, quote = await cluster.call(entries[2], "GET", path, key=key)
    check("the quote is returned", (status, quote.get("n")) == (200, "7"), quote)
    responses = []
    for entry in (entries[0], entries[3]):
        responses.append(
            await cluster.call(
                entry,
                "POST",
                "/r/subscriptions/charge",
                key=key,
                data="nitrogen top-up 41",
                headers={"Idempotency-Key": "charge-41"},
            )
        )
    check("both charges get the same response", responses[0] == responses[1], responses)
    runs = 0
    assert cluster.http is not None
    for proc in cluster.procs.values():
        if proc.list_entry.get("kind") == "runner":
            url = f"http://{proc.ports['http']}/admin/runs"
            async with cluster.http.get(url) as resp:
                runs += (await resp.json())["runs"].get("nitrogen top-up 41", 0)
    check("the charge ran once", runs == 1, runs)


JOBS = (
    {"job_id": "blend-plan", "tasks": 3, "run_s": 1.0, "cpus": 2},
    {"job_id": "soil-model", "tasks": 4, "gang": True, "run_s": 1.0, "cpus": 8},
    {"job_id": "portal", "tasks": 2, "priority": "service", "cpus": 1},
)


async def run_jobs(cluster: Cluster, entries: list[Proc], key: str, tmp: Path) -> None:
    """Submit a batch job, a gang job and a service; wait until done or running."""
    print_step("a team submits a batch job, a gang job and a service")
    for body in JOBS:
        path = tmp / f"{body['job_id']}.json"
        path.write_text(json.dumps(body))
        print_output(await run_tool(entries[0], "job", "submit", str(path), key=key))

    async def finished(proc: Proc) -> bool:
        for body in JOBS:
            path = f"/v1/jobs/{body['job_id']}"
            status, data = await cluster.call(proc, "GET", path, key=key)
            want = "" if body.get("priority") == "service" else "done"
            placed = data.get("placed", {})
            states = [t["outcome"] for t in placed.values()]
            if status != 200 or states != [want] * int(str(body["tasks"])):
                return False
        return True

    await cluster.wait_until(entries[0], finished, 30.0)
    print(
        "   ok  the batch job and the gang job are done, the service is running",
        flush=True,
    )
    print_output(await run_tool(entries[0], "job", "list", key=key))
    print_output(await run_tool(entries[0], "explain", "soil-model", key=key))
    print_output(await run_tool(entries[0], "events"))


async def withdraw_key(cluster: Cluster, entries: list[Proc], key: str) -> None:
    """Withdraw the key and wait until every instance refuses it."""
    print_step("an operator withdraws the key")
    listed = await cluster.call(entries[0], "GET", "/v1/keys")
    print_output(
        await run_tool(entries[0], "key", "withdraw", listed[1]["keys"][0]["key_id"])
    )

    async def refused(proc: Proc) -> bool:
        path = "/r/subscriptions/quote"
        status, data = await cluster.call(proc, "GET", path, key=key)
        return status == 401 and data["code"] == "key.refused"

    for entry in entries:
        await cluster.wait_until(entry, refused)
    print("   ok  all four instances refuse it", flush=True)


async def report_burn(entries: list[Proc], tmp: Path) -> None:
    """Print the report on the error budget and check its HTML page."""
    print_step("an operator requests the report on the error budget")
    page = tmp / "burn.html"
    print_output(await run_tool(entries[0], "report", "--html", str(page)))
    check("its HTML page contains a plot", "<svg" in page.read_text(), page)


async def stop_all(cluster: Cluster, entries: list[Proc]) -> None:
    """Stop one instance with the tool and all other processes with SIGTERM."""
    print_step("all processes stop gracefully")
    print_output(await run_tool(entries[0], "drain", entries[0].ports["ops"]))
    for entry in entries[1:]:
        entry.kill(signal.SIGTERM)
    codes = [await entry.wait() for entry in entries]
    check("every instance exited with 0", codes == [0] * len(codes), codes)
    others = [p for p in cluster.procs.values() if p not in entries]
    for proc in others:
        proc.kill(signal.SIGTERM)
    codes = [await proc.wait() for proc in others]
    check("every stand-in exited with 0", codes == [0] * len(codes), codes)


async def main() -> None:
    """Run the whole demonstration."""
    with tempfile.TemporaryDirectory() as name:
        tmp = Path(name)
        async with Cluster(("ikeja", "lekki")) as cluster:
            print_step("start a platform, 4 runners, 4 workers and 4 instances")
            entries = await start_cell(cluster)
            print_output(await run_tool(entries[0], "status"))
            print_output(await run_tool(entries[0], "endpoints"))
            key = await configure(cluster, entries, tmp)
            await send_requests(cluster, entries, key)
            await run_jobs(cluster, entries, key, tmp)
            await withdraw_key(cluster, entries, key)
            await report_burn(entries, tmp)
            await stop_all(cluster, entries)
    print_step("done")


if __name__ == "__main__":
    asyncio.run(main())
