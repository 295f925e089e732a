"""Deletes the records of jobs whose retention time is over."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from firhook.cell import Replica
from firhook.cell.records import CANCEL_PREFIX, JOB_PREFIX, STATE_PREFIX
from firhook.clock import boot_time, unix_time
from firhook.errors import FirhookError
from firhook.logs import log

DeleteKeys = Callable[[int, list[str]], Awaitable[bool]]

#: Ended jobs are kept this many times as long as callers may query them, since a
#: submission that is repeated late would run again once its record is deleted.
_RETENTION_FACTOR = 3
#: Interval between deletions, and the number of jobs deleted at once.
_INTERVAL_S = 5.0
_BATCH_JOBS = 200


async def delete_expired_jobs(
    replica: Replica,
    status_s: float,
    delete: DeleteKeys,
    on_deleted: Callable[[str], None],
) -> None:
    """Delete the records of expired jobs in batches, until cancelled.

    The store keeps the newest record of each key for ever, and refuses appends once
    it is full.

    :param status_s: time after its end for which callers may query a job.
    :param delete: deletes keys on one partition; returns whether the store did so.
    :param on_deleted: called with the id of a job once its submission is deleted.
        A state has no meaning without the submission, so the state is deleted last.
    """
    retention_s = status_s * _RETENTION_FACTOR
    early_cancels = _EarlyCancels(replica, retention_s)
    while True:
        await asyncio.sleep(_INTERVAL_S)
        job_ids = _expired_jobs(replica, unix_time() - retention_s)[:_BATCH_JOBS]
        try:
            await _delete_everywhere(replica, early_cancels.expired(), delete)
            for prefix in (CANCEL_PREFIX, JOB_PREFIX, STATE_PREFIX):
                keys = {job_id: _keys_of(replica, prefix, job_id) for job_id in job_ids}
                at_once = list(itertools.chain.from_iterable(keys.values()))
                await _delete_everywhere(replica, at_once, delete)
                job_ids = [i for i in job_ids if not _are_stored(replica, keys[i])]
                if prefix == JOB_PREFIX:
                    for job_id in job_ids:
                        on_deleted(job_id)
        except FirhookError as exc:
            log("job.forget_failed", level="debug", error=exc.detail)


def _keys_of(replica: Replica, prefix: str, job_id: str) -> list[str]:
    """Return the keys of a job with a prefix; it may have several cancellations."""
    if prefix != CANCEL_PREFIX:
        return [prefix + job_id]
    view = replica.jobs.get(job_id)
    names = view.cancels if view is not None else ()
    return [f"{prefix}{job_id}/{name}" if name else prefix + job_id for name in names]


def _are_stored(replica: Replica, keys: list[str]) -> bool:
    return any(replica.partitions_of(key) for key in keys)


class _EarlyCancels:
    """The cancellations of jobs that never appeared, and since when each is known.

    A submission that the store or an instance carries out late must find them.

    :param retention_s: for how long they are kept.
    """

    def __init__(self, replica: Replica, retention_s: float) -> None:
        self._replica = replica
        self._retention_s = retention_s
        self._known_since: dict[str, float] = {}

    def expired(self) -> list[str]:
        """Return the keys to delete now, up to a limit."""
        now, known = boot_time(), self._known_since
        self._known_since = {
            job_id: known.get(job_id, now)
            for job_id, view in self._replica.jobs.items()
            if view.accepted is None and view.state is None
        }
        expired = [
            job_id
            for job_id, since in self._known_since.items()
            if now - since >= self._retention_s
        ]
        return [
            key
            for job_id in expired[:_BATCH_JOBS]
            for key in _keys_of(self._replica, CANCEL_PREFIX, job_id)
        ]


async def _delete_everywhere(
    replica: Replica, keys: list[str], delete: DeleteKeys
) -> None:
    """Delete keys on each partition that holds them, the newest version last.

    If a partition is unavailable, an older version of a key must not outlive the
    newest one: it would become the valid one.
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
