"""That work starts soon in a large cell with an adviser, over many rounds."""

from firhook.cell import Resources, StepSpec
from tests.decide.cell_simulation import KINDS, Simulation

PLANS, CHARGES, _ = KINDS
#: The platform's rules count a job as lost if, this long after the traffic, ...
FINISH_S = 14
#: ... it has nothing running for this long although there is room for it twice.
MAX_IDLE_S = 3.0


def test_gang_starts_though_the_workers_it_may_use_are_busy_and_others_idle():
    """The adviser was asked about 100 of 270 workers only."""
    simulation = Simulation(1)
    gang = simulation.submit(PLANS, [StepSpec(24, Resources(13850, 15680), gang=True)])
    simulation.run_until(simulation.now + 0.1)
    step = gang.steps[0, 0]
    asked = sorted(simulation.asked[step.name])
    simulation.occupy(StepSpec(len(asked), Resources(20000, 1000), 60.0), asked)
    simulation.run_until(simulation.now + MAX_IDLE_S)
    assert any(step.runs())


def test_no_gang_stays_idle_after_the_load_while_there_is_room_for_it_twice():
    idle = {}
    for seed in (2, 12):
        simulation = Simulation(seed)
        simulation.begin_load(30.0)
        simulation.run_until(simulation.loaded_until + FINISH_S)
        simulation.forget_idle_steps()
        simulation.run_until(simulation.loaded_until + FINISH_S + 2 * MAX_IDLE_S)
        for name, idle_s in simulation.longest_idle_s.items():
            if idle_s >= MAX_IDLE_S:
                idle[seed, name] = round(idle_s, 2)
    assert idle == {}


def test_wide_gang_starts_in_a_busy_cell_though_younger_ones_keep_coming():
    """It is overdue soon, and the younger ones can be in time."""
    simulation = Simulation(2)
    simulation.begin_load(60.0)
    simulation.run_until(simulation.now + 14.0)
    spec = StepSpec(27, Resources(12300, 18000), 4.0, gang=True)
    step = simulation.submit(PLANS, [spec]).steps[0, 0]
    simulation.run_until(simulation.now + 20.0)
    assert step.started
