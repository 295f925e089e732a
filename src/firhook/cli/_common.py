"""Options, tables, file access and exit codes shared by all commands."""

import enum
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote, urlencode

import attrs
import msgspec
from cyclopts import Parameter

from firhook.cli._client import call, default_key, default_url, local_error


class Exit(enum.IntEnum):
    """Exit codes that tell a script how to react to a failure."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    RETRY_LATER = 4
    KEY_REFUSED = 5
    TIMED_OUT = 6


def exit_code(problem: dict[str, Any]) -> Exit:
    """Return the exit code that corresponds to a problem document."""
    code = str(problem.get("code", ""))
    if code.startswith("file.") or code == "usage":
        return Exit.USAGE
    if code in ("config.conflict", "job.conflict"):
        return Exit.CONFLICT
    if code.startswith("key.") and code != "key.unknown":
        return Exit.KEY_REFUSED
    if code == "wait.timed_out":
        return Exit.TIMED_OUT
    if code == "cell.unreachable" or problem.get("status") in (429, 503):
        return Exit.RETRY_LATER
    return Exit.REFUSED


@Parameter(name="*")
@attrs.define
class Common:
    """Options of every command that calls the cell."""

    url: Annotated[str, Parameter(help="Address of the cell; or FIRHOOK_URL.")] = (
        attrs.field(factory=default_url)
    )
    key: Annotated[str, Parameter(help="Your key; or FIRHOOK_KEY.")] = attrs.field(
        factory=default_key
    )
    json: Annotated[bool, Parameter(help="Print JSON.", negative="")] = False

    def ask(self, method: str, path: str, body: Any = None) -> Any:
        """Call the cell and return the decoded response."""
        return call(self.url.rstrip("/"), self.key, method, path, body)

    def show(self, data: Any, text: str) -> None:
        """Print the data as JSON if ``--json`` is set, otherwise the text."""
        if self.json:
            print(msgspec.json.encode(data).decode())
        else:
            print(text)


def path(*parts: str, **query: str) -> str:
    """Return an API path whose parts are percent-encoded.

    :param query: query parameters; empty ones are omitted.
    """
    joined = "/v1/" + "/".join(quote(part, safe="") for part in parts)
    given = {name: value for name, value in query.items() if value}
    return f"{joined}?{urlencode(given)}" if given else joined


def table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return the rows as text with aligned columns."""
    cells = [list(headers)] + [[str(c) for c in row] for row in rows]
    widths = [max(len(r[i]) for r in cells) for i in range(len(headers))]
    return "\n".join(
        "  ".join(c.ljust(w) for c, w in zip(r, widths, strict=True)).rstrip()
        for r in cells
    )


def read_file(file: Path) -> str:
    """Return the text of a file; ``-`` reads standard input.

    :raises RefusedError: if it cannot be read.
    """
    try:
        if str(file) == "-":
            return sys.stdin.read()
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise local_error(
            "file.unreadable",
            "A file cannot be read",
            f"{file}: {exc}",
            "Name a readable file of UTF-8 text, or - for standard input.",
        ) from exc


def write_file(file: Path, text: str) -> None:
    """Write a file.

    :raises RefusedError: if it cannot be written.
    """
    try:
        file.write_text(text, encoding="utf-8")
    except OSError as exc:
        raise local_error(
            "file.unwritable",
            "A file cannot be written",
            f"{file}: {exc}",
            "Name a file in a directory that exists and that you may write to.",
        ) from exc


def read_json_file(file: Path) -> Any:
    """Return the decoded content of a JSON file.

    :raises RefusedError: if the file cannot be read or is not valid JSON.
    """
    text = read_file(file)
    try:
        return msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise local_error(
            "file.not_json",
            "A file is not JSON",
            f"{file}: {exc}",
            "Fix the file at the named position; nothing was sent.",
        ) from exc
