"""Jobs as callers send them, and the answers they get."""

import re
from typing import Any

import msgspec

from firhook.cell import JobSpec, JobStatus, StepSpec
from firhook.errors import RequestMalformedError
from firhook.platform._config import decode_resources
from firhook.platform._fields import (
    FieldError,
    flag,
    number,
    parse_json,
    rows,
    text,
    whole,
)

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
#: The longest text that workers may be told to run.
MAX_TEXT_BYTES = 4000
#: Callers' largest steps have some tens of tasks; one far beyond would fill an
#: instance's memory.
MAX_TASKS = 10000
MAX_STEPS = 200

_STATES = {
    JobStatus.QUEUED: b'{"state":"queued"}',
    JobStatus.RUNNING: b'{"state":"running"}',
    JobStatus.COMPLETED: b'{"state":"completed"}',
    JobStatus.FAILED: b'{"state":"failed"}',
    JobStatus.CANCELLED: b'{"state":"cancelled"}',
}


def decode_job(raw: bytes) -> JobSpec:
    """Decode and check a job.

    :raises RequestMalformedError: naming the field that is wrong.
    """
    try:
        data = parse_json(raw)
        job_text = text(data, "specification")
        if len(job_text.encode()) > MAX_TEXT_BYTES:
            raise FieldError(f"specification: over {MAX_TEXT_BYTES} bytes")
        steps = tuple(_step(row, i) for i, row in enumerate(rows(data, "steps")))
        if not 1 <= len(steps) <= MAX_STEPS:
            raise FieldError(f"steps: give 1 to {MAX_STEPS}")
        return JobSpec(
            text=job_text,
            steps=steps,
            first_due=number(data, "start_time_ms", 0) / 1000,
            interval_s=number(data, "interval_ms", 0) / 1000,
            occurrences=whole(data, "repetitions", 0),
        )
    except (FieldError, UnicodeEncodeError) as exc:
        raise RequestMalformedError(str(exc)) from exc


def _step(row: Any, index: int) -> StepSpec:
    if not isinstance(row, dict):
        raise FieldError(f"steps.{index}: no object")
    count = whole(row, "count")
    if not 1 <= count <= MAX_TASKS:
        raise FieldError(f"steps.{index}.count: give 1 to {MAX_TASKS}")
    after = rows(row, "after")
    if not all(type(a) is int and 0 <= a < index for a in after):
        raise FieldError(f"steps.{index}.after: give numbers of earlier steps")
    return StepSpec(
        count=count,
        need=decode_resources(row),
        estimate_s=number(row, "estimated_ms", 1000) / 1000,
        after=tuple(sorted(set(after))),
        checkpoints=flag(row, "enable_checkpoints"),
        gang=flag(row, "all_or_nothing"),
        same_rack=flag(row, "same_rack"),
        # One label that the worker must have.
        label=text(row, "requirements", ""),
        data_rack=text(row, "data_rack", ""),
        per_worker=whole(row, "anti_affinity", 0),
        duplicates=flag(row, "allow_duplicates"),
        long_running=flag(row, "run_forever"),
        image=text(row, "image", ""),
        target_s=number(row, "target_ms", 0) / 1000,
        fills=flag(row, "fills"),
        max_unavailable=whole(row, "max_unavailable", 0),
    )


def encode_status(status: JobStatus) -> bytes:
    """Return the body that tells a caller where a job stands."""
    return _STATES[status]


def encode_pending(count: int) -> bytes:
    """Return the body that tells how many jobs of a queue wait to begin."""
    return msgspec.json.encode({"pending": count})
