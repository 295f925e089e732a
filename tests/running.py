"""A complete daemon on a fake platform, run in its own thread."""

import asyncio
import contextlib
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Iterator

from firhook.kernel import Kernel
from firhook.model import Endpoint
from standins.fakes import OPERATOR_KEY, fake_platform, minimal_settings


async def _serve(started: list[Kernel], stop: threading.Event) -> None:
    runner = Endpoint("runner-1", "runner", "porto", "127.0.0.1:9", service="logbook")
    cfg = minimal_settings(log_poll_s=0.2, lead_lease_s=0.5, margin_s=0.1)
    kernel = Kernel(cfg, fake_platform([runner]), "test")
    await kernel.start()
    while not kernel.ready:
        await asyncio.sleep(0.01)
    started.append(kernel)
    while not stop.is_set():
        await asyncio.sleep(0.01)
    await kernel.stop()


@contextlib.contextmanager
def running_kernel() -> Iterator[Kernel]:
    """Run a daemon and yield its kernel when it is ready."""
    started: list[Kernel] = []
    stop = threading.Event()
    thread = threading.Thread(target=lambda: asyncio.run(_serve(started, stop)))
    thread.start()
    try:
        deadline = time.monotonic() + 30
        while not started and thread.is_alive() and time.monotonic() < deadline:
            time.sleep(0.01)
        yield started[0]
    finally:
        stop.set()
        thread.join()


def ask(
    kernel: Kernel,
    path: str,
    body: bytes | None = None,
    key: str = OPERATOR_KEY,
    port: str = "gateway",
) -> tuple[int, bytes]:
    """GET a path, or POST a body to it, and return the status and the response."""
    req = urllib.request.Request(
        f"http://{kernel.ports[port]}{path}",
        data=body,
        headers={"Authorization": f"Bearer {key}"},
    )
    try:
        with urllib.request.urlopen(req, timeout=10) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.read()
