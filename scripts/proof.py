"""Runs the tests of the guaranteed properties and prints a line for each.

Each property has a number; ``@pytest.mark.row(n)`` marks the tests that verify it.
The script prints how many tests of each property passed, failed and were skipped,
and finally ``N held, M broken, K not run``.  It exits with 1 if any property is
broken.
"""

import sys
from collections import Counter, defaultdict
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

PROPERTIES = {
    1: "No worker is ever given more than it has",
    2: "An exclusive task never runs in two places at once",
    3: "Work only for the team of the key; a withdrawn key stops within seconds",
    4: "No team has more running than its upper limit",
    5: "Each caller gets the whole answer to its own request",
    6: "A refusal that says a request was not run is true",
    7: "A non-idempotent request runs at most once",
    8: "A leaving endpoint gets no new work after a few seconds",
    9: "Every planned stop cuts no request in flight",
    10: "An accepted configuration is in force within seconds and never reverts",
}


class RowOutcomes:
    """Collects test outcomes by property.

    :ivar rows_by_test: numbers of the properties that each test verifies.
    """

    def __init__(self) -> None:
        self.rows_by_test: dict[str, list[int]] = {}
        self.outcomes: dict[int, Counter[str]] = defaultdict(Counter)

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Record which properties each test verifies."""
        for item in items:
            rows = [mark.args[0] for mark in item.iter_markers("row")]
            self.rows_by_test[item.nodeid] = rows

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Count the outcome of a test."""
        if report.when != "call" and report.passed:
            return
        for row in self.rows_by_test.get(report.nodeid, ()):
            self.outcomes[row][report.outcome] += 1


def main(args: list[str]) -> int:
    """Run the tests and print the results; pytest receives further arguments."""
    rows = RowOutcomes()
    pytest.main(["tests", "spec", "-q", "-m", "row", *args], plugins=[rows])
    held = broken = not_run = 0
    print()
    for number, text in PROPERTIES.items():
        seen = rows.outcomes[number]
        if seen["failed"]:
            verdict, broken = "BROKEN", broken + 1
        elif seen["passed"]:
            verdict, held = "held", held + 1
        else:
            verdict, not_run = "not run", not_run + 1
        counts = f"{seen['passed']} passed, {seen['failed']} failed"
        print(f"{number:2}  {verdict:8} {text}  ({counts}, {seen['skipped']} skipped)")
    print(f"{held} held, {broken} broken, {not_run} not run")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
