"""What is read of the settings file before anything else is imported."""

import tomllib
from pathlib import Path


def callers_address(path: Path) -> tuple[str, int] | None:
    """Return where callers connect; ``None`` if the file does not say.

    What is wrong with the file is said when all of it is checked.
    """
    try:
        listen = tomllib.loads(path.read_text())["listen_addresses"]
        host, _, port = listen["frontend"].rpartition(":")
        return host, int(port)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
