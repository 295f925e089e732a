"""Orders and ends of attempts, one fault at a time."""

import attrs

from firhook.decide.orders import ORDER_TTL_S
from tests.decide.cell_world import STREAM, TIMING, World


def elect(world, who=0):
    """Have a lead claim, fence its zone and poll every worker."""
    lead = world.leads[who]
    lead.read("cell")
    lead.campaign()
    if world.appends:
        world.land(0)
    for other in world.leads:
        other.read("cell")
    log_decisions(world, lead)
    for _ in range(2):
        exchange_all(world, lead)
    return lead


def log_decisions(world, lead):
    """Append and read back until the lead has nothing more to append."""
    lead.read(STREAM)
    for _ in range(6):
        lead.decide()
        if not world.appends:
            return
        world.land(0)
        lead.read(STREAM)


def exchange_all(world, lead, fault="ok"):
    for name in world.workers:
        world.exchange(lead, name, fault)


def started(world):
    return [(w.name, ref) for w in world.workers.values() for ref in w.starts]


def running_world(tasks=1, cpus=3.0):
    """Return a world whose first lead has tasks running, and that lead."""
    world = World(worker_rates=(1.0, 1.0), lead_rates=(1.0, 1.0))
    world.submit(tasks, cpus)
    lead = elect(world)
    log_decisions(world, lead)
    exchange_all(world, lead)
    assert len(started(world)) == tasks
    return world, lead


def worker_of(world, lead):
    ((name, _ref, _task),) = lead.zone.live_attempts()
    return world.workers[name]


def test_a_start_that_comes_again_after_its_end_starts_nothing():
    """The network delivers a copy of a start after the attempt has failed.

    If the worker had to forget the attempt while the copy may still arrive, the copy
    would start it again beside the next attempt on another worker, and the task would
    run twice.
    """
    world = World(worker_rates=(1.0, 1.0), lead_rates=(1.0, 1.0))
    world.submit(1, 3.0)
    lead = elect(world)
    log_decisions(world, lead)
    exchange_all(world, lead, "twice")
    worker = worker_of(world, lead)
    (ref,) = worker.tasks
    worker.tasks[ref].state = "failed"
    exchange_all(world, lead)
    log_decisions(world, lead)
    exchange_all(world, lead)
    exchange_all(world, lead)
    for name, order in world.delayed_orders:
        world.workers[name].sync(order, world.now)
        world.check()
    assert [r for _, r in started(world)].count(ref) == 1


def test_an_ended_attempt_is_forgotten_once_no_start_can_arrive():
    world, lead = running_world()
    worker = worker_of(world, lead)
    (ref,) = worker.tasks
    worker.tasks[ref].state = "done"
    exchange_all(world, lead)
    log_decisions(world, lead)
    exchange_all(world, lead)
    assert ref in worker.tasks
    world.now += ORDER_TTL_S + 0.1
    for _ in range(2):
        lead.campaign()
        world.land(0)
        lead.read("cell")
        exchange_all(world, lead)
    assert ref not in worker.tasks


def deposed_world():
    """Return a world whose first lead is deposed with an assignment in transit.

    The job of that assignment is cancelled and another of the same size waits, so
    both can be assigned to the only worker.
    """
    world = World(worker_rates=(1.0,), lead_rates=(1.0, 1.0))
    old = elect(world, 0)
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
    """An assignment of a paused lead lands after its successor's fence.

    The successor has assigned the same resources.  If the late assignment were valid,
    the worker would be overcommitted.
    """
    world, new, late = deposed_world()
    log_decisions(world, new)
    exchange_all(world, new)
    log_decisions(world, new)
    world.appends.append(late)
    world.land(0)
    assert logged_cpus(world) == 3.0


def test_a_deposed_leads_assignment_just_before_its_successors_is_seen_first():
    """The late append lands after the successor has polled the workers.

    If the successor placed tasks before its first record was read back, it would not
    know of the late assignment and would overcommit the worker.
    """
    world, new, late = deposed_world()
    new.read(STREAM)
    new.term.update_workers(world.endpoints())
    exchange_all(world, new)
    new.decide()
    world.appends.insert(0, late)
    while world.appends:
        world.land(0)
    log_decisions(world, new)
    assert logged_cpus(world) == 3.0


def test_a_deposed_leads_assignment_before_the_fence_is_ended_as_lost():
    """A lead's last assignment lands between its successor's claim and fence.

    The successor cannot know whether the start was sent, so it must not start the
    attempt.  Once the worker has seen its epoch, it records the attempt as lost.
    """
    world = World(worker_rates=(1.0,), lead_rates=(1.0, 1.0))
    old = elect(world, 0)
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
        exchange_all(world, new)
        log_decisions(world, new)
    exchange_all(world, new)
    assert [ref[2] for _, ref in started(world)] == [2]
    world.check()


def test_a_poll_alone_does_not_prove_an_attempt_absent():
    """An old lead's start is in transit while its successor polls the worker.

    The worker has not seen the successor's epoch and would still accept the start.
    If the successor relied on the poll alone, it would assign the next attempt, and
    the task would run twice.
    """
    world = World(worker_rates=(1.0,), lead_rates=(1.0, 1.0))
    old = elect(world, 0)
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
    exchange_all(world, new)
    assert new.term.endings(new.now()) == ()
    exchange_all(world, new)
    assert [e.outcome for e in new.term.endings(new.now())] == ["lost"]


