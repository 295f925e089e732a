"""Orders and ends of attempts, one fault at a time."""

import attrs

from firhook.decide.orders import ORDER_TTL_S
from tests.decide.cell_world import STREAM, TIMING, World


def settle(world, who=0):
    """Have a lead claim, fence its zone and look at every worker."""
    lead = world.leads[who]
    lead.read("cell")
    lead.campaign()
    if world.appends:
        world.land(0)
    for other in world.leads:
        other.read("cell")
    log_decisions(world, lead)
    for _ in range(2):
        talk_all(world, lead)
    return lead


def log_decisions(world, lead):
    """Append and read back until the lead has nothing more to say."""
    lead.read(STREAM)
    for _ in range(6):
        lead.decide()
        if not world.appends:
            return
        world.land(0)
        lead.read(STREAM)


def talk_all(world, lead, fault="ok"):
    for name in world.workers:
        world.talk(lead, name, fault)


def started(world):
    return [(w.name, ref) for w in world.workers.values() for ref in w.starts]


def running_world(tasks=1, cpus=3.0):
    """Return a world whose first lead has tasks running, and that lead."""
    world = World(worker_rates=(1.0, 1.0), lead_rates=(1.0, 1.0))
    world.submit(tasks, cpus)
    lead = settle(world)
    log_decisions(world, lead)
    talk_all(world, lead)
    assert len(started(world)) == tasks
    return world, lead


def worker_of(world, lead):
    ((name, _ref, _task),) = lead.zone.live_attempts()
    return world.workers[name]


def test_a_start_that_comes_again_after_its_end_starts_nothing():
    """The network keeps a copy of a start.

    The task fails and its end is logged.  Were the worker told to forget it
    while the copy may still arrive, the copy would start it anew, beside the
    next attempt at another worker.  A user would see one plan run twice.
    """
    world = World(worker_rates=(1.0, 1.0), lead_rates=(1.0, 1.0))
    world.submit(1, 3.0)
    lead = settle(world)
    log_decisions(world, lead)
    talk_all(world, lead, "twice")
    worker = worker_of(world, lead)
    (ref,) = worker.tasks
    worker.tasks[ref].state = "failed"
    talk_all(world, lead)
    log_decisions(world, lead)
    talk_all(world, lead)
    talk_all(world, lead)
    for name, order in world.mail:
        world.workers[name].sync(order, world.now)
        world.check()
    assert [r for _, r in started(world)].count(ref) == 1


def test_an_ended_attempt_is_forgotten_once_no_start_can_arrive():
    world, lead = running_world()
    worker = worker_of(world, lead)
    (ref,) = worker.tasks
    worker.tasks[ref].state = "done"
    talk_all(world, lead)
    log_decisions(world, lead)
    talk_all(world, lead)
    assert ref in worker.tasks
    world.now += ORDER_TTL_S + 0.1
    for _ in range(2):
        lead.campaign()
        world.land(0)
        lead.read("cell")
        talk_all(world, lead)
    assert ref not in worker.tasks


def deposed_world():
    """Return a world whose first lead is deposed with an assignment on its way.

    The job of that assignment is cancelled and another of the same size waits,
    so that the two can meet on the only worker.
    """
    world = World(worker_rates=(1.0,), lead_rates=(1.0, 1.0))
    old = settle(world, 0)
    key = world.submit(1, 3.0)
    old.read("cell")
    old.decide()
    late = world.appends.pop()
    world.cancel(key)
    world.submit(1, 3.0)
    world.now += 8.0
    new = world.leads[1]
    new.read("cell")
    new.campaign()
    world.land(0)
    new.read("cell")
    return world, new, late


def logged_cpus(world):
    zone, cell = world.truth[STREAM], world.truth["cell"]
    return sum(cell.jobs[ref[0]].job.cpus for _, ref, _ in zone.live_attempts())


def test_a_deposed_leads_assignment_after_the_fence_is_void():
    """A lead assigns, and is paused while the append is on its way.

    Its successor has fenced the zone's stream and given the same room away
    when the append lands.  Were it valid, one worker would be given more than
    it has.
    """
    world, new, late = deposed_world()
    log_decisions(world, new)
    talk_all(world, new)
    log_decisions(world, new)
    world.appends.append(late)
    world.land(0)
    assert logged_cpus(world) == 3.0


