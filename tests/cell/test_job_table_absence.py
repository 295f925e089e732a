"""What a poll reply that does not list a run says about it."""

import pytest

from firhook.cell import MAX_LISTED_ENDS, RunEnd
from tests.cell.test_job_table_begun import INCARNATION, NOW, assign, make_table, poll


@pytest.mark.parametrize("listed", [MAX_LISTED_ENDS - 1, MAX_LISTED_ENDS])
def test_run_is_not_started_again_if_its_end_may_not_have_fitted_the_reply(listed):
    table = make_table("j", count=1)
    run = assign(table, "j")
    run.absence_conclusive_after = NOW
    others = [(f"k.0.0.{i}", 1, RunEnd.DONE) for i in range(listed)]
    poll(table, ended=others, sent_at=NOW + 1)
    assert (run in run.task.runs) == (listed == MAX_LISTED_ENDS)


def answered_run(table):
    """Return a run whose start was answered, by an incarnation that is not known."""
    run = assign(table, "j")
    run.confirmed, run.absence_conclusive_after = True, NOW
    return run


@pytest.mark.parametrize("sent_at", [NOW - 1, NOW + 1])
def test_run_of_a_restarted_worker_is_judged_by_a_poll_sent_after_its_start(sent_at):
    """A task must not start elsewhere beside the run that a restarted worker began.

    The worker restarts, replies to a poll, and then carries out the start.  The reply
    arrives after the answer to the start, which does not name the incarnation.
    """
    table = make_table("j", count=1)
    run = answered_run(table)
    poll(table, sent_at=sent_at, incarnation=INCARNATION + 1)
    assert (run in run.task.runs) == (sent_at < NOW)


@pytest.mark.parametrize("listed", [MAX_LISTED_ENDS - 1, MAX_LISTED_ENDS])
def test_run_of_a_restarted_worker_is_kept_while_its_end_may_be_listed_later(listed):
    table = make_table("j", count=1)
    run = answered_run(table)
    others = [(f"k.0.0.{i}", 1, RunEnd.DONE) for i in range(listed)]
    poll(table, ended=others, sent_at=NOW + 1, incarnation=INCARNATION + 1)
    assert (run in run.task.runs) == (listed == MAX_LISTED_ENDS)


def test_run_that_was_not_started_is_void_once_its_worker_has_restarted():
    table = make_table("j", count=1)
    run = assign(table, "j")
    poll(table, sent_at=NOW - 1, incarnation=INCARNATION + 1)
    assert run not in run.task.runs


def test_stop_confirmed_before_a_restart_does_not_void_an_open_copy_after_it():
    """A restarted worker may carry out the copy beside the task's next run."""
    table = make_table("j", count=1)
    run = assign(table, "j")
    run.copies.send(NOW)
    table.stop(run, "start_unanswered")
    run.confirm_stop(INCARNATION, NOW)
    table.take_to_stop()
    poll(table, sent_at=NOW + 1, incarnation=INCARNATION + 1)
    assert run in run.task.runs
    assert table.take_to_stop() == [run]
    poll(table, sent_at=NOW + 2, incarnation=INCARNATION + 1)
    assert run in run.task.runs
    run.confirm_stop(INCARNATION + 1, NOW + 2)
    poll(table, sent_at=NOW + 3, incarnation=INCARNATION + 1)
    assert run not in run.task.runs


@pytest.mark.parametrize("answers", [0, 1, 2])
def test_restart_voids_a_run_at_once_only_if_each_copy_was_answered(answers):
    """The answer to one copy says nothing of another at the next incarnation."""
    table = make_table("j", count=1)
    run = assign(table, "j")
    copies = [run.copies.send(NOW), run.copies.send(NOW)]
    run.copies.take()
    run.confirmed, run.absence_conclusive_after = True, NOW
    for copy in copies[:answers]:
        run.copies.settle(copy)
    poll(table, sent_at=NOW + 1, incarnation=INCARNATION + 1)
    assert (run in run.task.runs) == (answers < 2)
