"""The stand-in servers themselves, at their ends."""

import asyncio
import time

import aiohttp

from standins.model import HttpModel


def test_request_that_is_answered_while_the_stand_in_stops_makes_no_error(caplog):
    """A busy machine stops a soak's servers while one answers a last question.

    aiohttp gave up waiting for the answer in the step in which it was ready, and
    an InvalidStateError stood in the logs of a play that had kept every promise.
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