def test_a_deposed_leads_assignment_just_before_its_successors_is_seen_first():
    """The late append lands after its successor has looked at the workers.

    A successor that placed before its first record was read back would not
    know of it, and the two assignments would share the room of one.
    """
    world, new, late = deposed_world()
    new.read(STREAM)
    new.term.update_workers(world.endpoints())
    talk_all(world, new)
    new.decide()
    world.appends.insert(0, late)
    while world.appends:
        world.land(0)
    log_decisions(world, new)
    assert logged_cpus(world) == 3.0


def test_a_deposed_leads_assignment_before_the_fence_is_ended_as_lost():
    """A lead's last assignment lands between its successor's claim and fence.

    The successor reads it before its own fence.  It cannot know whether the
    start was sent, so it starts nothing of it; it has the worker see its own
    epoch and then records the attempt as lost.
    """
    world = World(worker_rates=(1.0,), lead_rates=(1.0, 1.0))
    old = settle(world, 0)
    world.submit(1, 3.0)
    old.read("cell")
    old.decide()
    (late,) = world.appends
    world.appends.clear()
    world.now += 8.0
    new = world.leads[1]
    new.read("cell")
    new.campaign()
    world.land(0)
    new.read("cell")
    world.appends.append(late)
    world.land(0)
    log_decisions(world, new)
    for _ in range(3):
        talk_all(world, new)
        log_decisions(world, new)
    talk_all(world, new)
    assert [ref[2] for _, ref in started(world)] == [2]
    world.check()


def test_a_look_alone_does_not_prove_an_attempt_absent():
    """An old lead's start is on its way while its successor only looks.

    The worker has not seen the successor's epoch and would still take the
    start.  A successor that went by the look would assign the next attempt,
    and the plan would run twice.
    """
    world = World(worker_rates=(1.0,), lead_rates=(1.0, 1.0))
    old = settle(world, 0)
    world.submit(1, 3.0)
    old.read("cell")
    log_decisions(world, old)
    world.now += 7.5
    new = world.leads[1]
    new.read("cell")
    new.campaign()
    world.land(0)
    new.read("cell")
    log_decisions(world, new)
    talk_all(world, new)
    assert new.term.endings(new.now()) == ()
    talk_all(world, new)
    assert [e.outcome for e in new.term.endings(new.now())] == ["lost"]


def test_after_an_unknown_append_nothing_is_placed_before_a_fence():
    """The answer to an assignment is lost and the lead gives up waiting.

    The record may land any time.  Were the room given to another task before
    that, the late record would put both on one worker.
    """
    world = World(worker_rates=(1.0,), lead_rates=(1.0,))
    lead = settle(world)
    first = world.submit(1, 3.0)
    lead.read("cell")
    lead.decide()
    (late,) = world.appends
    world.appends.clear()
    lead.give_up_append()
    world.cancel(first)
    world.submit(1, 3.0)
    lead.read("cell")
    lead.decide()
    world.appends.insert(0, late)
    while world.appends:
        world.land(0)
    assert logged_cpus(world) == 3.0
    log_decisions(world, lead)
    assert logged_cpus(world) == 3.0


def test_a_decided_end_keeps_its_task_from_being_started():
    """A worker falls silent before a start is sent, and is back at once.

    The end is decided and on its way to the log.  Were the start sent now,
    the log would declare over what runs.
    """
    world = World(worker_rates=(1.0,), lead_rates=(1.0,))
    lead = settle(world)
    world.submit(1, 3.0)
    lead.read("cell")
    log_decisions(world, lead)
    lead.term.note_unreachable("w0")
    lead.decide()
    assert len(world.appends) == 1
    talk_all(world, lead)
    talk_all(world, lead)
    assert started(world) == []
    world.land(0)
    world.check()


