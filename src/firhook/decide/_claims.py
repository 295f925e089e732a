"""State of the claims that this instance made."""

import enum

import attrs

#: Maximum number of claims with an unknown outcome that are kept individually.
MAX_UNKNOWN_CLAIMS = 5000
#: Maximum number of recently settled claims that are kept.  A peer that reads the
#: log later than the holder still asks about them.  Answering "never sent" would
#: be safe, since the outcome precedes any release in the log, but misleading.
MAX_SETTLED_CLAIMS = 1000


class Phase(enum.Enum):
    """Progress of a claimed request at its holder."""

    CLAIMING = "claiming"
    HELD = "held"
    SENDING = "sending"
    DONE = "done"
    OUTCOME_UNKNOWN = "lost"


class SendStatus(enum.Enum):
    """A holder's answer to whether it sent a claimed request."""

    NEVER = "never"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


_STATUS_BY_PHASE = {
    Phase.OUTCOME_UNKNOWN: SendStatus.UNKNOWN,
    Phase.DONE: SendStatus.DONE,
}


@attrs.define(slots=True)
class Claim:
    """A claim of this instance, identified by its nonce."""

    nonce: int
    phase: Phase = Phase.CLAIMING


class ClaimTable:
    """Claims of this incarnation that are not yet settled in the log.

    Every non-idempotent request with an idempotency key has an entry; a few
    thousand are open at once.

    The append of a claim may time out and land after its caller was refused; the
    key would then be held forever by an instance that never ran the request.  Or a
    peer may ask whether the request was sent at the moment when it is about to be.
    Therefore a claim is in this table from before its record is sent until its
    outcome has been *read back* from the log.  Only a claim that is not in the
    table may be reported as never sent.  It cannot be entered again, since nonces
    are never reused.
    """

    def __init__(self) -> None:
        self._last_nonce = 0
        self._claims: dict[str, Claim] = {}
        self._unknown: dict[str, int] = {}
        self._settled: dict[str, int] = {}
        self._max_evicted_nonce = 0

    def find(self, key: str) -> Claim | None:
        """Return this instance's claim on a key, or ``None``."""
        return self._claims.get(key)

    def begin(self, key: str) -> int:
        """Add a claim and return its nonce; the key must not be claimed yet."""
        assert key not in self._claims
        self._last_nonce += 1
        self._claims[key] = Claim(self._last_nonce)
        return self._last_nonce

    def set_phase(self, key: str, phase: Phase) -> None:
        """Set the phase of a claimed request, if the key is still claimed."""
        claim = self._claims.get(key)
        if claim is None:
            return
        claim.phase = phase
        if phase is Phase.OUTCOME_UNKNOWN:
            self._limit_unknown(key, claim.nonce)

    def _limit_unknown(self, key: str, nonce: int) -> None:
        self._unknown[key] = nonce
        if len(self._unknown) > MAX_UNKNOWN_CLAIMS:
            oldest = next(iter(self._unknown))
            # Evicted claims are still never reported as "never sent".
            self._max_evicted_nonce = max(
                self._max_evicted_nonce, self._unknown.pop(oldest)
            )
            self._claims.pop(oldest, None)

    def settle(self, key: str) -> None:
        """Record that the outcome of a claim was read back from the log."""
        claim = self._claims.pop(key, None)
        self._unknown.pop(key, None)
        if claim is None:
            return
        self._settled[key] = claim.nonce
        if len(self._settled) > MAX_SETTLED_CLAIMS:
            del self._settled[next(iter(self._settled))]

    def remove(self, key: str) -> None:
        """Remove a claim whose request was certainly never sent."""
        self._claims.pop(key, None)
        self._unknown.pop(key, None)

    def send_status(self, key: str, nonce: int) -> SendStatus:
        """Return whether the request of a claim of this instance was sent.

        The answer ``NEVER`` is final, since the asking peer may then release the
        claim on behalf of this instance.
        """
        claim = self._claims.get(key)
        if self._settled.get(key) == nonce:
            return SendStatus.DONE
        if claim is None or claim.nonce != nonce:
            return (
                SendStatus.UNKNOWN
                if nonce <= self._max_evicted_nonce
                else SendStatus.NEVER
            )
        return _STATUS_BY_PHASE.get(claim.phase, SendStatus.RUNNING)
