"""Model checking of the core protocols.

For each model the tests prove that it is safe for runs of any length, that its goal
is reachable, and that omitting any one of its safeguards makes it unsafe.
"""

import pytest
import z3

from spec._checker import find_counterexample, is_reachable, is_safe
from spec.config_versions import ConfigVersions
from spec.end_acknowledgements import EndAcknowledgements
from spec.lead_claims import LeadClaims
from spec.limit_transfer import LimitTransfer
from spec.once_claim import OnceClaim
from spec.start_copies import StartCopies
from spec.task_lease import TaskLease

MODELS = (
    pytest.param(TaskLease, marks=pytest.mark.row(2)),
    pytest.param(LimitTransfer, marks=pytest.mark.row(4)),
    pytest.param(ConfigVersions, marks=pytest.mark.row(10)),
    pytest.param(OnceClaim, marks=[pytest.mark.row(6), pytest.mark.row(7)]),
    pytest.param(LeadClaims),
    pytest.param(EndAcknowledgements),
    pytest.param(StartCopies, marks=pytest.mark.row(2)),
)
DEPTH = 20

GOALS = {
    TaskLease: lambda s: s["v_runs"],
    LimitTransfer: lambda s: s["receiver_runs"] > 1,
    ConfigVersions: lambda s: s["version"] > 2,
    OnceClaim: lambda s: s["b_sent"],
    LeadClaims: lambda s: z3.And(s["former"] > 0, s["end"] > s["newest"]),
    EndAcknowledgements: lambda s: z3.And(s["deleted"] > 1, s["incarnation"] > 1),
    StartCopies: lambda s: z3.And(s["given_up"], s["taken"], s["a_out"]),
}


@pytest.mark.parametrize("model", MODELS, ids=lambda m: m.__name__)
def test_model_is_safe_for_runs_of_any_length(model):
    assert is_safe(model())


@pytest.mark.parametrize("model", MODELS, ids=lambda m: m.__name__)
def test_goal_of_model_is_reachable(model):
    assert is_reachable(model(), GOALS[model], DEPTH)


@pytest.mark.parametrize(
    ("model", "omitted"),
    [
        pytest.param(p.values[0], d, marks=p.marks, id=f"{p.values[0].__name__}-{d}")
        for p in MODELS
        for d in p.values[0].safeguards
    ],
)
def test_omitting_a_safeguard_makes_model_unsafe(model, omitted):
    counterexample = find_counterexample(model(omitted), DEPTH)
    assert counterexample is not None
