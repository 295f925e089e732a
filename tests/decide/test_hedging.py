"""Second copies of orders without an answer."""

from firhook.decide.hedging import HedgeTimer


def timer_after(latencies_s):
    timer = HedgeTimer()
    for took_s in latencies_s:
        timer.record_answer(took_s)
    return timer


def test_second_copy_follows_the_usual_latency():
    assert timer_after([]).delay_s() == 0.4
    assert timer_after([0.005] * 100).delay_s() == 0.06
    assert 0.1 < timer_after([0.1] * 100).delay_s() < 0.15
    assert timer_after([2.0] * 100).delay_s() == 0.4


def test_second_copies_do_not_double_the_load_while_most_orders_are_lost():
    """A network partition must not make the lead send everything twice."""
    timer = HedgeTimer()
    copies = 0
    for _ in range(1000):
        timer.record_order()
        copies += timer.take()
    assert copies <= 125


def test_a_twentieth_of_lost_orders_is_always_sent_again():
    timer = HedgeTimer()
    taken = []
    for number in range(1000):
        timer.record_order()
        if number % 20 == 0:
            taken.append(timer.take())
    assert all(taken)
