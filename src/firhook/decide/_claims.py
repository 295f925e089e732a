"""What this instance knows of the claims it made itself."""

import enum

import attrs

#: Claims with an unknown outcome that are remembered one by one.
MAX_UNKNOWN_CLAIMS = 5000
#: Claims whose outcome was read back lately.  A peer that reads the log later
#: than the holder still asks; "never sent" would be safe, since the outcome
#: stands before any give-back in the log, but it would puzzle the caller.
MAX_SETTLED_CLAIMS = 1000


class Phase(enum.Enum):
    """How far a claimed request has come at its holder."""

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


_SAID = {Phase.OUTCOME_UNKNOWN: SendStatus.UNKNOWN, Phase.DONE: SendStatus.DONE}


@attrs.define(slots=True)
class Claim:
    """A claim of this instance; ``nonce`` tells it from its others."""

    nonce: int
    phase: Phase = Phase.CLAIMING


class ClaimTable:
    """Claims of this run of this instance that are not settled in the log.

    Load: every keyed charge, a few thousand open at once.

    What goes wrong: the append of a claim times out, its caller is refused,
    and the claim lands afterwards.  The key would then be held for good by an
    instance that never ran it.  Or a peer asks whether the request was sent at
    the very moment at which it is about to be.  Hence a claim is in this book
    from before its record is sent until its end has been *read back* from the
    log, and only of one that is not in it may be said that it was never sent:
    none gets in a second time, since no nonce is used twice.
    """

    def __init__(self) -> None:
        self._count = 0
        self._claims: dict[str, Claim] = {}
        self._lost: dict[str, int] = {}
        self._settled: dict[str, int] = {}
        self._lost_upto = 0

    def find(self, key: str) -> Claim | None:
        """Return this instance's claim on a key, if it has one."""
        return self._claims.get(key)

    def begin(self, key: str) -> int:
        """Enter a new claim and return its nonce; the key must have none."""
        assert key not in self._claims
        self._count += 1
        self._claims[key] = Claim(self._count)
        return self._count

    def set_phase(self, key: str, phase: Phase) -> None:
        """Note how far a claimed request has come."""
        claim = self._claims.get(key)
        if claim is None:
            return
        claim.phase = phase
        if phase is Phase.OUTCOME_UNKNOWN:
            self._bound_lost(key, claim.nonce)

    def _bound_lost(self, key: str, nonce: int) -> None:
        self._lost[key] = nonce
        if len(self._lost) > MAX_UNKNOWN_CLAIMS:
            oldest = next(iter(self._lost))
            # Forgotten one by one, but still never said to be "never sent".
            self._lost_upto = max(self._lost_upto, self._lost.pop(oldest))
            self._claims.pop(oldest, None)

    def settle(self, key: str) -> None:
        """Note that the outcome of a claim was read back from the log."""
        claim = self._claims.pop(key, None)
        self._lost.pop(key, None)
        if claim is None:
            return
        self._settled[key] = claim.nonce
        if len(self._settled) > MAX_SETTLED_CLAIMS:
            del self._settled[next(iter(self._settled))]

    def remove(self, key: str) -> None:
        """Forget a claim whose request was certainly never sent."""
        self._claims.pop(key, None)
        self._lost.pop(key, None)

    def send_status(self, key: str, nonce: int) -> SendStatus:
        """Return whether the request of a claim of this instance was sent.

        Once this has said "never", it stays so: whoever asked may give the
        claim back in this instance's name.
        """
        claim = self._claims.get(key)
        if self._settled.get(key) == nonce:
            return SendStatus.DONE
        if claim is None or claim.nonce != nonce:
            return SendStatus.UNKNOWN if nonce <= self._lost_upto else SendStatus.NEVER
        return _SAID.get(claim.phase, SendStatus.RUNNING)
