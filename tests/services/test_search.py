"""Searches for accepted jobs that do not end, with short seeds of each kind.

``python -m bench search`` plays many more by hand.
"""

import pytest

from bench import search
from standins.model import SEARCHES, SearchScenario, run_virtual


@pytest.mark.parametrize("kind", sorted(SEARCHES))
@pytest.mark.parametrize("seed", range(7001, 7009))
def test_every_job_that_can_end_ends_as_it_must(kind, seed):
    outcome = run_virtual(SEARCHES[kind](seed).run())
    assert outcome.accepted > 0
    assert outcome.passed, f"seed {seed}: {outcome}"


def test_gang_starts_on_a_worker_that_was_on_probation_and_got_no_other_work():
    """It may run on one worker only, which takes a single task while on probation."""
    outcome = run_virtual(SEARCHES["limits"](20112).run())
    assert outcome.passed, outcome


class ForgottenJob(SearchScenario):
    """A job is taken for accepted that the cell knows nothing of."""

    kinds = ("kill",)

    async def _settle(self):
        await super()._settle()
        self.cell.accepted[self.cell.new_job_id()] = "/plan/"


def test_search_finds_a_job_that_does_not_end():
    outcome = run_virtual(ForgottenJob(1).run())
    assert not outcome.passed
    assert len(outcome.unfinished) == 1


def test_command_prints_how_many_findings_there_are(capsys):
    assert search.main(["--kinds", "timed", "--seeds", "2", "--processes", "1"]) == 0
    assert "timed: 2 seeds" in capsys.readouterr().out
    assert search.main(["--kinds", "nothing"]) == 2
