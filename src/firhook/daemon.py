"""The daemon ``firhookd``: one runs on every entry instance."""

import os
import sys

from firhook.platform.instance import SETTINGS_VARIABLE


def main() -> None:
    """Run the daemon.

    On the users' platform it is started without words on its command line, and
    what only others need is not imported.  After a loss of power nothing is served
    until the imports are done, on machines with half a core; the library for
    command lines and the journal of single machines are a third of them.
    """
    if len(sys.argv) == 1 and os.environ.get(SETTINGS_VARIABLE):
        from firhook._instance_daemon import run_instance

        sys.exit(run_instance(check=False))
    from firhook._daemon import main as run

    run()


__all__ = ["main"]

if __name__ == "__main__":
    main()
