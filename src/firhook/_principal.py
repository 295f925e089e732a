"""Whose key came with a request."""

from aiohttp import web

from firhook._bus import Bus
from firhook.errors import NotPermittedError
from firhook.queries import Authenticate, Principal


async def principal(bus: Bus, req: web.Request) -> Principal:
    """Return whose key came with the request."""
    return await bus.ask(Authenticate(req.headers.get("Authorization", "")))


async def require_operator(bus: Bus, req: web.Request) -> Principal:
    """Return the operator whose key came with the request.

    :raises NotPermittedError: if it is a team's key.
    """
    who = await principal(bus, req)
    if not who.is_operator:
        raise NotPermittedError("this needs an operator's key")
    return who
