"""The HTTP endpoint of operators, over real sockets."""

import asyncio

import aiohttp

from firhook.clock import boot_time
from firhook.instance import Instance
from firhook.platform.connections import HttpConnections
from firhook.platform.instance import load_instance_settings, open_sessions
from firhook.services import _metrics
from standins.model import HttpModel, ReservedPorts


async def fetch(path):
    """Return status and text of an answer of the instance."""
    url = f"http://127.0.0.1:{_metrics.METRICS_PORT}{path}"
    async with aiohttp.ClientSession() as http, http.get(url) as resp:
        return resp.status, await resp.text()


async def until_led(limit_s=15.0):
    """Return the report once the instance leads."""
    end = boot_time() + limit_s
    while boot_time() < end:
        async with (
            aiohttp.ClientSession() as http,
            http.get(f"http://127.0.0.1:{_metrics.METRICS_PORT}/waiting") as resp,
        ):
            answer = await resp.json()
        if answer["report"] is not None and answer["report"]["taken_over"]:
            return answer
        await asyncio.sleep(0.1)
    raise TimeoutError("the instance does not lead")


def test_endpoint_serves_metrics_and_what_waits(tmp_path, monkeypatch):
    async def scenario():
        model, reserved = HttpModel(), ReservedPorts()
        await model.start()
        ports = reserved.take(4)
        monkeypatch.setattr(_metrics, "METRICS_PORT", ports[3])
        settings = load_instance_settings(model.settings(tmp_path, "i0", ports[:3]))
        async with open_sessions() as sessions:
            instance = Instance(settings, HttpConnections(settings, sessions))
            await instance.start()
            try:
                answer = await until_led()
                assert answer["instance"] == answer["lead"]["name"] == "i0"
                assert answer["report"]["steps"] == []
                status, text = await fetch("/metrics")
                assert status == 200
                assert 'firhook_waiting_steps{reason="no_room"} 0.0' in text
                status, text = await fetch("/waiting?limit=5&job=0123456789abcdef")
                assert (status, '"accepted":false' in text) == (200, True)
                assert (await fetch("/waiting?limit=-1"))[0] == 400
                assert (await fetch("/waiting?limit=" + "9" * 5000))[0] == 200
                assert (await fetch("/other"))[0] == 404
            finally:
                await instance.stop()
        reserved.close()
        await model.stop()

    asyncio.run(scenario())
