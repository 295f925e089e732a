"""End-to-end tests of ``waiting`` and ``teams`` against an instance."""

import asyncio
import json

import attrs
import pytest

from firhook.cli import main
from firhook.clock import boot_time
from firhook.instance import Instance
from firhook.platform.connections import HttpConnections
from firhook.platform.instance import load_instance_settings, open_sessions
from firhook.services import _metrics
from standins.model import HttpModel, ModelRequest, ReservedPorts

JOB = "0123456789abcdef"


@attrs.define
class Tool:
    """The command-line tool, configured for a running instance."""

    instance: Instance
    capsys: pytest.CaptureFixture[str]
    monkeypatch: pytest.MonkeyPatch
    command: str = "waiting"

    async def run(self, *args):
        """Run the tool and return its exit code, standard output and errors."""
        return await asyncio.to_thread(self._run, args)

    def _run(self, args):
        url = f"http://127.0.0.1:{_metrics.METRICS_PORT}"
        self.monkeypatch.setattr(
            "sys.argv", ["firhook", self.command, "--url", url, *args]
        )
        with pytest.raises(SystemExit) as ended:
            main()
        out, err = self.capsys.readouterr()
        return ended.value.code or 0, out, err

    async def until_printed(self, text, *args, limit_s=20.0):
        """Run the tool until it prints a text; return the output."""
        end = boot_time() + limit_s
        while boot_time() < end:
            code, out, _ = await self.run(*args)
            if code == 0 and text in out:
                return out
            await asyncio.sleep(0.2)
        raise TimeoutError(f"{text!r} is not printed")

    async def submit(self, job_id, *steps):
        """Submit a job; return the HTTP status code."""
        body = json.dumps({"specification": job_id, "steps": steps}).encode()
        req = ModelRequest("POST", f"/plan/{job_id}", body)
        resp = await self.instance.services["callers"]._handle(req)
        return resp.status


def run_with_tool(scenario, tmp_path, capsys, monkeypatch):
    """Run a scenario with the tool and an instance that leads."""

    async def run():
        model, reserved = HttpModel(workers=1), ReservedPorts()
        await model.start()
        ports = reserved.take(4)
        monkeypatch.setattr(_metrics, "METRICS_PORT", ports[3])
        settings = load_instance_settings(model.settings(tmp_path, "i0", ports[:3]))
        async with open_sessions() as sessions:
            instance = Instance(settings, HttpConnections(settings, sessions))
            await instance.start()
            tool = Tool(instance, capsys, monkeypatch)
            try:
                await scenario(tool)
            finally:
                await instance.stop()
        reserved.close()
        await model.stop()

    asyncio.run(run())


def test_operator_reads_which_steps_wait_and_why(tmp_path, capsys, monkeypatch):
    async def scenario(tool):
        await tool.until_printed("no step waits")
        steps = [
            {"count": 2, "millicpus": 90000, "task_memory_mb": 1},
            {"count": 1, "millicpus": 100, "task_memory_mb": 1, "after": [0]},
        ]
        assert await tool.submit(JOB, *steps) == 200
        out = await tool.until_printed(f"{JOB}.0.0")
        assert "i0 (z0) leads in epoch 1" in out
        assert "WHY" in out
        assert "2 of 2" in out
        _, out, _ = await tool.run("--limit", "5", "--json")
        (row,) = json.loads(out)["report"]["steps"]
        assert row["step"] == f"{JOB}.0.0"
        _, out, _ = await tool.run("--job", JOB)
        assert f"job {JOB} of team" in out
        assert "blocked" in out
        assert "waiting" in out

    run_with_tool(scenario, tmp_path, capsys, monkeypatch)


def test_operator_reads_what_became_of_a_job(tmp_path, capsys, monkeypatch):
    async def scenario(tool):
        await tool.until_printed("no step waits")
        out = await tool.until_printed("no such accepted job", "--job", JOB)
        assert JOB in out
        step = {"count": 1, "millicpus": 100, "task_memory_mb": 1}
        assert await tool.submit(JOB, step) == 200
        await tool.until_printed(f"{JOB} has ended: completed", "--job", JOB)

    run_with_tool(scenario, tmp_path, capsys, monkeypatch)


def test_tool_names_the_last_lead_if_it_cannot_be_asked(tmp_path, capsys, monkeypatch):
    async def scenario(tool):
        await tool.until_printed("no step waits")
        await tool.instance.services["lead"].drain()
        code, _, err = await tool.run("--job", JOB)
        assert code == 4
        assert "[lead.unreachable]" in err
        assert "last known lead i0" in err
        assert "i0 knows no such accepted job" in err
        code, _, err = await tool.run("--limit", "-1")
        assert code == 2

    run_with_tool(scenario, tmp_path, capsys, monkeypatch)


def test_operator_reads_use_and_waiting_work_of_teams(tmp_path, capsys, monkeypatch):
    async def scenario(tool):
        tool.command = "teams"
        out = await tool.until_printed("the cell is not crowded")
        assert "i0 (z0) leads in epoch 1" in out
        task = {"count": 2, "millicpus": 90000, "task_memory_mb": 1}
        assert await tool.submit(JOB, {**task, "estimated_ms": 2000}) == 200
        await tool.until_printed("360.0 core-s")
        _, out, _ = await tool.run("--json")
        data = json.loads(out)
        (row,) = data["report"]["teams"]["rows"]
        assert (row["steps"], row["use_cores"], data["refused"]) == (1, 0, {})

    run_with_tool(scenario, tmp_path, capsys, monkeypatch)
