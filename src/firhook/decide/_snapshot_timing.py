"""When a stream's state is carried forward as a snapshot, and by whom."""

from collections.abc import Sequence

#: How much longer than the zone before it each zone waits for a snapshot.
RANK_DELAY_FACTOR = 0.25
#: Records for each further chunk that the last snapshot had.  A chunk is as
#: long as some 150 records of claims, so that at any rate of claims the
#: snapshots take no more of the log than the claims themselves.
RECORDS_PER_CHUNK = 200
#: An instance that has just started does not know when the last snapshot was
#: made, and counts it as this share of the interval old.
INITIAL_AGE_FRACTION = 0.75


def snapshot_rank(zone: str, zones: Sequence[str]) -> int:
    """Return a zone's place in the order of those that make snapshots."""
    return sorted(zones).index(zone)


def is_snapshot_due(
    records: int, age_s: float, rank: int, parts: int, every: int, every_s: float
) -> bool:
    """Return whether the lead of the zone with this rank makes a snapshot now.

    Load: one snapshot in ``every`` records or ``every_s`` seconds over the
    whole cell, not one per instance.  Harm prevented: the log keeps records
    for a limited time, and a state whose records expired before a snapshot
    was made is lost.  The lead of the first zone normally makes it.  Each
    further zone waits a quarter longer, so that a zone that is lost or cut
    off is stood in for without anybody having to judge whether it is alive;
    two snapshots made at once cost bytes and nothing else.

    :param records: records since the last complete snapshot's offset.
    :param age_s: seconds since a complete snapshot was last read.
    :param parts: chunks that the last snapshot had.
    """
    patience = 1 + RANK_DELAY_FACTOR * rank
    enough = max(every, RECORDS_PER_CHUNK * (parts - 1))
    return records >= enough * patience or age_s >= every_s * patience
