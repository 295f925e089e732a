"""When a stream's state is appended as a snapshot, and by which zone's lead."""

from collections.abc import Sequence

#: How much longer each zone waits for a snapshot than the zone before it.
RANK_DELAY_FACTOR = 0.25
#: Records per additional chunk of the last snapshot.  A chunk is as long as about
#: 150 claim records, so snapshots never take more of the log than the claims.
RECORDS_PER_CHUNK = 200
#: A freshly started instance does not know the age of the last snapshot and
#: assumes this fraction of the interval.
INITIAL_AGE_FRACTION = 0.75


def snapshot_rank(zone: str, zones: Sequence[str]) -> int:
    """Return a zone's position in the order in which zones make snapshots."""
    return sorted(zones).index(zone)


def is_snapshot_due(
    records: int, age_s: float, rank: int, parts: int, every: int, every_s: float
) -> bool:
    """Return whether the lead of the zone with this rank makes a snapshot now.

    The whole cell makes one snapshot per ``every`` records or ``every_s``
    seconds.  The log keeps records for a limited time, and a state whose records
    expire before a snapshot is made is lost.  Normally the lead of the first zone
    makes it.  Each further zone waits a quarter longer, so another zone takes
    over from one that is lost or partitioned without failure detection.  Two
    simultaneous snapshots only cost bytes.

    :param records: records since the last complete snapshot's offset.
    :param age_s: seconds since a complete snapshot was last read.
    :param parts: number of chunks of the last snapshot.
    """
    delay_factor = 1 + RANK_DELAY_FACTOR * rank
    min_records = max(every, RECORDS_PER_CHUNK * (parts - 1))
    return records >= min_records * delay_factor or age_s >= every_s * delay_factor
