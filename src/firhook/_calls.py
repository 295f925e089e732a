"""Callers' requests: read from aiohttp, checked, and answered."""

import hashlib
from typing import Any

import attrs
from aiohttp import web
from multidict import CIMultiDict

from firhook._bus import Bus
from firhook._principal import principal
from firhook._web import REQUEST_KEY
from firhook.decide.queue import CLASSES
from firhook.decide.retry import IDEMPOTENT_METHODS
from firhook.errors import FirhookError, NotPermittedError, RequestMalformedError
from firhook.platform.clients import EndpointResponse
from firhook.queries import CheckFresh

PREFIX = "/r/"
#: Headers that are for firhook only.  The key above all must not reach a
#: runner, which could act in the team's name with it.
_OWN_HEADERS = frozenset(("authorization", "x-class", "x-deadline-ms"))


@attrs.define(slots=True, eq=False)
class Call:
    """A caller's request on its way through the gateway.

    :param path: path and query exactly as they are to be sent to the runner.
    :param once_key: the Idempotency-Key of a non-idempotent request, or empty.
    :param transport: the caller's connection.
    :ivar claimed: whether the claim on its key was seen to be the first.
    """

    rid: str
    team: str
    service: str
    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    klass: str
    arrived: float
    deadline: float
    once_key: str = ""
    transport: Any = None
    claimed: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether running it twice does no harm."""
        return self.method in IDEMPOTENT_METHODS

    @property
    def repeatable(self) -> bool:
        """Whether its caller can repeat it if its outcome is unknown."""
        return self.idempotent or bool(self.once_key)

    @property
    def caller_gone(self) -> bool:
        """Whether the caller has closed its connection."""
        return self.transport is not None and self.transport.is_closing()

    @property
    def kind(self) -> tuple[str, ...]:
        """What requests that take about as long have in common."""
        first = self.path.split("?", 1)[0].split("/", 2)[1][:64]
        return (self.team, self.klass, self.method, first)

    def once_digests(self) -> tuple[str, str]:
        """Return the digests of its Idempotency-Key and of all it asks for."""
        body = hashlib.sha256(self.body).hexdigest()
        return (
            _digest(self.team, self.once_key),
            _digest(self.method, self.service, self.path, body),
        )


def _digest(*parts: str) -> str:
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()


async def read_call(
    bus: Bus, req: web.Request, now: float, max_deadline_s: float
) -> Call:
    """Read and check a caller's request, with its body.

    :param max_deadline_s: the longest deadline that a request may have, in seconds.
    :raises RequestMalformedError: naming the part that is wrong.
    :raises ZoneStaleError: if the key may have been withdrawn unnoticed.
    """
    who = await principal(bus, req)
    if who.is_operator:
        raise NotPermittedError("an operator's key runs no requests")
    await bus.ask(CheckFresh(req.method in IDEMPOTENT_METHODS))
    service, path = split_target(req.raw_path)
    klass = _single(req, "X-Class") or "standard"
    if klass not in CLASSES:
        raise RequestMalformedError(f"X-Class = {klass!r}: give one of {CLASSES}")
    deadline_s = check_deadline(_single(req, "X-Deadline-Ms"), max_deadline_s)
    once_key = ""
    if req.method not in IDEMPOTENT_METHODS:
        once_key = check_once_key(_single(req, "Idempotency-Key"))
    headers = CIMultiDict(
        (k, v) for k, v in req.headers.items() if k.lower() not in _OWN_HEADERS
    )
    return Call(
        rid=req[REQUEST_KEY],
        team=who.team,
        service=service,
        method=req.method,
        path=path,
        headers=headers,
        body=await req.read(),
        klass=klass,
        arrived=now,
        deadline=now + deadline_s,
        once_key=once_key,
        transport=req.transport,
    )


def split_target(target: str) -> tuple[str, str]:
    """Split a request target into the service and the runner's path and query.

    The path is taken as it was sent.  Decoded and encoded again, ``%2F`` would
    become a slash and name another record.

    :raises RequestMalformedError: if it names no service.
    """
    service, slash, path = target.removeprefix(PREFIX).partition("/")
    if not target.startswith(PREFIX) or not service or not slash or "#" in path:
        raise RequestMalformedError(f"{target[:200]!r}: give /r/SERVICE/PATH")
    return service, f"/{path}"


def _single(req: web.Request, name: str) -> str | None:
    values = req.headers.getall(name, [])
    if len(values) > 1:
        raise RequestMalformedError(f"{name}: give it once, not {len(values)} times")
    return values[0] if values else None


def check_deadline(header: str | None, max_deadline_s: float) -> float:
    """Return the seconds that a caller will wait.

    :raises RequestMalformedError: if it is no whole number of ms above 0.
    """
    if header is None:
        return max_deadline_s
    if not header.isascii() or not header.isdigit() or int(header[:12]) < 1:
        raise RequestMalformedError(
            f"X-Deadline-Ms = {header[:40]!r}: give whole ms above 0"
        )
    return min(int(header[:12]) / 1000, max_deadline_s)


def check_once_key(header: str | None) -> str:
    """Return the Idempotency-Key, or an empty text if there is none.

    :raises RequestMalformedError: if it is empty, too long or not printable.
    """
    if header is None:
        return ""
    if not 1 <= len(header) <= 255 or not header.isprintable():
        raise RequestMalformedError(
            "Idempotency-Key: give 1 to 255 printable characters"
        )
    return header


def add_earlier_attempts(
    req: web.Request, call: Call | None, exc: FirhookError
) -> None:
    """Say what a refusal does not know of a keyed request's earlier attempts.

    Until its claim was seen to be first, ``ran: no`` speaks of the attempt that
    it answers.  An earlier one may have charged the customer through another
    instance, and a caller that took the refusal for the whole truth would
    charge her by another way once more.
    """
    keyed = req.method not in IDEMPOTENT_METHODS and "Idempotency-Key" in req.headers
    settled = call is not None and call.claimed
    if keyed and not settled and exc.ran == "no":
        exc.extra.setdefault("earlier_attempts", "unknown")


def build_response(answer: EndpointResponse, closing: bool) -> web.Response:
    """Return a runner's answer to the caller.

    :param closing: whether to close the caller's connection after it.
    """
    resp = web.Response(
        status=answer.status, body=answer.body, headers=CIMultiDict(answer.headers)
    )
    if closing:
        resp.force_close()
    return resp
