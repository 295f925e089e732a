"""Processes that want a port which another process has."""

import asyncio
import socket

import aiohttp
import pytest

from firhook.instance import Instance
from firhook.platform.connections import HttpConnections
from firhook.platform.instance import load_instance_settings, new_session
from firhook.services import _metrics
from standins.model import HttpModel, Process, ReservedPorts, _ports


def test_port_reserved_for_a_process_not_yet_listening_is_not_given_again(monkeypatch):
    """Two instances were given one port while the first was still starting."""
    monkeypatch.setattr(_ports, "_LISTENING_PORTS", range(31000, 31004))
    first, second = ReservedPorts(), ReservedPorts()
    try:
        taken = [*first.take(1), *second.take(1), *first.take(1)]
        assert len(set(taken)) == 3
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", taken[0]))
            sock.listen()
    finally:
        first.close()
        second.close()


@pytest.mark.parametrize("listener", ["callers", "probe", "peers"])
def test_taken_port_is_named_as_the_only_reason_of_a_failed_start(tmp_path, listener):
    """The log told of closed sessions and not of the port that was taken."""

    async def play():
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

    asyncio.run(play())


def test_two_that_bind_the_metrics_port_at_once_both_serve(
    tmp_path, monkeypatch, caplog
):
    """Of two instances of a host that started together, one ended."""

    async def play():
        model, reserved = HttpModel(), ReservedPorts()
        await model.start()
        ports = reserved.take(3)
        settings = load_instance_settings(model.settings(tmp_path, "i0", ports))
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind(("127.0.0.1", 0))
            monkeypatch.setattr(_metrics, "METRICS_PORT", other.getsockname()[1])

            class Second(socket.socket):
                """A socket that listens where the other one just began to."""

                def listen(self, *backlog):
                    if self.getsockname() == other.getsockname():
                        other.listen()
                    super().listen(*backlog)

            async with new_session() as session:
                instance = Instance(settings, HttpConnections(settings, session))
                with monkeypatch.context() as patch:
                    patch.setattr(socket, "socket", Second)
                    await instance.start()
                url = f"http://127.0.0.1:{ports[1]}/-/readiness"
                async with aiohttp.ClientSession() as http, http.get(url) as resp:
                    assert resp.status in (200, 503)
                await instance.stop()
        reserved.close()
        await model.stop()
        return settings.ip, _metrics.METRICS_PORT

    ip, port = asyncio.run(play())
    [told] = [r for r in caplog.records if r.message == "metrics.unavailable"]
    assert told.error.startswith(f"{ip}:{port}: Address already in use")
