"""The margin before its expiry in which a ticket is no longer used."""

import pytest

from firhook.decide.tickets import TicketTable


def test_margin_covers_the_recent_start_latency():
    """With starts of up to half a second, tickets expired before they arrived."""
    table = TicketTable()
    for took_s in (0.2, 0.5, 0.25, 0.45) * 10:
        table.record_start(took_s)
    assert 0.5 < table.margin_s(2.0) <= 0.8


def test_margin_shrinks_again_once_starts_are_fast():
    table = TicketTable()
    for took_s in [0.5] * 10 + [0.02] * 60:
        table.record_start(took_s)
    assert table.margin_s(2.0) == pytest.approx(TicketTable().margin_s(2.0))


def test_margin_leaves_most_of_a_short_validity_usable():
    table = TicketTable()
    for _ in range(10):
        table.record_start(1.0)
    assert table.margin_s(0.5) == pytest.approx(0.2)
