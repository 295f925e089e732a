"""An open-loop load generator: requests at a steady rate, latencies in a histogram.

``python -m bench._load URL --rate 200 --seconds 5 [--key KEY]``

Requests start on schedule whether or not earlier ones have been answered.  Each latency
counts from the scheduled start, so that a stall of the server shows in the latencies
of all requests that were due meanwhile, as it would for its callers.
"""

import argparse
import asyncio
import json
import time
from collections import Counter
from typing import Any

import aiohttp
import attrs
from hdrh.histogram import HdrHistogram

_MAX_LATENCY_US = 60_000_000


@attrs.define
class Result:
    """The result of a load run.

    :ivar hist: latencies in microseconds.
    :ivar outcomes: number of requests by status; ``cut`` for those without an answer.
    """

    hist: HdrHistogram
    outcomes: Counter[str]

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies, in ms."""
        return self.hist.get_value_at_percentile(percentile) / 1000


async def generate_load(
    url: str, rate: float, seconds: float, headers: dict[str, str] | None = None
) -> Result:
    """Send requests at a steady rate and return the result.

    :param rate: requests per second.
    """
    result = Result(HdrHistogram(1, _MAX_LATENCY_US, 3), Counter())
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        aiohttp.ClientSession(connector=connector, headers=headers) as session,
        asyncio.TaskGroup() as group,
    ):
        started_at = time.perf_counter()
        for i in range(int(rate * seconds)):
            due_at = started_at + i / rate
            await asyncio.sleep(max(due_at - time.perf_counter(), 0))
            group.create_task(_send_request(session, url, due_at, result))
    return result


async def _send_request(
    session: aiohttp.ClientSession, url: str, due_at: float, result: Result
) -> None:
    try:
        async with session.get(url) as resp:
            await resp.read()
            result.outcomes[str(resp.status)] += 1
    except (aiohttp.ClientError, TimeoutError):
        result.outcomes["cut"] += 1
    took_us = (time.perf_counter() - due_at) * 1e6
    result.hist.record_value(min(max(int(took_us), 1), _MAX_LATENCY_US))


def main() -> None:
    """Run the tool from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("url")
    parser.add_argument("--rate", type=float, default=100.0)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--key", default="")
    args = parser.parse_args()
    headers = {"Authorization": f"Bearer {args.key}"} if args.key else None
    result = asyncio.run(generate_load(args.url, args.rate, args.seconds, headers))
    line: dict[str, Any] = {f"p{p}_ms": result.latency_ms(p) for p in (50, 90, 99)}
    print(json.dumps({**line, "outcomes": result.outcomes}))


if __name__ == "__main__":
    main()
