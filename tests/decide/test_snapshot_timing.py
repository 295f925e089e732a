"""When snapshots are made, and by which zone."""

from firhook.decide.snapshot_timing import is_snapshot_due, snapshot_rank


def test_next_zone_makes_the_snapshot_when_the_first_is_lost():
    """The first zone, which normally makes the snapshots, is lost undetected.

    Without a snapshot the state would be lost once its records expire.
    """
    zones = ("porto", "lisboa", "braga")
    ranks = [snapshot_rank(zone, zones) for zone in ("braga", "lisboa", "porto")]
    due = [is_snapshot_due(1250, 0, rank, 1, 1000, 3600) for rank in ranks]
    assert due == [True, True, False]
    assert is_snapshot_due(0, 5400, 2, 1, 1000, 3600)


def test_long_snapshots_are_made_less_often():
    """Otherwise thousands of claims a minute would cause megabytes of snapshots."""
    assert is_snapshot_due(5000, 0, 0, 1, 5000, 3600)
    assert not is_snapshot_due(5000, 0, 0, 90, 5000, 3600)
    assert is_snapshot_due(17_800, 0, 0, 90, 5000, 3600)
