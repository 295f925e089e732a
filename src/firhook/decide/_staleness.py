"""What may be served on the keys known, by how old the view of them is."""

import enum
from collections.abc import Iterable

import attrs


class ServiceLevel(enum.IntEnum):
    """What is served; each includes those below it."""

    NOTHING = 0
    IDEMPOTENT = 1
    ALL = 2


@attrs.frozen(slots=True)
class StalenessPolicy:
    """The operators' choice between serving on and not serving withdrawn keys.

    :param strict: whether to refuse all as soon as the view is stale.
    :param stale_s: age of the view in seconds from which it is stale.
    :param max_s: age from which nothing is served, strict or not.
    """

    strict: bool
    stale_s: float
    max_s: float


@attrs.frozen(slots=True)
class PeerLogView:
    """A peer's view of the log as its last gossip told it.

    :param age_s: seconds since that gossip came.
    :param log_age_s: how old the peer's view of the log was then.
    :param offset: how far it had read the configuration.
    """

    age_s: float
    log_age_s: float
    offset: int


def view_age_s(own_s: float, own_offset: int, peers: Iterable[PeerLogView]) -> float:
    """Return how old this instance's view of lists and keys is, in seconds.

    A peer's view counts as this instance's own once this instance has all
    that the peer had read.  It went on ageing since the gossip was sent, so
    the age of the gossip is added: without that, the last word of a peer
    that then fell silent would look fresh for as long as it is remembered.
    """
    ages = [p.age_s + p.log_age_s for p in peers if p.offset <= own_offset]
    return min([own_s, *ages])


def allowed_service(policy: StalenessPolicy, age_s: float) -> ServiceLevel:
    """Return what may be served on a view of this age.

    Load: a zone cut off from the log and from every peer with a fresher view,
    for minutes, with callers that hold good keys.  Harm prevented: a withdrawn
    key that such a zone cannot have heard of.  Jobs and charges, which last,
    are refused as soon as the view is stale.  Idempotent requests go on, since
    to refuse them would turn each cut into an outage for every caller; only
    past ``max_s`` is a leaked key the greater harm.
    """
    if age_s < policy.stale_s:
        return ServiceLevel.ALL
    if policy.strict or age_s >= policy.max_s:
        return ServiceLevel.NOTHING
    return ServiceLevel.IDEMPOTENT
