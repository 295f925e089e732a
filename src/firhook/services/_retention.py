"""Dropping the records of jobs that ended long ago."""

import asyncio
from collections.abc import Awaitable, Callable

from firhook.cell import Replica
from firhook.cell.records import CANCEL_PREFIX, JOB_PREFIX, STATE_PREFIX
from firhook.clock import unix_time
from firhook.errors import FirhookError
from firhook.logs import log

DeleteKeys = Callable[[int, list[str]], Awaitable[bool]]

#: Ended jobs are kept for so many times as long as is promised, since their
#: submissions may be repeated late, and would run again once they are forgotten.
_RETENTION_FACTOR = 3
#: How often some of the older ones are forgotten, and how many.
_INTERVAL_S = 5.0
_BATCH_JOBS = 200


async def delete_expired_jobs(
    replica: Replica,
    status_s: float,
    delete: DeleteKeys,
    on_deleted: Callable[[str], None],
) -> None:
    """Drop the records of jobs that ended long ago, some at a time.

    The store keeps the newest record of each key for good, and refuses to take
    any more once it is full.

    :param status_s: how long callers may ask for a job that has ended.
    :param drop: drops keys on one partition; returns whether the store took it.
    :param forgotten: called with a job's id once its submission is dropped.
        Without that its state means nothing, so that the state goes last.
    """
    retention_s = status_s * _RETENTION_FACTOR
    while True:
        await asyncio.sleep(_INTERVAL_S)
        job_ids = _expired_jobs(replica, unix_time() - retention_s)[:_BATCH_JOBS]
        try:
            for prefix in (CANCEL_PREFIX, JOB_PREFIX, STATE_PREFIX):
                keys = {job_id: prefix + job_id for job_id in job_ids}
                await _delete_everywhere(replica, list(keys.values()), delete)
                job_ids = [i for i in job_ids if not replica.partitions_of(keys[i])]
                if prefix == JOB_PREFIX:
                    for job_id in job_ids:
                        on_deleted(job_id)
        except FirhookError as exc:
            log("job.forget_failed", level="debug", error=exc.detail)


async def _delete_everywhere(
    replica: Replica, keys: list[str], delete: DeleteKeys
) -> None:
    """Drop keys on each partition that holds them, the newest version last.

    An older version must not be what is left of a key if a partition is away.
    """
    left = {key: replica.partitions_of(key) for key in keys}
    while left := {key: numbers for key, numbers in left.items() if numbers}:
        number = next(iter(left.values()))[0]
        at_once = [key for key, numbers in left.items() if numbers[0] == number]
        taken = await delete(number, at_once)
        for key in at_once:
            left[key] = left[key][1:] if taken else []


def _expired_jobs(replica: Replica, before: float) -> list[str]:
    return [
        job_id
        for job_id, job in replica.jobs.items()
        if job.state is not None
        and job.status.ended
        and job.state.has_no_steps
        and 0 < job.state.ended_at < before
    ]
