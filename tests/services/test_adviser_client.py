"""The lead asks the adviser, over the model: answers that come late."""

from standins.model import pause
from tests.services.scenarios import run_scenario, step


def test_answers_that_are_late_are_used():
    """Answers took a quarter of a second longer than they should, and were dropped.

    Each question was put again, behind the one that was given up, and was given up
    too: the adviser was busy, and no job began.
    """

    async def scenario(cell):
        cell.adviser.answer_delay_s = dict.fromkeys(cell.instances, 0.4)
        for _ in range(6):
            await cell.submit([step(2)], work_s=0.3)
        calls = cell.adviser.calls
        await cell.all_done(4.0)
        # Each was asked about again where its answer was late, and no more.
        assert cell.adviser.calls - calls <= 2 * 6

    run_scenario(scenario, instances=4, workers=6, advised=True)


def test_instance_whose_answers_are_late_is_asked_no_more_until_they_came():
    """A question that is given up still stands in the instance's turn."""

    async def scenario(cell):
        slow = next(n for n in cell.instances if n != cell.lead_name())
        cell.adviser.answer_delay_s[slow] = 1.5
        before = cell.adviser.calls_by_instance[slow]
        for _ in range(20):
            await cell.submit([step(1, cpu_m=100)], work_s=0.3)
            await pause(0.05)
        await cell.all_done(10.0)
        # What was under way to it when the first answer was found to be late.
        assert cell.adviser.calls_by_instance[slow] - before <= 8

    run_scenario(scenario, instances=3, workers=6, advised=True)


def test_ticket_is_not_used_beyond_its_time_when_its_answer_was_late():
    """Tickets hold from when the adviser gives them, not from when they arrive.

    Starts with tickets that had ended were refused, and gangs fell apart.
    """

    async def scenario(cell):
        cell.adviser.answer_delay_s = dict.fromkeys(cell.instances, 0.2)
        # The workers are full until the first tickets of the others are about to end.
        for _ in range(12):
            await cell.submit([step(6, cpu_m=4000)], work_s=0.93)
        await cell.all_done(30.0)
        late = {name: w.expired_tickets for name, w in cell.workers.items()}
        assert sum(late.values()) == 0

    run_scenario(scenario, instances=4, workers=6, advised=True)
