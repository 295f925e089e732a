"""Entry point of the tool: its commands, and the output when one fails."""

import sys
from typing import Any

import msgspec
from cyclopts import App

from firhook import __version__
from firhook.cli import _cell, _config, _job, _key
from firhook.cli._client import RefusedError
from firhook.cli._common import exit_code
from firhook.cli._report import report
from firhook.cli._teams import teams
from firhook.cli._waiting import waiting
from firhook.cli._workers import workers

_HELP = """Operate a firhook cell.

Set FIRHOOK_URL and FIRHOOK_KEY, or give --url and --key.  Exit codes: 0 done,
1 refused, 2 wrong usage or file, 3 another change came first, 4 retry
later, 5 the key does not permit it, 6 timed out.
"""

app = App(name="firhook", version=__version__, help=_HELP)
for group in (_config.app, _key.app, _cell.team, _job.app):
    app.command(group)
for command in (
    _job.explain,
    _cell.status,
    _cell.endpoints,
    _cell.drain,
    _cell.events,
    report,
    teams,
    waiting,
    workers,
):
    app.command(command)
app.register_install_completion_command()


def describe(problem: dict[str, Any]) -> str:
    """Return a problem document as readable text, with its remedy."""
    lines = [
        f"{problem.get('title')}: {problem.get('detail')}",
        f"[{problem.get('code')}] {problem.get('remedy')}",
    ]
    if problem.get("changed"):
        lines.append(f"changed by others: {', '.join(problem['changed'])}")
    if problem.get("retry_after") is not None:
        lines.append(f"retry in {problem['retry_after']:g} s")
    if problem.get("request_id"):
        lines.append(f"request id {problem['request_id']}")
    return "\n".join(lines)


def encode(problem: dict[str, Any]) -> str:
    """Return a problem document as JSON text."""
    return msgspec.json.encode(problem).decode()


def main() -> None:
    """Run the tool.

    If a command fails, print the problem with its remedy and set the exit code.
    """
    try:
        app(sys.argv[1:])
    except RefusedError as exc:
        as_json = "--json" in sys.argv
        text = encode(exc.problem) if as_json else describe(exc.problem)
        print(text, file=sys.stderr)
        sys.exit(int(exit_code(exc.problem)))
