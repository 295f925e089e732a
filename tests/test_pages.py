"""The operators' pages list every option and every error as the code defines them."""

import re
from pathlib import Path

from firhook import _errors as errors
from firhook.settings import describe_options

DOCS = Path(__file__).parent.parent / "docs"


def table_rows(page: str) -> dict[str, list[str]]:
    """Return the table rows whose first cell is code, keyed by that cell."""
    rows = {}
    for line in (DOCS / "operators" / page).read_text(encoding="utf-8").splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if line.startswith("| `"):
            rows[cells[0].strip("`")] = cells[1:]
    return rows


def test_settings_page_has_every_option_with_its_default_and_range():
    rows = table_rows("settings.md")
    expected = {o.name: [o.default or "", o.accepts] for o in describe_options()}
    assert {name: cells[1:3] for name, cells in rows.items()} == expected
    assert all(cells[3] for cells in rows.values())


def test_settings_page_has_each_option_under_its_section():
    text = (DOCS / "operators" / "settings.md").read_text(encoding="utf-8")
    parts = re.split(r"^## \[(\w+)\]$", text, flags=re.MULTILINE)
    found = dict(zip(parts[1::2], parts[2::2], strict=True))
    for option in describe_options():
        assert f"| `{option.name}` |" in found[option.section]


def test_errors_page_has_every_code_with_its_status_and_default_ran():
    kinds = {getattr(errors, name) for name in errors.__all__}
    expected = {k.code: [str(k.status), k.default_ran] for k in kinds}
    members = {
        "earlier_attempts",
        "code",
        "detail",
        "remedy",
        "ran",
        "retry_after",
        "request_id",
    }
    rows = table_rows("errors.md")
    seen = {code: cells[:2] for code, cells in rows.items() if code not in members}
    assert seen == expected
