"""Queries of the operators' and callers' side, answered by the roles."""

import attrs

from firhook._bus import Query
from firhook.model import Row
from firhook.platform.clients import EndpointResponse


@attrs.frozen(slots=True)
class Principal:
    """Whose key it is; ``team`` is empty for an operator."""

    key_id: str
    team: str

    @property
    def is_operator(self) -> bool:
        """Whether it is an operator's key."""
        return not self.team


@attrs.frozen(slots=True)
class Authenticate(Query[Principal]):
    """Checks the Authorization header.

    :raises KeyMissingError: if it holds no key.
    :raises KeyRefusedError: if the key is unknown or withdrawn, or its team
        is not in the list any more.
    :raises NotReadyError: if the keys have not been read whole.
    :raises ZoneStaleError: if the keys known are too old for any work.
    """

    authorization: str


@attrs.frozen(slots=True)
class CheckFresh(Query[None]):
    """Checks that the keys known are fresh enough for the work asked for.

    :param idempotent: whether running the work twice does no harm.
    :raises ZoneStaleError: if they are not; nothing was run.
    """

    idempotent: bool


@attrs.frozen(slots=True)
class ChangeRows(Query[int]):
    """Changes rows of the lists; the answer is the new version.

    :raises ListInvalidError: if the lists would not be valid.
    :raises ConfigConflictError: if another change came first.
    """

    base: int
    rows: tuple[Row, ...]
    author: str


@attrs.frozen(slots=True)
class GivenKey:
    """A new key; shown once and kept nowhere."""

    key_id: str
    team: str
    key: str = attrs.field(repr=False)


@attrs.frozen(slots=True)
class GiveKey(Query[GivenKey]):
    """Gives a key to a team, or to an operator if ``team`` is empty."""

    team: str


@attrs.frozen(slots=True)
class WithdrawKey(Query[int]):
    """Withdraws a key; the answer is the record's offset."""

    key_id: str


@attrs.frozen(slots=True)
class OnceBegin(Query["EndpointResponse | None"]):
    """Claims the single run of a keyed non-idempotent request.

    The answer is ``None`` if the claim was seen to be first, so that the
    request may be sent now, or else the stored outcome of its first run.

    :param key: digest of team and Idempotency-Key.
    :param body: digest of method, service, path and body.
    :raises OnceInProgressError: if its first run has not ended.
    :raises OnceUnknownError: if its outcome was lost.
    :raises OnceMismatchError: if the key was used for another request.
    :raises LogUnavailableError: if the claim was certainly not recorded.
    """

    key: str
    team: str
    body: str


@attrs.frozen(slots=True)
class OnceSending:
    """Event: from now on, bytes of the claimed request may have left."""

    key: str


@attrs.frozen(slots=True)
class OnceLost:
    """Event: a claimed request ended with neither an outcome nor a give-back.

    Its answer was lost, or its caller went away.  Repeats are then told that
    the outcome is unknown, or may run if it was certainly never sent.
    """

    key: str


@attrs.frozen(slots=True)
class OnceFinish(Query[None]):
    """Stores the outcome of a claimed request, without waiting for the log."""

    key: str
    answer: EndpointResponse


@attrs.frozen(slots=True)
class OnceRelease(Query[None]):
    """Gives a claim back whose request was certainly never sent."""

    key: str
