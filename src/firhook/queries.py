"""Queries on behalf of operators and callers, answered by the roles."""

import attrs

from firhook._bus import Query
from firhook.model import Row
from firhook.platform.clients import EndpointResponse


@attrs.frozen(slots=True)
class Principal:
    """The owner of a key; ``team`` is empty for an operator."""

    key_id: str
    team: str

    @property
    def is_operator(self) -> bool:
        """Whether the key belongs to an operator."""
        return not self.team


@attrs.frozen(slots=True)
class Authenticate(Query[Principal]):
    """Authenticate a request by its Authorization header.

    :raises KeyMissingError: if the header holds no key.
    :raises KeyRefusedError: if the key is unknown or withdrawn, or its team is
        no longer in the list.
    :raises NotReadyError: if the keys have not been read completely.
    :raises ZoneStaleError: if the known keys are too old for any request.
    """

    authorization: str


@attrs.frozen(slots=True)
class CheckFresh(Query[None]):
    """Check that the known keys are recent enough for a request.

    :param idempotent: whether the request is idempotent.
    :raises ZoneStaleError: if they are too old; the request must not be executed.
    """

    idempotent: bool


@attrs.frozen(slots=True)
class ChangeRows(Query[int]):
    """Change rows of the lists and return the new version.

    :param base: the version that the change is based on.
    :raises ListInvalidError: if the resulting lists would be invalid.
    :raises ConfigConflictError: if a concurrent change was recorded first.
    """

    base: int
    rows: tuple[Row, ...]
    author: str


@attrs.frozen(slots=True)
class GivenKey:
    """A new key, which is shown once and never stored."""

    key_id: str
    team: str
    key: str = attrs.field(repr=False)


@attrs.frozen(slots=True)
class GiveKey(Query[GivenKey]):
    """Create a key for a team, or for an operator if ``team`` is empty."""

    team: str


@attrs.frozen(slots=True)
class WithdrawKey(Query[int]):
    """Withdraw a key and return the offset of the record."""

    key_id: str


@attrs.frozen(slots=True)
class OnceBegin(Query["EndpointResponse | None"]):
    """Claim the single execution of a non-idempotent request with a key.

    The answer is ``None`` if the claim is confirmed to be the first, so that the
    request may be sent now, and otherwise the stored outcome of the first
    execution.

    :param key: digest of team and Idempotency-Key.
    :param body: digest of method, service, path and body.
    :raises OnceInProgressError: if the first execution has not ended.
    :raises OnceUnknownError: if the outcome of the first execution was lost.
    :raises OnceMismatchError: if the key was used for a different request.
    :raises LogUnavailableError: if the claim was not confirmed in time.  It may
        still be recorded, but this attempt certainly is never sent.
    """

    key: str
    team: str
    body: str


@attrs.frozen(slots=True)
class OnceSending:
    """Event: from now on the claimed request may have reached a runner."""

    key: str


@attrs.frozen(slots=True)
class OnceLost:
    """Event: a claimed request ended without an outcome and without a release.

    Its response was lost, or its caller disconnected.  Repeated requests then get
    an unknown outcome, or are executed if it certainly was never sent.
    """

    key: str


@attrs.frozen(slots=True)
class OnceFinish(Query[None]):
    """Store the outcome of a claimed request without waiting for the log."""

    key: str
    answer: EndpointResponse


@attrs.frozen(slots=True)
class OnceRelease(Query[None]):
    """Release the claim of a request that certainly was never sent."""

    key: str
