"""Defects put in on purpose are caught by the random faults.

A check that finds nothing is worth little unless it is known to find what it
looks for.  Each defect here is one that a change could bring in unnoticed, and
that would let a task run twice or a job be lost.
"""

import math

import pytest

from firhook.cell import JobTable
from firhook.services._order_sender import OrderSender
from firhook.services._term import Term
from firhook.services._worker_link import WorkerLink
from standins.model import FaultScenario, run_virtual

SEEDS = range(40)


def caught(kinds=()):
    """Return the first seed under which a promise is broken."""
    for seed in SEEDS:
        if not run_virtual(FaultScenario(seed, kinds).run()).passed:
            return seed
    return None


def test_starting_before_the_assignment_is_stored_is_caught(monkeypatch):
    store = Term._store_changes

    async def hasty(self):
        self._order_sender.start_runs(self.job_table.take_planned())
        await store(self)

    monkeypatch.setattr(Term, "_store_changes", hasty)
    kinds = ("kill", "store_down", "freeze")
    assert caught(kinds) is not None


def test_acknowledging_ends_before_they_are_stored_is_caught(monkeypatch):
    look = Term.on_poll

    def hasty(self, link, seen, sent_at):
        look(self, link, seen, sent_at)
        if seen.ended:
            link.set_ack(seen.ended[-1].number)

    monkeypatch.setattr(Term, "on_poll", hasty)
    assert caught(("kill", "store_down")) is not None


def test_leads_that_share_one_fencing_token_are_caught(monkeypatch):
    start = Term.__init__

    def same(self, lead, epoch):
        start(self, lead, epoch)
        self.fence = 1

    monkeypatch.setattr(Term, "__init__", same)
    assert caught(("freeze", "deal_anew", "orders_late", "kill")) is not None


def test_taking_a_silent_worker_for_dead_too_soon_is_caught(monkeypatch):
    monkeypatch.setattr(WorkerLink, "lease_until", _short_lease)
    assert caught(("worker_cut", "worker_cut_from_some")) is not None


def _short_lease(self):
    until = WorkerLink._plain_lease_until(self)
    self.leases_expire_at = 0.0
    return until


WorkerLink._plain_lease_until = WorkerLink.lease_until


def test_forgetting_a_start_without_an_answer_is_caught(monkeypatch):
    give_up = OrderSender._abandon_start

    def careless(self, run, reason):
        run.unanswered_starts = 0
        give_up(self, run, reason)

    monkeypatch.setattr(OrderSender, "_abandon_start", careless)
    assert caught(("orders_late", "worker_cut")) is not None


def test_taking_a_look_from_before_an_order_for_proof_is_caught(monkeypatch):
    absent = JobTable._apply_absence

    def hasty(self, run, look, sent_at, now):
        run.absence_conclusive_after = -math.inf
        absent(self, run, look, sent_at, now)

    monkeypatch.setattr(JobTable, "_apply_absence", hasty)
    assert caught() is not None


@pytest.mark.parametrize("seed", range(3))
def test_without_a_defect_nothing_is_caught(seed):
    assert run_virtual(FaultScenario(seed).run()).passed
