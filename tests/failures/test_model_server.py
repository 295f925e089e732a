"""Shutdown of the HTTP server of the platform's model."""

import asyncio
import time

import aiohttp

from standins.model import HttpModel


def test_request_in_flight_while_the_server_stops_logs_no_error(caplog):
    """The server stops on a busy machine while it answers a last request.

    aiohttp gave up waiting for the response in the very loop iteration in which
    it became ready, and logged an InvalidStateError in an otherwise clean run.
    """

    async def scenario():
        model = HttpModel(workers=0)
        model.adviser.base_s = 0.25
        await model.start()
        url = f"http://{model.addresses['adviser']}/-/advise"
        body = {"step": "x.0.0", "workers": ["w1"]}
        async with aiohttp.ClientSession() as http:
            asking = asyncio.create_task(http.post(url, json=body))
            while not model.adviser.calls:
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.2)
            asyncio.get_running_loop().call_later(0.02, time.sleep, 0.3)
            await model.stop()
            await asyncio.gather(asking, return_exceptions=True)

    asyncio.run(scenario())
    assert [r for r in caplog.records if r.name.startswith("aiohttp")] == []
