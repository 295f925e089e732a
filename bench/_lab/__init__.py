"""A lab for decisions: policies compared on the same load and faults.

The cells run firhook's own services over the model of the platform, in virtual
time; a policy replaces what they decide by.
"""

from bench._lab._ablations import Ablation
from bench._lab._load import CALM, SCENARIOS, TROUBLE, Day, Job, Scenario, make_day
from bench._lab._oracle import Oracle, most_in_time
from bench._lab._policies import POLICIES, SHIPPED, CellPolicy, Policy
from bench._lab._report import Row, compare, markdown, plot, to_json
from bench._lab._tally import Fate, Outcome

__all__ = [
    "CALM",
    "POLICIES",
    "SCENARIOS",
    "SHIPPED",
    "TROUBLE",
    "Ablation",
    "CellPolicy",
    "Day",
    "Fate",
    "Job",
    "Oracle",
    "Outcome",
    "Policy",
    "Row",
    "Scenario",
    "compare",
    "make_day",
    "markdown",
    "most_in_time",
    "plot",
    "to_json",
]
