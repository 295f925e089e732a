"""Through which instance the adviser is asked, simulated without a network."""

import random

import pytest

from firhook.decide.adviser_slots import AdviserSlot, SlotPlan, choose_slot

#: Seconds that an answer about a counter ticket, a reconciliation or a match takes.
TICKET, BILL, MATCH = 0.009, 0.078, 0.48
TICK_S = 0.002


def simulate(rates, slots=7, seconds=8.0, seed=1, at_once=()):
    """Simulate requests to the adviser; return the waits for answers by cost.

    :param rates: requests per second by the cost of their answers in seconds.
    :param at_once: costs of requests that wait from the start.
    """
    rng = random.Random(seed)
    instances = [AdviserSlot(f"i{n}") for n in range(slots)]
    plan, now, waiting = SlotPlan(), 0.0, [(0.0, cost_s) for cost_s in at_once]
    waits = {cost_s: [] for cost_s in rates}
    while now < seconds:
        for cost_s, rate in rates.items():
            if rng.random() < rate * TICK_S:
                plan.record_request(str(cost_s), cost_s, now)
                waiting.append((now, cost_s))
        plan.set_waiting((str(cost_s), cost_s) for _, cost_s in waiting)
        # The work with the earliest latest start is asked about first: tickets.
        for row in sorted(waiting, key=lambda r: (r[1] != TICKET, r[0])):
            requested_at, cost_s = row
            slot = choose_slot(instances, cost_s, plan, now)
            if slot is None:
                continue
            waiting.remove(row)
            slot.busy_until = max(slot.busy_until, now) + cost_s
            waits[cost_s].append(slot.busy_until - requested_at)
        now += TICK_S
    for requested_at, cost_s in waiting:
        waits[cost_s].append(now - requested_at)
    return waits


def percentile(values, part):
    return sorted(values)[int(part * (len(values) - 1))]


@pytest.mark.parametrize("seed", range(5))
def test_burst_of_fast_requests_does_not_wait_behind_slow_ones(seed):
    """Tickets arrive five times as often as usual and large jobs twice as often.

    A ticket has 0.4 s in all before it is late.
    """
    waits = simulate({TICKET: 130.0, BILL: 5.0, MATCH: 3.0}, seed=seed)
    assert percentile(waits[TICKET], 0.99) < 0.2
    assert percentile(waits[BILL], 0.9) < 1.0


@pytest.mark.parametrize("seed", range(5))
def test_new_lead_gets_answers_before_waiting_work_is_too_late(seed):
    """After an outage of all instances many jobs wait and no advice is known.

    All instances lost power for two seconds.  Behind bills and matches, the requests
    for counter tickets would take seconds more while the workers are idle.
    """
    before = [MATCH] * 10 + [BILL] * 30 + [TICKET] * 160
    rates = {TICKET: 60.0, BILL: 4.0, MATCH: 1.0}
    waits = simulate(rates, seconds=4.0, seed=seed, at_once=before)
    assert percentile(waits[TICKET], 0.99) < 0.8
    assert percentile(waits[BILL], 0.9) < 2.5


@pytest.mark.parametrize("seed", range(5))
def test_slow_requests_use_all_slots_that_fast_ones_do_not_need(seed):
    waits = simulate({TICKET: 25.0, MATCH: 5.0}, seed=seed)
    assert percentile(waits[MATCH], 0.9) < 1.5
    assert percentile(waits[TICKET], 0.99) < 0.1


def test_slow_requests_leave_a_slot_for_fast_ones():
    """An answer for a plan takes a second, one for a quote 15 ms, in sequence."""
    slots = [AdviserSlot(f"i{i}") for i in range(8)]
    plan, now = SlotPlan(), 10.0
    for _ in range(20):
        slot = choose_slot(slots, 1.0, plan, now)
        if slot is None:
            break
        slot.busy_until = max(slot.busy_until, now) + 1.0
    fast = choose_slot(slots, 0.015, plan, now)
    assert fast is not None
    assert fast.busy_until <= now


def test_unreachable_instance_is_asked_with_exponential_backoff():
    slot = AdviserSlot("gone")
    now, asked = 0.0, 0
    while now < 30.0:
        if choose_slot([slot], 0.01, SlotPlan(), now):
            asked += 1
            slot.note_failure(now)
        now += 0.1
    assert asked <= 8
