"""When snapshots are made, and by whom."""

from firhook.decide.snapshot_timing import is_snapshot_due, snapshot_rank


def test_lost_first_zone_is_stood_in_for():
    """The zone whose lead makes the snapshots is gone, and nobody knows it yet.

    Its records would expire with nothing to start from.
    """
    zones = ("porto", "lisboa", "braga")
    ranks = [snapshot_rank(zone, zones) for zone in ("braga", "lisboa", "porto")]
    due = [is_snapshot_due(1250, 0, rank, 1, 1000, 3600) for rank in ranks]
    assert due == [True, True, False]
    assert is_snapshot_due(0, 5400, 2, 1, 1000, 3600)


def test_long_snapshots_are_made_less_often():
    """Thousands of claims a minute would else make megabytes of snapshots."""
    assert is_snapshot_due(5000, 0, 0, 1, 5000, 3600)
    assert not is_snapshot_due(5000, 0, 0, 90, 5000, 3600)
    assert is_snapshot_due(17_800, 0, 0, 90, 5000, 3600)
