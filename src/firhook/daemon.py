"""The daemon ``firhookd``, which runs on every entry instance."""

import os
import sys
from pathlib import Path

from firhook.platform.names import SETTINGS_VARIABLE


def main() -> None:
    """Run the daemon.

    The users' platform starts it without command-line arguments.  The modules
    that only other deployments need are not imported then, to shorten startup.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if len(sys.argv) == 1 and path:
        from firhook._early_start import EarlyStart, skip_certificate_stores

        skip_certificate_stores()
        early = EarlyStart(Path(path))
        from firhook._instance_daemon import run_instance

        sys.exit(run_instance(check_only=False, early=early))
    from firhook._daemon import main as run

    run()


__all__ = ["main"]

if __name__ == "__main__":
    main()
