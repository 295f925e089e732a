"""Validation of submitted jobs."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firhook._jobs import MAX_MEMORY_MB, MAX_TASKS
from firhook.errors import JobInvalidError
from firhook.model import JobSpec, check_job

FIELDS = [
    "job_id",
    "team",
    "tasks",
    "cpus",
    "memory_mb",
    "accelerators",
    "priority",
    "gang",
    "exclusive",
    "run_s",
    "deadline_s",
    "command",
    "depends_on",
]
NUMBERS = st.one_of(
    st.integers(),
    st.floats(),
    st.sampled_from([0, -1, 10**40, 1e308, math.nan, math.inf, -0.0]),
)
JSON = st.recursive(
    st.none() | st.booleans() | NUMBERS | st.text(max_size=80),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(st.dictionaries(st.sampled_from(FIELDS), JSON, max_size=6) | JSON)
def test_any_body_is_a_job_within_bounds_or_a_typed_refusal(raw):
    """Any JSON body is either a valid job or refused with a typed error.

    A job that was accepted with an invalid field would give the zone's lead a size
    that it cannot place, or a number that it cannot compare, in every round.
    """
    try:
        job = check_job(raw, "a")
    except JobInvalidError as exc:
        assert exc.remedy
        return
    assert isinstance(job, JobSpec)
    assert 1 <= job.tasks <= MAX_TASKS
    assert 1 <= job.memory_mb <= MAX_MEMORY_MB
    assert job.cpus > 0
    assert math.isfinite(job.cpus)
    assert math.isfinite(job.run_s)
    assert job.team == "a"


def test_every_wrong_field_is_named_at_once():
    raw = {"job_id": "", "tasks": 0, "cpus": -1, "run_s": -5, "priority": "best"}
    with pytest.raises(JobInvalidError) as caught:
        check_job(raw, "a")
    for field in raw:
        assert field in caught.value.detail


def test_a_service_with_a_deadline_is_refused():
    raw = {"job_id": "a", "priority": "service", "deadline_s": 60.0}
    with pytest.raises(JobInvalidError, match="deadline_s"):
        check_job(raw, "a")


def test_a_body_of_deep_nesting_is_refused():
    raw = []
    for _ in range(500):
        raw = [raw]
    with pytest.raises(JobInvalidError):
        check_job({"job_id": "a", "command": raw}, "a")
