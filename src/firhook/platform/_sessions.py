"""The client sessions of an instance."""

import contextlib
from collections.abc import AsyncIterator

import aiohttp
import attrs

from firhook.platform._client import new_session, new_tracing
from firhook.platform._start_connections import StartConnections


@attrs.frozen(slots=True)
class Sessions:
    """The client sessions of an instance.

    :param calls: for all calls but polls of workers and starts of runs.
    :param polls: for polls, of which one at a time goes to each worker.  So an open
        connection leads to the process that answered the last poll.
    :param starts: the connections for starts, each with a session of its own.
    """

    calls: aiohttp.ClientSession
    polls: aiohttp.ClientSession
    starts: StartConnections


@contextlib.asynccontextmanager
async def open_sessions() -> AsyncIterator[Sessions]:
    """Open the client sessions of an instance, and close them in the end."""
    tracing = new_tracing()
    async with new_session() as calls, new_session(tracing) as polls:
        starts = StartConnections(lambda: new_session(tracing, limit=1))
        try:
            yield Sessions(calls, polls, starts)
        finally:
            await starts.close()
