"""The arithmetic behind the pages of capacity and of measures."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench._slope import bend, slope
from scripts._pages import fill
from scripts.capacity import Budget, Cost, Size
from scripts.measures import verdicts


@given(st.floats(-1e3, 1e3), st.floats(-1e3, 1e3))
def test_points_on_a_line_give_that_line(per_unit, base):
    sizes = (6, 40, 120)
    values = [base + per_unit * n for n in sizes]
    assert slope(sizes, values) == pytest.approx((per_unit, base), abs=1e-6)
    assert bend(sizes, values) in (None, pytest.approx(1.0, abs=1e-3))


def test_cost_that_grows_with_the_square_shows_its_bend():
    """The distance from the fitted line hides this: it is 4% of the largest value.

    A page that worked a large size out from such a line would promise far too
    little, and nobody would notice before the cell had grown.
    """
    assert bend((10, 100, 1000), [100, 10_000, 1_000_000]) == pytest.approx(10.0)
    assert bend((2, 4, 8), [51.5, 51.6, 51.9]) is None


def test_page_without_its_marks_is_refused(tmp_path):
    page = tmp_path / "page.md"
    page.write_text("<!-- begin a -->old<!-- end a -->")
    fill(page, {"a": "new"})
    assert page.read_text() == "<!-- begin a -->\nnew\n<!-- end a -->"
    with pytest.raises(ValueError, match="give the marks"):
        fill(page, {"b": "new"})


def test_page_is_made_for_the_size_of_the_plan():
    size, budget = Size(), Budget()
    assert (size.workers, size.tasks, size.teams, size.zones) == (910, 9100, 120, 7)
    assert (budget.core_pct, budget.memory_mb, budget.kb_per_s) == (4.7, 64, 14)
    assert Cost(role="cell", what="x", how="y").core_pct == 0


def test_figure_is_held_against_the_target_of_its_name():
    lines = [
        {"measure": "a", "share_of_bound": 0.9, "target": 0.95},
        {"measure": "b", "p99_ms": 4.0, "p50_ms": 9.0, "target_p99_ms": 5},
        {"measure": "c", "worst": -0.1, "target": 0.05},
    ]
    found = {v.name[0]: (v.field, v.used <= 1) for v in verdicts(lines)}
    assert found == {
        "a": ("share_of_bound", False),
        "b": ("p99_ms", True),
        "c": ("worst", False),
    }
