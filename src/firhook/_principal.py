"""Authentication of requests by their key."""

from aiohttp import web

from firhook._bus import Bus
from firhook.errors import NotPermittedError
from firhook.queries import Authenticate, Principal


async def principal(bus: Bus, req: web.Request) -> Principal:
    """Return the principal of the key in the Authorization header."""
    return await bus.ask(Authenticate(req.headers.get("Authorization", "")))


async def require_operator(bus: Bus, req: web.Request) -> Principal:
    """Return the principal of the request, which must be an operator.

    :raises NotPermittedError: if the key belongs to a team.
    """
    caller = await principal(bus, req)
    if not caller.is_operator:
        raise NotPermittedError("this needs an operator's key")
    return caller
