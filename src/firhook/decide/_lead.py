"""When an instance may claim its zone's lead, and when a lead may lend.

Two clocks of a lead matter.  By the log its lease lasts ``lease_s`` from
before its last renewal was sent; that is what placing tasks relies on.
Lending room for requests must go on when the log is out, which happens for
long stretches, or every zone would stop serving together.  So a lead that
cannot renew may go on lending as long as every other instance on its roster
has lately promised not to claim the lead; nobody else may hold room.
"""

from collections.abc import Iterable

import attrs

from firhook.decide._lease import MAX_CLOCK_DRIFT


@attrs.frozen(slots=True)
class LeadTimes:
    """Spans of time that all instances of a cell have alike, in seconds.

    :param lease_s: the lead's lease by the log.
    :param margin_s: what others wait beyond it.
    :param ttl_s: how long a promise not to claim lasts, and a grant.
    :param linger_s: the longest that a request may run.
    :param outage_s: longest that a lead lends without the log.
    """

    lease_s: float
    margin_s: float
    ttl_s: float
    linger_s: float
    outage_s: float


@attrs.frozen(slots=True)
class LeadObservation:
    """What a would-be lead knows of the present one, on its own clock.

    :param released: whether the lead was handed back.
    :param lapsed: whether its lease by the log has certainly ended.
    :param log_age_s: since the end of the log was last seen.
    :param promised_at: when the stamp was read that was last sent back as a
        promise not to claim.
    """

    released: bool
    lease_expired: bool
    log_age_s: float
    promised_at: float


def may_claim(
    sight: LeadObservation, times: LeadTimes, now: float, max_age_s: float
) -> bool:
    """Return whether to claim the lead.

    Without a fresh sight of the log a claim would be judged on a lead that
    has renewed meanwhile; it would lose, but only after having been in the
    way of the others.  The promise given with the last ask must have ended,
    since the lead may still rely on it.

    :param max_age_s: oldest sight of the log's end that will do.
    """
    if sight.log_age_s > max_age_s:
        return False
    if sight.released:
        return True
    promised_until = sight.promised_at + times.ttl_s * (1 + MAX_CLOCK_DRIFT)
    return sight.lease_expired and now > promised_until


def may_lend(
    held_until: float, outage_until: float, promises: Iterable[float], now: float
) -> bool:
    """Return whether a lead may lend at this moment.

    :param held_until: when its lease by the log ends.
    :param outage_until: when it must stop lending without the log at last.
    :param promises: until when each other instance on the roster has promised
        not to claim; counted from before the promise was made.
    """
    if now < held_until:
        return True
    return now < outage_until and all(now < until for until in promises)


@attrs.frozen(slots=True)
class PreviousLead:
    """What a new lead knows of the one before it.

    :param released: whether that one handed the lead back and so holds nothing.
    :param roster: instances that it may have lent to.
    :param me: the new lead.
    :param answered: those that have answered the new lead, and so take no
        more room from an older lead and promise it nothing more.
    :param lead_read_at: when its last claim or renewal was read.
    """

    released: bool
    roster: frozenset[str]
    new_lead: str
    answered: frozenset[str]
    lead_read_at: float


def holdings_end_at(seen: PreviousLead, times: LeadTimes, now: float) -> float:
    """Return when whatever silent instances hold has certainly ended.

    The lead before may be cut off and lending still.  It cannot be if it was
    released, if this instance is on its roster and so has let its promise
    lapse before claiming, or if another on its roster has answered and so
    promises it nothing more.  Otherwise, which takes a zone whose instances
    were all lost at once, only its limit of lending without the log is sure.
    """
    lapse_s = times.ttl_s + times.linger_s
    if seen.released or seen.new_lead in seen.roster:
        return now + lapse_s
    if seen.roster & seen.answered:
        return now + times.ttl_s * (1 + MAX_CLOCK_DRIFT) + lapse_s
    stopped = (
        seen.lead_read_at + times.outage_s * (1 + MAX_CLOCK_DRIFT) + times.margin_s
    )
    return max(stopped, now) + lapse_s
