"""Filling the generated parts of pages that are otherwise written by hand."""

from collections.abc import Mapping, Sequence
from pathlib import Path


def table(headers: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(headers) + " |", "|" + " --- |" * len(headers)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def replace_sections(page: Path, parts: Mapping[str, str]) -> None:
    """Replace what stands between the marks of each part.

    :raises ValueError: if a mark is missing, so that no part is lost unseen.
    """
    text = page.read_text(encoding="utf-8")
    for name, part in parts.items():
        begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
        if begin not in text or end not in text:
            raise ValueError(f"{page.name}: give the marks {begin} and {end}")
        before, _, rest = text.partition(begin)
        _, _, after = rest.partition(end)
        text = f"{before}{begin}\n{part}\n{end}{after}"
    page.write_text(text, encoding="utf-8")
