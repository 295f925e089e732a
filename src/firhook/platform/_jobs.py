"""Decoding of the jobs that callers submit and encoding of the responses."""

import re
from typing import Any

import msgspec

from firhook.cell import JobSpec, JobStatus, StepSpec
from firhook.errors import RequestMalformedError
from firhook.platform._config import decode_resources
from firhook.platform._fields import (
    FieldError,
    get_bool,
    get_int,
    get_list,
    get_number,
    get_str,
    parse_json,
)

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
#: Longest specification that a worker accepts.
MAX_SPECIFICATION_BYTES = 4000
#: Limits of one step and of one job.  What jobs may take together is compared where
#: they are accepted.
MAX_TASKS = 10000
MAX_STEPS = 200

_STATUS_BODIES = {
    JobStatus.QUEUED: b'{"state":"queued"}',
    JobStatus.RUNNING: b'{"state":"running"}',
    JobStatus.COMPLETED: b'{"state":"completed"}',
    JobStatus.FAILED: b'{"state":"failed"}',
    JobStatus.CANCELLED: b'{"state":"cancelled"}',
}


def decode_job(raw: bytes) -> JobSpec:
    """Decode and check a job.

    :raises RequestMalformedError: naming the invalid field.
    """
    try:
        data = parse_json(raw)
        job_text = get_str(data, "specification")
        if len(job_text.encode()) > MAX_SPECIFICATION_BYTES:
            raise FieldError(f"specification: exceeds {MAX_SPECIFICATION_BYTES} bytes")
        steps = tuple(
            _decode_step(row, i) for i, row in enumerate(get_list(data, "steps"))
        )
        if not 1 <= len(steps) <= MAX_STEPS:
            raise FieldError(f"steps: expected 1 to {MAX_STEPS}")
        return JobSpec(
            text=job_text,
            steps=steps,
            first_due=get_number(data, "start_time_ms", 0) / 1000,
            interval_s=get_number(data, "interval_ms", 0) / 1000,
            occurrences=get_int(data, "repetitions", 0),
        )
    except (FieldError, UnicodeEncodeError) as exc:
        raise RequestMalformedError(str(exc)) from exc


def _decode_step(row: Any, index: int) -> StepSpec:
    if not isinstance(row, dict):
        raise FieldError(f"steps.{index}: expected an object")
    count = get_int(row, "count")
    if not 1 <= count <= MAX_TASKS:
        raise FieldError(f"steps.{index}.count: expected 1 to {MAX_TASKS}")
    after = get_list(row, "after")
    if not all(type(a) is int and 0 <= a < index for a in after):
        raise FieldError(f"steps.{index}.after: expected indexes of earlier steps")
    return StepSpec(
        count=count,
        need=decode_resources(row),
        estimate_s=get_number(row, "estimated_ms", 1000) / 1000,
        after=tuple(sorted(set(after))),
        checkpoints=get_bool(row, "enable_checkpoints"),
        gang=get_bool(row, "all_or_nothing"),
        same_rack=get_bool(row, "same_rack"),
        # A label that the worker must have.
        label=get_str(row, "requirements", ""),
        data_rack=get_str(row, "data_rack", ""),
        per_worker=get_int(row, "anti_affinity", 0),
        duplicates=get_bool(row, "allow_duplicates"),
        long_running=get_bool(row, "run_forever"),
        image=get_str(row, "image", ""),
        target_s=get_number(row, "target_ms", 0) / 1000,
        fills=get_bool(row, "fills"),
        max_unavailable=get_int(row, "max_unavailable", 0),
    )


def encode_status(status: JobStatus) -> bytes:
    """Return the response body for a job's status."""
    return _STATUS_BODIES[status]


def encode_pending(count: int) -> bytes:
    """Return the response body for the number of pending jobs of a queue."""
    return msgspec.json.encode({"pending": count})
