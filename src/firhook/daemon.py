"""The daemon ``firhookd``: one runs on every entry instance."""

import os
import sys
from pathlib import Path

from firhook.platform.names import SETTINGS_VARIABLE


def main() -> None:
    """Run the daemon.

    On the users' platform it is started without words on its command line.  What
    only others need is not imported then, as a start takes that much longer.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if len(sys.argv) == 1 and path:
        from firhook._early_start import EarlyStart

        early = EarlyStart(Path(path))
        from firhook._instance_daemon import run_instance

        sys.exit(run_instance(check_only=False, early=early))
    from firhook._daemon import main as run

    run()


__all__ = ["main"]

if __name__ == "__main__":
    main()
