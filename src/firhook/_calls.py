"""Parsing, validation and responses of the callers' requests."""

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
#: Headers that are not forwarded to runners.  With the key in particular, a runner
#: could act on behalf of the team.
_FIRHOOK_HEADERS = frozenset(("authorization", "x-class", "x-deadline-ms"))


@attrs.define(slots=True, eq=False)
class Call:
    """A caller's request in the gateway.

    :param rid: the request id.
    :param path: path and query, sent unchanged to the runner.
    :param klass: class of service, such as ``interactive``.
    :param arrived: arrival time on the monotonic clock, in seconds.
    :param deadline: time by which it must be answered, on the same clock.
    :param once_key: the Idempotency-Key of a non-idempotent request, or empty.
    :param transport: the caller's connection.
    :ivar claimed: whether its claim on the key is confirmed to be the first.
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
        """Whether executing it twice has the same effect as once."""
        return self.method in IDEMPOTENT_METHODS

    @property
    def repeatable(self) -> bool:
        """Whether its caller can safely repeat it if the outcome is unknown."""
        return self.idempotent or bool(self.once_key)

    @property
    def caller_gone(self) -> bool:
        """Whether the caller has closed its connection."""
        return self.transport is not None and self.transport.is_closing()

    @property
    def kind(self) -> tuple[str, ...]:
        """Group of requests that are expected to take about the same time."""
        first_segment = self.path.split("?", 1)[0].split("/", 2)[1][:64]
        return (self.team, self.klass, self.method, first_segment)

    def once_digests(self) -> tuple[str, str]:
        """Return the digests of its Idempotency-Key and of its content."""
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
    """Read and validate a caller's request with its body.

    :param now: the current time on the monotonic clock, in seconds.
    :param max_deadline_s: maximum deadline of a request, in seconds.
    :raises RequestMalformedError: naming the invalid part.
    :raises NotPermittedError: if the key is an operator's.
    :raises ZoneStaleError: if the known keys are too old to exclude that the key
        was withdrawn.
    """
    caller = await principal(bus, req)
    if caller.is_operator:
        raise NotPermittedError("an operator's key runs no requests")
    await bus.ask(CheckFresh(req.method in IDEMPOTENT_METHODS))
    service, path = split_target(req.raw_path)
    klass = _single_header(req, "X-Class") or "standard"
    if klass not in CLASSES:
        raise RequestMalformedError(f"X-Class = {klass!r}: give one of {CLASSES}")
    deadline_s = check_deadline(_single_header(req, "X-Deadline-Ms"), max_deadline_s)
    once_key = ""
    if req.method not in IDEMPOTENT_METHODS:
        once_key = check_once_key(_single_header(req, "Idempotency-Key"))
    headers = CIMultiDict(
        (k, v) for k, v in req.headers.items() if k.lower() not in _FIRHOOK_HEADERS
    )
    return Call(
        rid=req[REQUEST_KEY],
        team=caller.team,
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

    The path is not decoded: decoding and encoding it again would turn ``%2F``
    into a slash, which names another resource.

    :raises RequestMalformedError: if the target names no service.
    """
    service, slash, path = target.removeprefix(PREFIX).partition("/")
    if not target.startswith(PREFIX) or not service or not slash or "#" in path:
        raise RequestMalformedError(f"{target[:200]!r}: give /r/SERVICE/PATH")
    return service, f"/{path}"


def _single_header(req: web.Request, name: str) -> str | None:
    values = req.headers.getall(name, [])
    if len(values) > 1:
        raise RequestMalformedError(f"{name}: give it once, not {len(values)} times")
    return values[0] if values else None


def check_deadline(header: str | None, max_deadline_s: float) -> float:
    """Return the deadline that a caller asks for, in seconds.

    :param header: the value of X-Deadline-Ms, if given.
    :param max_deadline_s: the default and the maximum.
    :raises RequestMalformedError: unless it is a positive integer.
    """
    if header is None:
        return max_deadline_s
    if not header.isascii() or not header.isdigit() or int(header[:12]) < 1:
        raise RequestMalformedError(
            f"X-Deadline-Ms = {header[:40]!r}: give whole ms above 0"
        )
    return min(int(header[:12]) / 1000, max_deadline_s)


def check_once_key(header: str | None) -> str:
    """Return the Idempotency-Key, or an empty string without the header.

    :raises RequestMalformedError: if the key is empty, too long or not printable.
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
    """Mark a refusal if earlier attempts of a keyed request may have been executed.

    Until the claim on the key is confirmed to be the first, ``ran: no`` covers only
    the current attempt.  An earlier attempt may have been executed through another
    instance, for example a payment.  A caller that relied on the refusal alone
    would pay a second time by other means.
    """
    keyed = req.method not in IDEMPOTENT_METHODS and "Idempotency-Key" in req.headers
    claim_confirmed = call is not None and call.claimed
    if keyed and not claim_confirmed and exc.ran == "no":
        exc.extra.setdefault("earlier_attempts", "unknown")


def build_response(answer: EndpointResponse, close_connection: bool) -> web.Response:
    """Build the response to the caller from a runner's response.

    :param close_connection: whether to close the caller's connection afterwards.
    """
    resp = web.Response(
        status=answer.status, body=answer.body, headers=CIMultiDict(answer.headers)
    )
    if close_connection:
        resp.force_close()
    return resp
