"""Injected defects are caught by the random-fault simulation.

The simulation is only useful if it is known to find the defects that it looks for.
Each defect here could be introduced unnoticed by a change, and would let a task run
twice or lose a job.
"""

import math

import pytest

from firhook.cell import EndCursor, JobTable
from firhook.cell.job_table import StartCopies
from firhook.services._order_sender import OrderSender
from firhook.services._term import Term
from firhook.services._worker_link import WorkerLink
from standins.model import FaultScenario, run_virtual

SEEDS = range(40)


def first_failing_seed(kinds=()):
    """Return the first seed under which an invariant is violated, or ``None``."""
    for seed in SEEDS:
        if not run_virtual(FaultScenario(seed, kinds).run()).passed:
            return seed
    return None


def test_starting_before_the_assignment_is_stored_is_caught(monkeypatch):
    store_changes = Term._store_changes

    async def defective(self):
        self._order_sender.start_runs(self.job_table.take_planned())
        await store_changes(self)

    monkeypatch.setattr(Term, "_store_changes", defective)
    kinds = ("kill", "store_down", "freeze")
    assert first_failing_seed(kinds) is not None


def test_acknowledging_ends_before_they_are_stored_is_caught(monkeypatch):
    original_on_poll = Term.on_poll

    def defective(self, link, reply, sent_at):
        original_on_poll(self, link, reply, sent_at)
        if reply.ended:
            link.set_ack(EndCursor(reply.incarnation, reply.ended[-1].number))

    monkeypatch.setattr(Term, "on_poll", defective)
    assert first_failing_seed(("kill", "store_down")) is not None


def test_leads_with_one_fencing_token_are_caught(monkeypatch):
    init = Term.__init__

    def defective(self, lead, epoch):
        init(self, lead, epoch)
        self.fence = 1

    monkeypatch.setattr(Term, "__init__", defective)
    assert (
        first_failing_seed(("freeze", "deal_anew", "orders_late", "kill")) is not None
    )


def test_assuming_too_early_that_a_lease_expired_is_caught(monkeypatch):
    monkeypatch.setattr(WorkerLink, "lease_until", _short_lease)
    assert first_failing_seed(("worker_cut", "worker_cut_from_some")) is not None


def _short_lease(self):
    until = WorkerLink._original_lease_until(self)
    self.lease.expires_at = 0.0
    return until


WorkerLink._original_lease_until = WorkerLink.lease_until


def test_ignoring_a_start_without_an_answer_is_caught(monkeypatch):
    abandon_start = OrderSender._abandon_start

    def defective(self, run, reason):
        run.copies = StartCopies()
        abandon_start(self, run, reason)

    monkeypatch.setattr(OrderSender, "_abandon_start", defective)
    assert first_failing_seed(("orders_late", "worker_cut")) is not None


def test_trusting_a_poll_from_before_an_order_is_caught(monkeypatch):
    take_absence = JobTable._apply_absence

    def defective(self, run, reply, sent_at, now):
        run.absence_conclusive_after = -math.inf
        take_absence(self, run, reply, sent_at, now)

    monkeypatch.setattr(JobTable, "_apply_absence", defective)
    assert first_failing_seed() is not None


@pytest.mark.parametrize("seed", range(3))
def test_no_seed_fails_without_a_defect(seed):
    assert run_virtual(FaultScenario(seed).run()).passed
