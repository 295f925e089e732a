"""Job specifications and the validation of submitted jobs."""

import math
from typing import Any

import attrs
import msgspec

from firhook._errors import JobInvalidError

PRIORITIES = ("service", "batch", "urgent")

#: With more tasks, the record of a job would exceed the size limit of the platform's
#: log, and one submission could flood a zone's stream.
MAX_TASKS = 2000
MAX_CPUS = 4096.0
MAX_MEMORY_MB = 64 * 1024 * 1024
MAX_ACCELERATORS = 1024
MAX_RUN_S = 90 * 86400.0


@attrs.frozen(slots=True)
class JobSpec:
    """Specification of a job by its caller.

    :param job_id: the caller's id, unique within the team.
    :param team: the team that submitted it.
    :param tasks: number of tasks; for a service, its replica count.
    :param cpus: CPUs per task.
    :param memory_mb: memory per task, in MB.
    :param accelerators: accelerators per task.
    :param priority: ``service``, ``batch`` or ``urgent``.
    :param gang: whether all tasks must run at the same time.
    :param exclusive: whether a task must never run in two places at once.
    :param run_s: declared run time in seconds; 0 for a service.
    :param deadline_s: time after submission by which the job must end, in seconds.
    :param command: command that the worker runs; opaque to firhook.
    """

    job_id: str
    team: str
    tasks: int = 1
    cpus: float = 1.0
    memory_mb: int = 256
    accelerators: int = 0
    priority: str = "batch"
    gang: bool = False
    exclusive: bool = True
    run_s: float = 0.0
    deadline_s: float | None = None
    command: str = ""

    @property
    def key(self) -> str:
        """The id of the job, unique within the cell."""
        return f"{self.team}/{self.job_id}"


def _check_number(
    name: str, value: float, low: float, high: float, problems: list[str]
) -> None:
    if not math.isfinite(value) or not low <= value <= high:
        problems.append(f"{name} = {value!r}: give {low:g} to {high:g}")


def check_job(raw: Any, team: str) -> JobSpec:
    """Validate a submitted job and return its specification.

    :param raw: the decoded JSON body.
    :param team: the team that submits it.
    :raises JobInvalidError: naming every invalid field and its accepted values.
    """
    if not isinstance(raw, dict):
        raise JobInvalidError(f"got {type(raw).__name__}, not a JSON object")
    if raw.get("team", team) != team:
        raise JobInvalidError(f"team = {raw['team']!r}, but the key is of {team!r}")
    try:
        unknown = set(raw) - {f.name for f in attrs.fields(JobSpec)}
        if unknown:
            raise JobInvalidError(f"unknown fields {sorted(map(str, unknown))}")
        spec = msgspec.convert({**raw, "team": team}, JobSpec)
    except msgspec.ValidationError as exc:
        raise JobInvalidError(str(exc)) from exc
    problems: list[str] = []
    check_name("job_id", spec.job_id, problems)
    _check_number("tasks", spec.tasks, 1, MAX_TASKS, problems)
    _check_number("cpus", spec.cpus, 0.01, MAX_CPUS, problems)
    _check_number("memory_mb", spec.memory_mb, 1, MAX_MEMORY_MB, problems)
    _check_number("accelerators", spec.accelerators, 0, MAX_ACCELERATORS, problems)
    _check_number("run_s", spec.run_s, 0, MAX_RUN_S, problems)
    if spec.deadline_s is not None:
        _check_number("deadline_s", spec.deadline_s, 1, MAX_RUN_S, problems)
        if spec.priority == "service":
            problems.append("deadline_s: a service never ends; leave it out")
    if spec.priority not in PRIORITIES:
        problems.append(f"priority = {spec.priority!r}: give one of {PRIORITIES}")
    if len(spec.command) > 4096:
        problems.append("command: give at most 4096 characters")
    if problems:
        raise JobInvalidError("; ".join(problems))
    return spec


def check_name(field: str, value: str, problems: list[str]) -> None:
    """Check that a name is short and safe in paths, lists and logs.

    :param problems: receives a message if the name is invalid.
    """
    if not 1 <= len(value) <= 64 or not all(c.isalnum() or c in "-_." for c in value):
        problems.append(
            f"{field} = {value!r}: give 1 to 64 letters, digits, '-', '_' or '.'"
        )
