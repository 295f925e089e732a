"""``python -m bench lab`` compares decision policies on the same seeds."""

import logging
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from bench._lab import POLICIES, SCENARIOS, SHIPPED, compare, markdown, plot, to_json

app = App(name="python -m bench lab", help=__doc__)

Several = Parameter(consume_multiple=True)


@app.default
def lab(
    *,
    policies: Annotated[tuple[str, ...], Several] = SHIPPED,
    seeds: int = 5,
    first_seed: int = 1,
    scenario: str = "trouble",
    processes: int = 1,
    json: Path | None = None,
    plot_to: Annotated[Path | None, Parameter(name="--plot")] = None,
) -> int:
    """Play days of a scenario under each policy, and print what callers get.

    Parameters
    ----------
    policies
        What to compare.
    seeds
        How many days are played under each.
    first_seed
        The seed of the first day.
    scenario
        What the days are like.
    processes
        How many days are played at a time.
    json
        File for the figures of each seed.
    plot_to
        File for a plot of the shares in time.
    """
    unknown = sorted(set(policies) - set(POLICIES))
    if unknown or scenario not in SCENARIOS:
        print(
            f"unknown {unknown or scenario}: policies are {sorted(POLICIES)}, "
            f"scenarios {sorted(SCENARIOS)}",
            file=sys.stderr,
        )
        return 2
    chosen = range(first_seed, first_seed + seeds)
    rows = compare(SCENARIOS[scenario], policies, chosen, processes)
    print(markdown(rows))
    if json is not None:
        json.write_text(to_json(rows, scenario=scenario, seeds=list(chosen)))
    if plot_to is not None:
        plot(rows, plot_to)
    return 0


def main(args: Sequence[str]) -> int:
    """Run the lab from the command line."""
    events = logging.getLogger("firhook.events")
    level = events.level
    # The instances of the model warn of every fault that they meet.
    events.setLevel(logging.ERROR)
    try:
        return app(args, result_action="return_value") or 0
    finally:
        events.setLevel(level)
