"""The lead's questions to the adviser on the platform model: late answers."""

from standins.model import pause
from tests.services.scenarios import run_scenario, step


def test_late_answers_are_used():
    """Late answers must be used rather than dropped.

    When answers took a quarter of a second longer than expected, each question was
    given up and repeated.  The repeat waited behind the first question at the adviser
    and was given up as well, so that the adviser was busy and no job began.
    """

    async def scenario(cell):
        cell.adviser.answer_delay_s = dict.fromkeys(cell.instances, 0.4)
        for _ in range(6):
            await cell.submit([step(2)], work_s=0.3)
        calls = cell.adviser.calls
        await cell.all_done(4.0)
        # Each question was repeated at most once.
        assert cell.adviser.calls - calls <= 2 * 6

    run_scenario(scenario, instances=4, workers=6, advised=True)


def test_instance_with_late_answers_is_not_asked_until_they_arrive():
    """A late question still occupies the instance's queue at the adviser."""

    async def scenario(cell):
        slow = next(n for n in cell.instances if n != cell.lead_name())
        cell.adviser.answer_delay_s[slow] = 1.5
        before = cell.adviser.calls_by_instance[slow]
        for _ in range(20):
            await cell.submit([step(1, cpu_m=100)], work_s=0.3)
            await pause(0.05)
        await cell.all_done(10.0)
        # The questions in flight when the first answer was found to be late.
        assert cell.adviser.calls_by_instance[slow] - before <= 8

    run_scenario(scenario, instances=3, workers=6, advised=True)


def test_ticket_of_a_late_answer_is_not_used_after_it_expired():
    """A ticket's validity must count from its issue, not from its arrival.

    Otherwise starts with expired tickets were refused, and gangs broke up.
    """

    async def scenario(cell):
        cell.adviser.answer_delay_s = dict.fromkeys(cell.instances, 0.2)
        # The workers are full until the first tickets of the other jobs nearly expire.
        for _ in range(12):
            await cell.submit([step(6, cpu_m=4000)], work_s=0.93)
        await cell.all_done(30.0)
        late = {name: w.expired_tickets for name, w in cell.workers.items()}
        assert sum(late.values()) == 0

    run_scenario(scenario, instances=4, workers=6, advised=True)
