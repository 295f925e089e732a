"""End-to-end tests of the tool against a daemon on a fake platform."""

import contextlib
import json
from collections.abc import Iterator
from pathlib import Path

import attrs
import pytest

from firhook.cli import main
from firhook.kernel import Kernel
from standins.fakes import OPERATOR_KEY
from tests.running import ask, running_kernel


@attrs.define
class Tool:
    """The command-line tool, configured for a running daemon."""

    kernel: Kernel
    capsys: pytest.CaptureFixture[str]
    monkeypatch: pytest.MonkeyPatch
    key: str = OPERATOR_KEY

    def run(self, *args: object) -> tuple[int, str, str]:
        """Run the tool and return its exit code, standard output and errors."""
        argv = ["firhook", *map(str, args)]
        self.monkeypatch.setattr("sys.argv", argv)
        self.monkeypatch.setenv("FIRHOOK_KEY", self.key)
        gateway = self.kernel.ports["gateway"]
        self.monkeypatch.setenv("FIRHOOK_URL", f"http://{gateway}")
        with pytest.raises(SystemExit) as ended:
            main()
        out, err = self.capsys.readouterr()
        return ended.value.code or 0, out, err

    def run_ok(self, *args: object) -> str:
        """Run the tool, expect success and return its output."""
        code, out, err = self.run(*args)
        assert code == 0, err
        return out


@contextlib.contextmanager
def running_cell(capsys, monkeypatch) -> Iterator[Tool]:
    """Run a daemon during a test."""
    with running_kernel() as kernel:
        capsys.readouterr()
        yield Tool(kernel, capsys, monkeypatch)


def apply_lists(cell: Tool, folder: Path) -> None:
    """Apply lists with one plan and one team."""
    (folder / "plans.ini").write_text("[small]\nshare = 1\nlimit = 10\nslo_ms = 50\n")
    (folder / "teams.ini").write_text("[lisboa]\nplan = small\n")
    files = ("--plans", folder / "plans.ini", "--teams", folder / "teams.ini")
    assert "version 1 is accepted" in cell.run_ok("config", "apply", *files)
    assert "version 1 is accepted" in cell.run_ok("config", "apply", *files)


def test_conflicting_lists_are_refused_with_the_changed_rows(
    tmp_path, capsys, monkeypatch
):
    """Two operators edit copies of the lists at the same time.

    Applying the second copy would silently revert the change of the first.  The tool
    must refuse it and name the changed row.
    """
    with running_cell(capsys, monkeypatch) as cell:
        apply_lists(cell, tmp_path)
        cell.run_ok("config", "show", "--save", tmp_path)
        cell.run_ok("config", "set-plan", "small", "--limit", "12", "--urgent")
        plans = (tmp_path / "plans.ini").read_text().replace("share = 1", "share = 3")
        (tmp_path / "plans.ini").write_text(plans)
        code, _, err = cell.run("config", "apply", "--plans", tmp_path / "plans.ini")
        assert code == 3
        assert "[config.conflict]" in err
        assert "changed by others: plans/small" in err
        shown = json.loads(cell.run_ok("config", "show", "--json"))
        assert shown["version"] == 2
        assert "limit = 12" in shown["plans"]
        assert "share = 1" in shown["plans"]
        assert "slo_ms = 50" in shown["plans"]


def test_single_rows_are_added_and_removed(tmp_path, capsys, monkeypatch):
    with running_cell(capsys, monkeypatch) as cell:
        apply_lists(cell, tmp_path)
        cell.run_ok("config", "set-team", "porto", "--plan", "small")
        assert "porto" in cell.run_ok("team", "list")
        cell.run_ok("config", "remove-team", "porto")
        code, _, err = cell.run("team", "show", "porto")
        assert (code, "firhook team list" in err) == (1, True)
        code, _, err = cell.run("config", "remove-plan", "small")
        assert (code, "[list.invalid]" in err) == (1, True)
        assert "3 is in force at 1" in cell.run_ok("config", "wait", "3")
        code, _, err = cell.run("config", "wait", "4", "--timeout", "0")
        assert (code, "entry-1 at 3" in err) == (6, True)


def test_each_kind_of_failure_has_its_exit_code_and_remedy(
    tmp_path, capsys, monkeypatch
):
    with running_cell(capsys, monkeypatch) as cell:
        (tmp_path / "job.json").write_text('{"job_id": ')
        code, _, err = cell.run("job", "submit", tmp_path / "job.json")
        assert (code, "[file.not_json]" in err) == (2, True)
        code, _, err = cell.run("config", "apply", "--plans", tmp_path)
        assert (code, "[file.unreadable]" in err) == (2, True)
        assert cell.run("config", "apply")[0] == 2
        assert cell.run("config", "wait", "soon")[0] == 2
        code, _, err = cell.run("status", "--url", "http://127.0.0.1:9", "--json")
        assert (code, json.loads(err)["code"]) == (4, "cell.unreachable")
        cell.key = "fk_guessed"
        code, _, err = cell.run("status")
        assert (code, "[key.refused]" in err) == (5, True)


def test_operator_reads_report_metrics_and_events_and_drains(
    tmp_path, capsys, monkeypatch
):
    with running_cell(capsys, monkeypatch) as cell:
        apply_lists(cell, tmp_path)
        stats = cell.kernel.stats
        for wait_s in (0.01, 0.02, 0.03):
            stats.count_answer("lisboa", "interactive", wait_s, 0.1)
        stats.count_refusal("queue.overloaded", "lisboa", "interactive")
        stats.count_refusal("key.refused", "lisboa", "interactive")
        [row] = json.loads(cell.run_ok("report", "--json"))["rows"]
        assert (row["requests"], row["refused"]) == (4, 1)
        assert row["burn_rates"]["5m"] == pytest.approx(25.0)
        assert row["alert"] == "page"
        page = tmp_path / "burn.html"
        cell.run_ok("report", "--html", page)
        assert page.read_text().count("<rect") == 4
        metrics = ask(cell.kernel, "/metrics", port="ops")[1].decode()
        assert 'firhook_refusals_total{code="queue.overloaded"} 1.0' in metrics
        assert "firhook_log_appends_total" in metrics
        assert "firhook_config_version 1.0" in metrics
        assert "runner-1" in cell.run_ok("endpoints", "--kind", "runner")
        while "leads epoch 1" not in cell.run_ok("events", "--wait", "0.2"):
            continue
        cell.run_ok("drain", cell.kernel.ports["ops"])
        assert cell.kernel.stop_requested.is_set()
