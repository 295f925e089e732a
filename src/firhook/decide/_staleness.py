"""What may be served on the known keys, by the age of the view of them."""

import enum
from collections.abc import Iterable

import attrs


class ServiceLevel(enum.IntEnum):
    """What may be served; each level includes the lower ones."""

    NOTHING = 0
    IDEMPOTENT = 1
    ALL = 2


@attrs.frozen(slots=True)
class StalenessPolicy:
    """Operators' choice between availability and refusing withdrawn keys.

    :param strict: whether to refuse everything once the view is stale.
    :param stale_s: age of the view in seconds from which it is stale.
    :param max_s: age from which nothing is served, strict or not.
    """

    strict: bool
    stale_s: float
    max_s: float


@attrs.frozen(slots=True)
class PeerLogView:
    """A peer's view of the log according to its last gossip.

    :param age_s: seconds since that gossip arrived.
    :param log_age_s: age of the peer's view of the log at that time, in seconds.
    :param offset: up to which offset the peer had read the configuration.
    """

    age_s: float
    log_age_s: float
    offset: int


def view_age_s(own_s: float, own_offset: int, peers: Iterable[PeerLogView]) -> float:
    """Return the age of this instance's view of lists and keys, in seconds.

    A peer's view counts as this instance's own once this instance has read
    everything that the peer had read.  The view ages after the gossip was sent, so
    the age of the gossip is added.  Otherwise the last gossip of a peer that then
    became unreachable would look fresh as long as it is stored.
    """
    ages = [p.age_s + p.log_age_s for p in peers if p.offset <= own_offset]
    return min([own_s, *ages])


def allowed_service(policy: StalenessPolicy, age_s: float) -> ServiceLevel:
    """Return what may be served on a view of this age.

    A zone may be partitioned for minutes from the log and from every peer with a
    fresher view, while its callers hold valid keys.  Such a zone cannot know of a
    withdrawn key.  Jobs and non-idempotent requests have lasting effects and are
    refused as soon as the view is stale.  Idempotent requests are still served,
    since refusing them would turn every partition into an outage for all callers;
    only beyond ``max_s`` is a leaked key the greater harm.
    """
    if age_s < policy.stale_s:
        return ServiceLevel.ALL
    if policy.strict or age_s >= policy.max_s:
        return ServiceLevel.NOTHING
    return ServiceLevel.IDEMPOTENT
