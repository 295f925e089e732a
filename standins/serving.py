"""The HTTP server that all stand-ins use."""

import asyncio
import contextlib
import json
import signal

from aiohttp import web


async def serve_forever(app: web.Application, port: int = 0) -> None:
    """Serve an application on loopback until SIGTERM or SIGINT.

    Prints the address as a JSON line, so that the launcher learns which port the
    operating system assigned.

    :param port: port to listen on; 0 for any free one.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    address = f"127.0.0.1:{runner.addresses[0][1]}"
    print(json.dumps({"listening": {"http": address}}), flush=True)
    stop_requested = asyncio.Event()
    for sig in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(sig, stop_requested.set)
    await stop_requested.wait()
    with contextlib.suppress(asyncio.CancelledError):
        await runner.cleanup()
