"""A lab for decisions: policies compared on the same load and faults.

The cells run firhook's own services over the model of the platform, in virtual
time; a policy replaces what they decide by.
"""

from bench._lab._ablations import Ablation
from bench._lab._oracle import Oracle, max_in_time
from bench._lab._outcomes import Outcome, OutcomeKind
from bench._lab._policies import DEFAULT_POLICIES, POLICIES, CellPolicy, Policy
from bench._lab._report import Row, compare, markdown, plot, to_json
from bench._lab._workload import (
    CALM,
    SCENARIOS,
    TROUBLE,
    Job,
    Scenario,
    Workload,
    generate_workload,
)

__all__ = [
    "CALM",
    "DEFAULT_POLICIES",
    "POLICIES",
    "SCENARIOS",
    "TROUBLE",
    "Ablation",
    "CellPolicy",
    "Job",
    "Oracle",
    "Outcome",
    "OutcomeKind",
    "Policy",
    "Row",
    "Scenario",
    "Workload",
    "compare",
    "generate_workload",
    "markdown",
    "max_in_time",
    "plot",
    "to_json",
]
