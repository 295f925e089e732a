"""Dropping the records of jobs that ended long ago."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from firhook.cell.records import CANCEL_PREFIX, JOB_PREFIX
from firhook.clock import boot_time, unix_time
from firhook.errors import FirhookError
from firhook.logs import log
from firhook.platform.store import KeyedRecord
from firhook.services._events import Record

if TYPE_CHECKING:
    from firhook.services._lead import Lead

#: Ended jobs are kept for so many times as long as is promised, since their
#: submissions may be repeated late, and would run again once they are forgotten.
_KEPT_FACTOR = 3
#: How often some of the older ones are forgotten, and how many.
_EVERY_S = 5.0
_AT_ONCE = 200


async def forget_old_jobs(lead: "Lead", forgotten: Callable[[str], None]) -> None:
    """Drop the records of jobs that ended long ago, some at a time.

    The store keeps the newest record of each key for good, and refuses to take
    any more once it is full.

    :param forgotten: called with a job's id once its submission is dropped.
        Without that its state means nothing, so that the state goes last.
    """
    keep_s = lead.settings.bounds.status_s * _KEPT_FACTOR
    while True:
        await asyncio.sleep(_EVERY_S)
        before = unix_time() - keep_s
        for job_id in _old_jobs(lead, before)[:_AT_ONCE]:
            if await _drop_submission(lead, job_id):
                forgotten(job_id)


def _old_jobs(lead: "Lead", before: float) -> list[str]:
    return [
        job_id
        for job_id, job in lead.replica.jobs.items()
        if job.state is not None
        and job.status.ended
        and job.state.over
        and 0 < job.state.ended_at < before
    ]


async def _drop_submission(lead: "Lead", job_id: str) -> bool:
    view = lead.replica.jobs.get(job_id)
    until = boot_time() + _EVERY_S
    try:
        if view is not None and view.cancelled:
            await lead.bus.ask(Record(KeyedRecord(CANCEL_PREFIX + job_id, None), until))
        await lead.bus.ask(Record(KeyedRecord(JOB_PREFIX + job_id, None), until))
    except FirhookError as exc:
        log("job.forget_failed", level="debug", job=job_id, error=exc.detail)
        return False
    return True
