"""Updates the generated sections of hand-written pages."""

from collections.abc import Mapping, Sequence
from pathlib import Path


def table(headers: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(headers) + " |", "|" + " --- |" * len(headers)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def replace_sections(page: Path, parts: Mapping[str, str]) -> None:
    """Replace the text between the begin and end marks of each section.

    :param parts: new texts by section name.
    :raises ValueError: if a mark is missing.  Otherwise the section would be lost
        without notice.
    """
    text = page.read_text(encoding="utf-8")
    for name, part in parts.items():
        begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
        if begin not in text or end not in text:
            raise ValueError(f"{page.name}: missing the marks {begin} and {end}")
        before, _, rest = text.partition(begin)
        _, _, after = rest.partition(end)
        text = f"{before}{begin}\n{part}\n{end}{after}"
    page.write_text(text, encoding="utf-8")
