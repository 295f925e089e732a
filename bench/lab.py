"""``python -m bench lab`` compares decision policies on the same seeds."""

import logging
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from bench._lab import (
    DEFAULT_POLICIES,
    POLICIES,
    SCENARIOS,
    compare,
    markdown,
    plot,
    to_json,
)

app = App(name="python -m bench lab", help=__doc__)

_MultiValue = Parameter(consume_multiple=True)


@app.default
def lab(
    *,
    policies: Annotated[tuple[str, ...], _MultiValue] = DEFAULT_POLICIES,
    seeds: int = 5,
    first_seed: int = 1,
    scenario: str = "trouble",
    processes: int = 1,
    json: Path | None = None,
    plot_to: Annotated[Path | None, Parameter(name="--plot")] = None,
) -> int:
    """Simulate a scenario under each policy, and print the outcomes of its jobs.

    Parameters
    ----------
    policies
        Policies to compare.
    seeds
        Number of seeds that each policy is simulated on.
    first_seed
        The first seed; the others follow it.
    scenario
        Scenario that the workloads are drawn from.
    processes
        Number of simulations that run in parallel.
    json
        File for the results of each seed.
    plot_to
        File for a plot of the shares of jobs in time.
    """
    unknown = sorted(set(policies) - set(POLICIES))
    if unknown or scenario not in SCENARIOS:
        print(
            f"unknown {unknown or scenario}: policies are {sorted(POLICIES)}, "
            f"scenarios {sorted(SCENARIOS)}",
            file=sys.stderr,
        )
        return 2
    seed_range = range(first_seed, first_seed + seeds)
    rows = compare(SCENARIOS[scenario], policies, seed_range, processes)
    print(markdown(rows))
    if json is not None:
        json.write_text(to_json(rows, scenario=scenario, seeds=list(seed_range)))
    if plot_to is not None:
        plot(rows, plot_to)
    return 0


def main(args: Sequence[str]) -> int:
    """Run the lab from the command line."""
    event_logger = logging.getLogger("firhook.events")
    level = event_logger.level
    # The simulated instances log a warning for every injected fault.
    event_logger.setLevel(logging.ERROR)
    try:
        return app(args, result_action="return_value") or 0
    finally:
        event_logger.setLevel(level)
