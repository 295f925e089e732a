"""Processes that need a port which another process uses."""

import asyncio
import socket

import aiohttp
import pytest

from firhook.instance import Instance
from firhook.platform.connections import HttpConnections
from firhook.platform.instance import load_instance_settings, open_sessions
from firhook.services import _metrics
from standins.model import HttpModel, Process, ReservedPorts, _ports


def test_reserved_port_is_not_reserved_again_before_its_process_listens(monkeypatch):
    """Two instances must not get the same port while the first is still starting."""
    monkeypatch.setattr(_ports, "_LISTENING_PORTS", range(31000, 31004))
    first, second = ReservedPorts(), ReservedPorts()
    try:
        ports = [*first.take(1), *second.take(1), *first.take(1)]
        assert len(set(ports)) == 3
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", ports[0]))
            sock.listen()
    finally:
        first.close()
        second.close()


@pytest.mark.parametrize("listener", ["callers", "probe", "peers"])
def test_port_in_use_is_logged_as_the_only_reason_of_a_failed_start(tmp_path, listener):
    """The log must name the port in use, not the sessions closed as a result."""

    async def scenario():
        model, reserved = HttpModel(), ReservedPorts()
        await model.start()
        ports = reserved.take(3)
        port = ports[("callers", "probe", "peers").index(listener)]
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", port))
            sock.listen()
            process = Process(model.settings(tmp_path, "i0", ports), ports)
            await process.start()
            status = await asyncio.wait_for(process.process.wait(), 15.0)
        await process.end()
        reserved.close()
        await model.stop()
        assert status == 1
        errors = [line for line in process.lines if line["level"] == "ERROR"]
        assert errors[-1]["event"] == "instance.crashed"
        assert f"127.0.0.1:{port}: Address already in use" in errors[-1]["error"]
        assert not any("Session is closed" in str(line) for line in errors)

    asyncio.run(scenario())


def test_instance_serves_if_another_takes_the_metrics_port_at_the_same_time(
    tmp_path, monkeypatch, caplog
):
    """Two instances on one host start at the same time and bind the metrics port.

    The one whose ``listen`` fails must log this and serve without metrics.
    """

    async def scenario():
        model, reserved = HttpModel(), ReservedPorts()
        await model.start()
        ports = reserved.take(3)
        settings = load_instance_settings(model.settings(tmp_path, "i0", ports))
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind(("127.0.0.1", 0))
            monkeypatch.setattr(_metrics, "METRICS_PORT", other.getsockname()[1])

            class LateSocket(socket.socket):
                """A socket whose address another one listens on just before it does."""

                def listen(self, *backlog):
                    if self.getsockname() == other.getsockname():
                        other.listen()
                    super().listen(*backlog)

            async with open_sessions() as sessions:
                instance = Instance(settings, HttpConnections(settings, sessions))
                with monkeypatch.context() as patch:
                    patch.setattr(socket, "socket", LateSocket)
                    await instance.start()
                url = f"http://127.0.0.1:{ports[1]}/-/readiness"
                async with aiohttp.ClientSession() as http, http.get(url) as resp:
                    assert resp.status in (200, 503)
                await instance.stop()
        reserved.close()
        await model.stop()
        return settings.ip, _metrics.METRICS_PORT

    ip, port = asyncio.run(scenario())
    [line] = [r for r in caplog.records if r.message == "metrics.unavailable"]
    assert line.error.startswith(f"{ip}:{port}: Address already in use")
