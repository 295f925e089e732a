"""Reads the part of the settings file that is needed before all other imports."""

import tomllib
from pathlib import Path


def callers_address(path: Path) -> tuple[str, int] | None:
    """Return the host and port that callers connect to.

    Returns ``None`` if the file does not have them.  Errors in the file are
    reported later, when the whole file is checked.
    """
    try:
        listen = tomllib.loads(path.read_text())["listen_addresses"]
        host, _, port = listen["frontend"].rpartition(":")
        return host, int(port)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
