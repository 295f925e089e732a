"""Model checking of the core protocol.

Each model is proved safe for runs of any length, shown to reach what it is
about, and shown to fail as soon as any one of its safeguards is left out.
"""

import pytest

from spec._checker import can_happen, find_failure, is_safe
from spec.config_versions import ConfigVersions
from spec.limit_transfer import LimitTransfer
from spec.once_claim import OnceClaim
from spec.task_lease import TaskLease

MODELS = (TaskLease, LimitTransfer, ConfigVersions, OnceClaim)
DEPTH = 20

GOALS = {
    TaskLease: lambda s: s["v_runs"],
    LimitTransfer: lambda s: s["receiver_runs"] > 1,
    ConfigVersions: lambda s: s["version"] > 2,
    OnceClaim: lambda s: s["b_sent"],
}


@pytest.mark.parametrize("model", MODELS, ids=lambda m: m.__name__)
def test_model_is_safe_for_runs_of_any_length(model):
    assert is_safe(model())


@pytest.mark.parametrize("model", MODELS, ids=lambda m: m.__name__)
def test_model_reaches_what_it_is_about(model):
    assert can_happen(model(), GOALS[model], DEPTH)


@pytest.mark.parametrize(
    ("model", "defect"),
    [(m, d) for m in MODELS for d in m.defects],
    ids=lambda v: v if isinstance(v, str) else v.__name__,
)
def test_leaving_out_a_safeguard_is_caught(model, defect):
    failure = find_failure(model(defect), DEPTH)
    assert failure is not None
