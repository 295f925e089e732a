"""Command line, startup and graceful shutdown of the daemon."""

import asyncio
import json
import secrets
import signal
import sys
from pathlib import Path
from typing import Annotated

import aiohttp
from cyclopts import App, Parameter

from firhook import __version__
from firhook._instance_daemon import run_instance
from firhook._settings import Settings, load_settings
from firhook.errors import SettingsInvalidError
from firhook.kernel import Kernel
from firhook.logs import log, setup_logs
from firhook.platform.http import http_platform

EXIT_SETTINGS = 2
EXIT_CRASHED = 1

app = App(name="firhookd", version=__version__, help="The firhook daemon.")


@app.default
def run(
    *,
    config: Annotated[
        Path | None,
        Parameter(help="The settings file, in INI; none on the users' platform."),
    ] = None,
    check: Annotated[
        bool, Parameter(negative="", help="Check the settings and exit.")
    ] = False,
) -> int:
    """Run the daemon until SIGTERM or SIGINT."""
    if config is None:
        return run_instance(check)
    try:
        cfg = load_settings(config)
    except SettingsInvalidError as exc:
        for problem in exc.extra["problems"]:
            print(problem, file=sys.stderr)
        print(exc.remedy, file=sys.stderr)
        return EXIT_SETTINGS
    if check:
        print(f"{config.name}: settings are valid")
        return 0
    return asyncio.run(_run(cfg))


async def _run(cfg: Settings) -> int:
    setup_logs(cfg.zone, cfg.name, cfg.log_level)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        worker_timeout_s = min(2.0, cfg.task_lease_s / 3)
        platform = http_platform(
            session, cfg.log_url, cfg.log_timeout_s, worker_timeout_s
        )
        kernel = Kernel(cfg, platform, secrets.token_hex(4))
        return await _serve(kernel)


async def _serve(kernel: Kernel) -> int:
    stop_event = kernel.stop_requested
    loop = asyncio.get_running_loop()
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, stop_event.set)
    await kernel.start()
    log("instance.started", ports=kernel.ports)
    print(json.dumps({"listening": kernel.ports}), flush=True)
    crash_task = asyncio.create_task(kernel.wait_until_stopped())
    stop_task = asyncio.create_task(stop_event.wait())
    await asyncio.wait({crash_task, stop_task}, return_when=asyncio.FIRST_COMPLETED)
    if not stop_event.is_set():
        reason = kernel.crash_reason
        log("instance.crashed", level="error", error=repr(reason))
        return EXIT_CRASHED
    await kernel.drain()
    await kernel.stop()
    crash_task.cancel()
    log("instance.stopped")
    return 0


def main() -> None:
    """Run the daemon's command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
