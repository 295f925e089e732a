"""How soon before its end a ticket is not used any more."""

import pytest

from firhook.decide.tickets import TicketTable


def test_margin_covers_starts_as_slow_as_they_were_lately():
    """Starts took up to half a second, and tickets ended on their way."""
    table = TicketTable()
    for took_s in (0.2, 0.5, 0.25, 0.45) * 10:
        table.record_start(took_s)
    assert 0.5 < table.margin_s(2.0) <= 0.8


def test_margin_falls_again_once_starts_are_fast():
    table = TicketTable()
    for took_s in [0.5] * 10 + [0.02] * 60:
        table.record_start(took_s)
    assert table.margin_s(2.0) == pytest.approx(TicketTable().margin_s(2.0))


def test_tickets_that_end_soon_are_used_for_the_most_of_their_time():
    table = TicketTable()
    for _ in range(10):
        table.record_start(1.0)
    assert table.margin_s(0.5) == pytest.approx(0.2)