def test_after_an_unknown_append_nothing_is_placed_before_a_fence():
    """The answer to an assignment is lost and the lead stops waiting.

    The record may land at any time.  If another task were placed before that, the
    late record would put both on one worker.
    """
    world = World(worker_rates=(1.0,), lead_rates=(1.0,))
    lead = elect(world)
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
    """A worker is briefly unreachable before a start is sent.

    The end of the attempt is decided and being appended.  If the start were sent
    now, the log would record a running attempt as ended.
    """
    world = World(worker_rates=(1.0,), lead_rates=(1.0,))
    lead = elect(world)
    world.submit(1, 3.0)
    lead.read("cell")
    log_decisions(world, lead)
    lead.term.note_unreachable("w0")
    lead.decide()
    assert len(world.appends) == 1
    exchange_all(world, lead)
    exchange_all(world, lead)
    assert started(world) == []
    world.land(0)
    world.check()


def test_an_unreachable_worker_keeps_its_tasks():
    """A worker is unreachable for less than its tasks' lease.

    Ending its tasks at the first lost answer would discard hours of work.
    """
    world, lead = running_world()
    worker = worker_of(world, lead)
    (ref,) = worker.tasks
    exchange_all(world, lead, "unanswered")
    for _ in range(3):
        world.now += 2.0
        lead.campaign()
        world.land(0)
        lead.read("cell")
        log_decisions(world, lead)
        exchange_all(world, lead, "cut")
    exchange_all(world, lead)
    exchange_all(world, lead)
    log_decisions(world, lead)
    assert lead.zone.is_live(ref)
    assert worker.tasks[ref].state == "running"


def test_a_cut_off_lead_renews_until_its_hold_ends_and_then_stops():
    """A lead that is partitioned from the log renews tasks but starts none.

    Before another zone may adopt the jobs, exclusive tasks are checkpointed and
    stopped.
    """
    world, lead = running_world()
    worker = worker_of(world, lead)
    (ref,) = worker.tasks
    states = []
    while lead.lease_status().hold_left_s > -TIMING.lease_s:
        world.now += TIMING.sync_s
        exchange_all(world, lead)
        worker.tick(world.now)
        states.append((lead.lease_status().hold_left_s > 4.0, worker.tasks[ref].state))
    assert {state for early, state in states if early} == {"running"}
    assert states[-1] == (False, "stopped")
    assert worker.tasks[ref].reason == "its zone is cut off from the log"


def test_replicas_keep_running_after_the_hold():
    world = World(worker_rates=(1.0,), lead_rates=(1.0,))
    world.submit(1, 3.0, exclusive=False)
    lead = elect(world)
    log_decisions(world, lead)
    for _ in range(25):
        exchange_all(world, lead)
        world.now += TIMING.sync_s
    assert len(world.workers["w0"].running(world.now)) == 1


def test_a_task_of_an_adopted_job_is_stopped():
    """A zone recovers after another zone has adopted its jobs."""
    world, lead = running_world()
    worker = worker_of(world, lead)
    (ref,) = worker.tasks
    entry = lead.cell.jobs[ref[0]]
    lead.cell.jobs[ref[0]] = attrs.evolve(entry, zone="lekki")
    exchange_all(world, lead)
    assert worker.tasks[ref].reason == "zone lekki has adopted its job"


def test_a_restarted_worker_refuses_orders_of_its_earlier_incarnation():
    """A worker restarts while a start is in transit.

    It has lost the epoch and its clock restarts, so neither the order's expiry nor
    its epoch would lead to a refusal.
    """
    world = World(worker_rates=(1.0,), lead_rates=(1.0,))
    world.submit(1, 3.0)
    world.now = 50.0
    lead = elect(world)
    log_decisions(world, lead)
    exchange_all(world, lead, "late")
    world.workers["w0"].restart(world.now)
    ((name, order),) = world.delayed_orders
    assert order.start
    assert world.workers[name].sync(order, world.now) is None


def test_a_worker_that_runs_just_what_it_should_is_renewed_by_a_digest():
    world, lead = running_world(tasks=2, cpus=1.0)
    for _ in range(8):
        world.now += 2.0
        lead.campaign()
        world.land(0)
        lead.read("cell")
        exchange_all(world, lead)
        log_decisions(world, lead)
    busy = [w for w in world.workers.values() if w.tasks]
    assert sum(len(w.running(world.now)) for w in busy) == 2
    order = lead.term.next_order(busy[0].name, lead.lease_status(), lead.now())
    assert order.renew_all
    assert not order.renew


def test_a_digest_that_differs_renews_nothing_and_brings_a_full_report():
    """A task ends between two orders.

    The lead must not rely on the tasks of the worker's previous report.
    """
    world, lead = running_world(tasks=2, cpus=1.0)
    exchange_all(world, lead)
    worker = next(w for w in world.workers.values() if w.tasks)
    ref = next(iter(worker.tasks))
    worker.tasks[ref].state = "failed"
    exchange_all(world, lead)
    assert [e.outcome for e in lead.term.endings(lead.now())] == ["failed"]
