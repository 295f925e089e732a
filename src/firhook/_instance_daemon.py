"""Start and graceful stop of an instance on the users' platform."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

from firhook._early_start import EarlyStart
from firhook.errors import SettingsInvalidError
from firhook.instance import Instance
from firhook.logs import flush_logs, log, setup_logs
from firhook.platform.connections import HttpConnections
from firhook.platform.instance import (
    InstanceSettings,
    load_instance_settings,
    open_sessions,
)
from firhook.platform.names import SETTINGS_VARIABLE

EXIT_SETTINGS = 2
EXIT_CRASHED = 1
#: How often the settings file is read again, as it may change without a signal.
_SETTINGS_POLL_S = 1.0


def run_instance(check_only: bool, early: EarlyStart | None = None) -> int:
    """Run an instance and return the exit status.

    The settings file is the one that the platform names in the environment.

    :param check_only: check the settings without starting the instance.
    :param early: the startup steps that ran before this module was imported.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(f"give --config, or set {SETTINGS_VARIABLE}", file=sys.stderr)
        return EXIT_SETTINGS
    try:
        settings = load_instance_settings(Path(path))
    except SettingsInvalidError as exc:
        print(f"{exc.detail}\n{exc.remedy}", file=sys.stderr)
        return EXIT_SETTINGS
    if check_only:
        print(f"{path}: settings are valid")
        return 0
    return asyncio.run(_run(settings, Path(path), early))


async def _run(settings: InstanceSettings, path: Path, early: EarlyStart | None) -> int:
    setup_logs(settings.zone, settings.name, stream=sys.stdout)
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, stop_event.set)
    if early is not None and early.stop_requested:
        stop_event.set()
    changed = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    async with open_sessions() as sessions:
        connections = HttpConnections(settings, sessions)
        instance = Instance(
            settings, connections, listener=early.listener if early else None
        )
        log("instance.starting", incarnation=instance.incarnation)
        try:
            await instance.start()
        except Exception as exc:
            log("instance.crashed", level="error", error=str(exc) or repr(exc))
            # Services that have started would otherwise report the closed session
            # as the reason of their crash.
            await instance.stop()
            return EXIT_CRASHED
        log("instance.started", incarnation=instance.incarnation)
        watch_task = asyncio.create_task(_watch_settings(path, settings, changed))
        crash_task = asyncio.create_task(instance.wait_until_stopped())
        stop_task = asyncio.create_task(stop_event.wait())
        await asyncio.wait({crash_task, stop_task}, return_when=asyncio.FIRST_COMPLETED)
        watch_task.cancel()
        if not stop_event.is_set():
            error = str(instance.crash_reason) or repr(instance.crash_reason)
            log("instance.crashed", level="error", error=error)
            return EXIT_CRASHED
        await instance.drain()
        await instance.stop()
        crash_task.cancel()
        log("instance.stopped")
    return 0


async def _watch_settings(
    path: Path, settings: InstanceSettings, changed: asyncio.Event
) -> None:
    """Log changes of the settings file and whether it is still valid.

    The addresses and bounds of a running instance are fixed; a change takes
    effect at its next start.
    """
    current = settings
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(changed.wait(), _SETTINGS_POLL_S)
        flush_logs()
        signalled = changed.is_set()
        changed.clear()
        try:
            loaded = load_instance_settings(path)
        except SettingsInvalidError as exc:
            log("settings.invalid", level="error", detail=exc.detail)
            continue
        if signalled or loaded != current:
            log("settings.read", changed=loaded != current, signalled=signalled)
        current = loaded
