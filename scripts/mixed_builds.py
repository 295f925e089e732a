"""Runs two builds of firhook beside and after each other, and checks the outcome.

    python scripts/mixed_builds.py OTHER_TREE

``OTHER_TREE`` is a checkout of another revision.  On the cell: one build reads what
the other stored, in both directions, and both serve together while the lead moves
between them.  On the older path: the demonstration with entry instances of one
build, replaced by those of the other, and with the other build's tool.
"""

import asyncio
import collections
import random
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from scripts import demo  # noqa: E402
from standins import cluster as clusters  # noqa: E402
from standins.model import HttpModel, _processes  # noqa: E402
from standins.soak._callers import Callers  # noqa: E402
from standins.soak._faults import initial_teams  # noqa: E402
from standins.soak._fleet import Fleet, Member  # noqa: E402
from standins.soak._seed_run import _until_ready  # noqa: E402

CALLERS = 8
SERVE_S = 6.0
END_S = 60.0
#: Log events that show that one build cannot read what the other wrote.
UNREADABLE = {"record.malformed", "record.ignored", "peer.malformed", "peer.refused"}


class MixedFleet(Fleet):
    """Instances whose builds are chosen by name.

    :ivar builds: the source folder of each instance's build.
    """

    def __init__(self, model: HttpModel, folder: Path, builds: list[str]) -> None:
        super().__init__(model, folder, len(builds))
        self.builds = {f"i{i}": build for i, build in enumerate(builds)}

    async def launch(self, member: Member) -> None:
        """Start an instance with its build."""
        _processes.SRC = self.builds[member.name]
        await super().launch(member)


def unreadable(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the log lines about records or messages that were not understood."""
    return [
        line
        for member in fleet.members
        for line in member.log_lines()
        if line.get("event") in UNREADABLE or line.get("code") in UNREADABLE
    ]


def problems(fleet: Fleet) -> collections.Counter[str]:
    """Count the warnings and errors in the logs by their event."""
    return collections.Counter(
        str(line.get("event"))
        for member in fleet.members
        for line in member.log_lines()
        if str(line.get("level")).lower() in ("warning", "error")
    )


def leads(fleet: Fleet) -> list[Member]:
    """Return the running instances that lead."""
    return [
        m for m in fleet.members if m.is_running and m.process and m.process.leads()
    ]


async def serve(callers: Callers, seconds: float) -> None:
    """Have callers submit jobs for some time."""
    callers.stopping = False
    load = asyncio.create_task(callers.run(CALLERS))
    await asyncio.sleep(seconds)
    callers.stopping = True
    await load


async def replace_all(fleet: MixedFleet, build: str) -> None:
    """Kill all instances and start another build in their place."""
    for member in fleet.members:
        await fleet.kill(member)
    for member in fleet.members:
        fleet.builds[member.name] = build
        await fleet.launch(member)
    await _until_ready(fleet)


async def move_lead(fleet: MixedFleet, seen: collections.Counter[str]) -> None:
    """Stop the lead, start it again, and wait for the next one."""
    for _ in range(200):
        leading = leads(fleet)
        if leading:
            break
        await asyncio.sleep(0.1)
    seen[fleet.builds[leading[0].name]] += 1
    await fleet.stop(leading[0])
    await fleet.launch(leading[0])
    await _until_ready(fleet)


async def cell(names: dict[str, str], first: str, second: str, mixed: bool) -> bool:
    """Run the cell with one build after the other, or with both together."""
    model = HttpModel(6, seed=1)
    await model.start()
    model.configure(2, tenants=initial_teams())
    builds = [first, second] * 2 if mixed else [first] * 3
    led: collections.Counter[str] = collections.Counter()
    with tempfile.TemporaryDirectory(prefix="firhook-mixed-") as folder:
        fleet = MixedFleet(model, Path(folder), builds)
        try:
            await fleet.start()
            await _until_ready(fleet)
            callers = Callers(fleet, random.Random(1))
            serving = asyncio.create_task(serve(callers, SERVE_S * (4 if mixed else 1)))
            if mixed:
                for _ in range(5):
                    await asyncio.sleep(1.0)
                    await move_lead(fleet, led)
            await serving
            if not mixed:
                await replace_all(fleet, second)
                await serve(callers, SERVE_S)
            unended = await callers.wait_for_completion(END_S)
            violations = [f"{b.what}: {b.detail}" for b in model.checks.violations]
            violations += callers.violations + callers.find_late_starts()
            lines = unreadable(fleet)
        finally:
            await fleet.close()
            await model.stop()
    accepted = sum(bool(job.accepted_at) for job in callers.jobs)
    how = "beside" if mixed else "then"
    print(
        f"cell, {names[first]} {how} {names[second]}: {accepted} accepted, "
        f"{len(unended)} not ended, {len(violations)} violations, "
        f"{len(lines)} unreadable, led by { ({names[b]: n for b, n in led.items()}) }",
        flush=True,
    )
    print(f"    logged as warnings or errors: {dict(sorted(problems(fleet).items()))}")
    for line in [*violations, *unended, *lines][:20]:
        print(f"    {line}")
    return not (unended or violations or lines) and accepted > 0


async def older_path(names: dict[str, str], first: str, second: str) -> bool:
    """Run the demonstration, replacing all entry instances half-way."""
    build = first

    def env() -> dict[str, str]:
        return {**real_env(), "PYTHONPATH": f"{build}:{ROOT}"}

    def tool_env() -> dict[str, str]:
        return {**real_env(), "PYTHONPATH": f"{other}:{ROOT}"}

    other = second
    real_env = clusters.process_env
    clusters.process_env, demo.process_env = env, tool_env
    try:
        with tempfile.TemporaryDirectory() as name:
            async with clusters.Cluster(("ikeja", "lekki")) as cell:
                entries = await demo.start_cell(cell)
                key = await demo.configure(cell, entries, Path(name))
                await demo.send_requests(cell, entries, key)
                build, other = second, first
                new = []
                for old in entries:
                    new.append(
                        await cell.add_entry(f"{old.name}-next", old.list_entry["zone"])
                    )
                    await cell.wait_ready(new[-1])
                    old.kill(signal.SIGTERM)
                    await old.wait()
                await demo.send_requests(cell, new, key)
                await demo.run_jobs(cell, new, key, Path(name))
                await demo.withdraw_key(cell, new, key)
                logs = "".join(cell.log_text(proc.name) for proc in [*entries, *new])
                await demo.report_burn(new, Path(name))
                await demo.stop_all(cell, new)
    finally:
        clusters.process_env, demo.process_env = real_env, real_env
    found = [word for word in UNREADABLE if f'"{word}"' in logs]
    print(f"older path, {names[first]} then {names[second]}: done, {found} in the logs")
    return not found


async def main(other: Path) -> int:
    """Run all trials in both directions."""
    here, there = str(ROOT / "src"), str(other.resolve() / "src")
    names = {here: "this build", there: "the other"}
    passed = [
        await cell(names, there, here, False),
        await cell(names, here, there, False),
        await cell(names, here, there, True),
        await older_path(names, there, here),
        await older_path(names, here, there),
    ]
    print("all trials passed" if all(passed) else f"some trials failed: {passed}")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main(Path(sys.argv[1]))))
