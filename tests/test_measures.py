"""Tests of the generator of the page of measures."""

import pytest

from scripts._pages import replace_sections
from scripts.measures import target_results


def test_page_without_its_marks_is_refused(tmp_path):
    page = tmp_path / "page.md"
    page.write_text("<!-- begin a -->old<!-- end a -->")
    replace_sections(page, {"a": "new"})
    assert page.read_text() == "<!-- begin a -->\nnew\n<!-- end a -->"
    with pytest.raises(ValueError, match="missing the marks"):
        replace_sections(page, {"b": "new"})


def test_figure_is_held_against_the_target_of_its_name():
    lines = [
        {"measure": "a", "share_of_bound": 0.9, "target": 0.95},
        {"measure": "b", "p99_ms": 4.0, "p50_ms": 9.0, "target_p99_ms": 5},
        {"measure": "c", "worst": -0.1, "target": 0.05},
    ]
    found = {v.name[0]: (v.field, v.used_share <= 1) for v in target_results(lines)}
    assert found == {
        "a": ("share_of_bound", False),
        "b": ("p99_ms", True),
        "c": ("worst", False),
    }
