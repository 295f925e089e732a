"""When an instance may claim its zone's lead, and when a lead may lend capacity.

A lead has two lifetimes.  Its lease in the log lasts ``lease_s`` from before its
last renewal was sent; task placement relies on it.  Lending capacity for requests
must continue during an outage of the log, which can be long; otherwise all zones
would stop serving at once.  A lead that cannot renew may therefore keep lending
while every other instance on its roster, the only ones that may hold capacity,
has recently promised not to claim the lead.
"""

from collections.abc import Iterable

import attrs

from firhook.decide._lease import MAX_CLOCK_DRIFT


@attrs.frozen(slots=True)
class LeadTimes:
    """Durations that are the same at all instances of a cell, in seconds.

    :param lease_s: the lead's lease in the log.
    :param margin_s: how long others wait after its expiry.
    :param ttl_s: lifetime of a promise not to claim, and of a grant.
    :param linger_s: longest time that a request may run.
    :param outage_s: longest time that a lead lends without the log.
    """

    lease_s: float
    margin_s: float
    ttl_s: float
    linger_s: float
    outage_s: float


@attrs.frozen(slots=True)
class LeadObservation:
    """What a candidate knows about the current lead, on the candidate's clock.

    :param released: whether the lead was released.
    :param lease_expired: whether its lease in the log has certainly expired.
    :param log_age_s: seconds since the end of the log was last read.
    :param promised_at: when the candidate read the stamp that it last returned to
        the lead as a promise not to claim.
    """

    released: bool
    lease_expired: bool
    log_age_s: float
    promised_at: float


def may_claim(
    observation: LeadObservation, times: LeadTimes, now: float, max_age_s: float
) -> bool:
    """Return whether to claim the lead.

    Without a recent read of the log a claim might target a lead that has renewed
    in the meantime; it would lose, but only after delaying others.  The promise
    given with the last request for capacity must have expired, since the lead may
    still rely on it.

    :param max_age_s: maximum age of the last read of the log's end.
    """
    if observation.log_age_s > max_age_s:
        return False
    if observation.released:
        return True
    promised_until = observation.promised_at + times.ttl_s * (1 + MAX_CLOCK_DRIFT)
    return observation.lease_expired and now > promised_until


def may_lend(
    held_until: float, outage_until: float, promises: Iterable[float], now: float
) -> bool:
    """Return whether a lead may lend now.

    :param held_until: when its lease in the log expires.
    :param outage_until: when it must stop lending without the log.
    :param promises: when the promise of each other instance on the roster
        expires, counted from before the promise was made.
    """
    if now < held_until:
        return True
    return now < outage_until and all(now < until for until in promises)


@attrs.frozen(slots=True)
class PreviousLead:
    """What a new lead knows about the previous one.

    :param released: whether the previous lead released the lead and so holds
        nothing.
    :param roster: instances that it may have lent to.
    :param new_lead: name of the new lead.
    :param answered: instances that have answered the new lead, and so accept no
        more capacity from an older lead and give it no more promises.
    :param lead_read_at: when its last claim or renewal was read.
    """

    released: bool
    roster: frozenset[str]
    new_lead: str
    answered: frozenset[str]
    lead_read_at: float


def holdings_end_at(previous: PreviousLead, times: LeadTimes, now: float) -> float:
    """Return when the loans of unreachable instances have certainly expired.

    The previous lead may be partitioned and still lending.  It cannot be if it was
    released, if this instance is on its roster and so let its promise expire before
    it claimed, or if another instance on its roster has answered and gives it no
    more promises.  Otherwise, which requires that all instances of the zone were
    lost at once, only the limit on lending without the log is certain.
    """
    expiry_s = times.ttl_s + times.linger_s
    if previous.released or previous.new_lead in previous.roster:
        return now + expiry_s
    if previous.roster & previous.answered:
        return now + times.ttl_s * (1 + MAX_CLOCK_DRIFT) + expiry_s
    lending_ends = (
        previous.lead_read_at + times.outage_s * (1 + MAX_CLOCK_DRIFT) + times.margin_s
    )
    return max(lending_ends, now) + expiry_s
