"""The soak, by a few seeds; ``python -m standins.soak`` plays any others."""

import asyncio

import pytest

from standins.soak import run_seed

#: Seeds that failed once, each with how long faults came, and the cause.
KEPT = {
    # Told to stop while the store was slow to be told of it, an instance took
    # longer than the platform waits, and was killed under its callers.
    7: 15.0,
    # Asked for a job while records expired under its reading, an instance passed
    # the store's "gone" on as "no such job".
    202: 15.0,
}


@pytest.mark.parametrize(("seed", "seconds"), [*KEPT.items(), (101, 8.0)])
def test_promises_hold_while_faults_come_one_over_the_other(tmp_path, seed, seconds):
    """Instances are killed, stopped, paused and cut off from the store, workers
    restart, and the store is slow or loses answers, some of it at once.

    A user sees requests refused or answered late; none that was accepted is
    lost, no task runs twice, and a key that was withdrawn is served no more.
    """
    report = asyncio.run(run_seed(seed, tmp_path, seconds))
    assert report.violations == (), report.history
    assert report.accepted > 20
