"""``python -m bench search`` searches random scenarios for jobs that do not end."""

import logging
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

import attrs
from cyclopts import App

from standins.model import SEARCHES, Outcome, run_virtual

app = App(name="python -m bench search", help=__doc__)


@attrs.frozen
class Finding:
    """A seed that broke an invariant, or left a job that could end."""

    kind: str
    seed: int
    outcome: Outcome

    def text(self) -> str:
        """Return the finding as a line."""
        found = self.outcome
        return (
            f"{self.kind} {self.seed}: {len(found.unfinished)} unfinished "
            f"{found.unfinished[:3]}, status {found.wrong_status[:3]}, "
            f"{len(found.violations)} violations {found.violations[:2]}"
        )


def play(kind: str, seed: int) -> tuple[Finding | None, int]:
    """Play a seed; return the finding, if any, and how many jobs were accepted."""
    # The simulated instances log a warning for every injected fault.
    logging.getLogger("firhook.events").setLevel(logging.CRITICAL)
    outcome = run_virtual(SEARCHES[kind](seed).run())
    return (None if outcome.passed else Finding(kind, seed, outcome)), outcome.accepted


@app.default
def search(
    *,
    kinds: tuple[str, ...] = tuple(sorted(SEARCHES)),
    first_seed: int = 1,
    seeds: int = 100,
    processes: int = 2,
) -> int:
    """Search scenarios of some kinds, and print each finding.

    Parameters
    ----------
    kinds
        Kinds of scenarios.
    first_seed
        The first seed; the others follow it.
    seeds
        Number of seeds of each kind.
    processes
        Number of scenarios that run in parallel.
    """
    unknown = sorted(set(kinds) - set(SEARCHES))
    if unknown:
        print(f"unknown {unknown}: kinds are {sorted(SEARCHES)}", file=sys.stderr)
        return 2
    found = 0
    with ProcessPoolExecutor(processes) as pool:
        for kind in kinds:
            rows = range(first_seed, first_seed + seeds)
            results = list(pool.map(play, [kind] * seeds, rows))
            findings = [finding for finding, _ in results if finding is not None]
            found += len(findings)
            for finding in findings:
                print(finding.text())
            accepted = sum(jobs for _, jobs in results)
            print(f"{kind}: {seeds} seeds, {accepted} jobs, {len(findings)} findings")
    return 1 if found else 0


def main(args: Sequence[str]) -> int:
    """Run the search from the command line."""
    return app(args, result_action="return_value") or 0
