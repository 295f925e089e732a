"""What a poll reply that does not list a run says about it."""

import pytest

from firhook.cell import MAX_LISTED_ENDS, RunEnd
from tests.cell.test_job_table_begun import NOW, assign, make_table, poll


@pytest.mark.parametrize("listed", [MAX_LISTED_ENDS - 1, MAX_LISTED_ENDS])
def test_run_is_not_started_again_if_its_end_may_not_have_fitted_the_reply(listed):
    table = make_table("j", count=1)
    run = assign(table, "j")
    run.absence_conclusive_after = NOW
    others = [(f"k.0.0.{i}", 1, RunEnd.DONE) for i in range(listed)]
    poll(table, ended=others, sent_at=NOW + 1)
    assert (run in run.task.runs) == (listed == MAX_LISTED_ENDS)