def test_a_silent_worker_keeps_its_tasks_and_is_adopted_when_back():
    """A worker's link is cut for less than its lease.

    Its tasks go on under the lease.  Ending them at the first lost answer
    would throw away hours of a blend plan for nothing.
    """
    world, lead = running_world()
    worker = worker_of(world, lead)
    (ref,) = worker.tasks
    talk_all(world, lead, "unanswered")
    for _ in range(3):
        world.now += 2.0
        lead.campaign()
        world.land(0)
        lead.read("cell")
        log_decisions(world, lead)
        talk_all(world, lead, "cut")
    talk_all(world, lead)
    talk_all(world, lead)
    log_decisions(world, lead)
    assert lead.zone.is_live(ref)
    assert worker.tasks[ref].state == "running"


def test_a_cut_off_lead_renews_until_its_hold_ends_and_then_stops():
    """A zone is cut off from the log.

    Its lead goes on renewing what runs, starts nothing, and before another
    zone may adopt the jobs it has exclusive tasks checkpointed and stopped.
    """
    world, lead = running_world()
    worker = worker_of(world, lead)
    (ref,) = worker.tasks
    states = []
    while lead.standing().hold_left_s > -TIMING.lease_s:
        world.now += TIMING.sync_s
        talk_all(world, lead)
        worker.tick(world.now)
        states.append((lead.standing().hold_left_s > 4.0, worker.tasks[ref].state))
    assert {state for early, state in states if early} == {"running"}
    assert states[-1] == (False, "stopped")
    assert worker.tasks[ref].reason == "its zone is cut off from the log"


def test_replicas_go_on_after_the_hold():
    world = World(worker_rates=(1.0,), lead_rates=(1.0,))
    world.submit(1, 3.0, exclusive=False)
    lead = settle(world)
    log_decisions(world, lead)
    for _ in range(25):
        talk_all(world, lead)
        world.now += TIMING.sync_s
    assert len(world.workers["w0"].running(world.now)) == 1


def test_a_task_of_an_adopted_job_is_stopped():
    """A zone is back after another zone has adopted its jobs."""
    world, lead = running_world()
    worker = worker_of(world, lead)
    (ref,) = worker.tasks
    entry = lead.cell.jobs[ref[0]]
    lead.cell.jobs[ref[0]] = attrs.evolve(entry, zone="lekki")
    talk_all(world, lead)
    assert worker.tasks[ref].reason == "zone lekki has adopted its job"


def test_a_restarted_worker_takes_no_order_of_its_earlier_run():
    """A worker restarts while a start is on its way to it.

    It has forgotten the epoch and its clock begins anew, so that the order
    looks early and its epoch new enough.
    """
    world = World(worker_rates=(1.0,), lead_rates=(1.0,))
    world.submit(1, 3.0)
    world.now = 50.0
    lead = settle(world)
    log_decisions(world, lead)
    talk_all(world, lead, "late")
    world.workers["w0"].restart(world.now)
    ((name, order),) = world.mail
    assert order.start
    assert world.workers[name].sync(order, world.now) is None


def test_a_worker_that_runs_just_what_it_should_is_renewed_by_a_digest():
    world, lead = running_world(tasks=2, cpus=1.0)
    for _ in range(8):
        world.now += 2.0
        lead.campaign()
        world.land(0)
        lead.read("cell")
        talk_all(world, lead)
        log_decisions(world, lead)
    busy = [w for w in world.workers.values() if w.tasks]
    assert sum(len(w.running(world.now)) for w in busy) == 2
    order = lead.term.next_order(busy[0].name, lead.standing(), lead.now())
    assert order.renew_all
    assert not order.renew


def test_a_digest_that_differs_renews_nothing_and_brings_a_full_report():
    """A task ends between two orders, or another lead's was stopped.

    The lead must not take what it remembers for what the worker runs.
    """
    world, lead = running_world(tasks=2, cpus=1.0)
    talk_all(world, lead)
    worker = next(w for w in world.workers.values() if w.tasks)
    ref = next(iter(worker.tasks))
    worker.tasks[ref].state = "failed"
    talk_all(world, lead)
    assert [e.outcome for e in lead.term.endings(lead.now())] == ["failed"]
