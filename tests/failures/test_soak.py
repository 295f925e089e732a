"""The soak with a few seeds; ``python -m standins.soak`` runs any others."""

import asyncio

import pytest

from standins.soak import INITIAL_FAULT_KINDS, run_seed

#: Seeds that once failed, with the seconds of faults and the cause.
REGRESSION_SEEDS = {
    # An instance was stopped while the store was slow.  Announcing the stop took
    # longer than the platform's grace period, so it was killed while serving.
    7: 15.0,
    # Records expired while an instance was reading them for a query of a job.  It
    # returned the store's "gone" as "no such job".
    202: 15.0,
}


@pytest.mark.parametrize(
    ("seed", "seconds", "kinds"),
    [
        *((seed, s, INITIAL_FAULT_KINDS) for seed, s in REGRESSION_SEEDS.items()),
        (101, 8.0, INITIAL_FAULT_KINDS),
        (102, 10.0, ("lead_lost", "worker_lost", "stop", "store_slow")),
    ],
)
def test_guarantees_hold_under_overlapping_faults(tmp_path, seed, seconds, kinds):
    """Instances, workers and the store fail, with overlapping faults.

    Instances are killed, stopped, paused and cut off from the store, workers
    restart, and the store is slow or loses responses.  Requests may be refused or
    served late.  No accepted job is lost, no task runs twice, and a withdrawn key
    is refused.
    """
    report = asyncio.run(run_seed(seed, tmp_path, seconds, kinds=kinds))
    assert report.violations == (), report.history
    assert report.accepted > 20


def test_periodic_and_labelled_jobs_run_once_under_overlapping_faults(tmp_path):
    """Leads are lost, and workers restart as ones of another kind.

    No step that is done runs again, each occurrence runs, and no task starts on a
    worker without its label.
    """
    kinds = ("worker_kind", "lead_lost", "kill", "worker_cut", "worker_restart", "stop")
    report = asyncio.run(run_seed(202, tmp_path, 12.0, kinds=kinds, mixed=True))
    assert report.violations == (), report.history
    assert report.accepted > 20
