"""The operators' configuration: queues, teams and pools of workers."""

import hashlib
from functools import cached_property

import attrs

from firhook.cell._resources import NO_RESOURCES, Resources


def key_digest(key: str) -> bytes:
    """Return the digest of a team's key, by which the key is recognized.

    Only digests are kept, so neither a core dump nor a log line can disclose a key.
    """
    return hashlib.sha256(key.encode()).digest()


@attrs.frozen(slots=True)
class AdvicePolicy:
    """Timing of the adviser, which decides which workers may run a queue's steps.

    :param base_s: shortest duration of an answer, in seconds.
    :param per_worker_s: additional seconds for each worker in the request.
    :param valid_s: validity of the tickets in an answer, in seconds.
    """

    base_s: float
    per_worker_s: float
    valid_s: float

    def answer_s(self, workers: int) -> float:
        """Return the duration of an answer about a number of workers, in seconds."""
        return self.base_s + self.per_worker_s * workers


@attrs.frozen(slots=True)
class Queue:
    """A queue of jobs, which callers address by host and path.

    :param host: host that callers send requests to.
    :param prefix: prefix of the paths that belong to the queue.
    :param pool: the pool whose workers run its tasks.
    :param priority: 0 is the highest and may preempt others.
    :param max_attempts: failed attempts after which a task fails its job.
    :param slack_factor: factor by which a job's estimated duration is multiplied in
        its objective, which is the time by which the job should be done.
    :param target_s: seconds that the objective adds to that product.
    :param anonymous: whether callers need no key.
    :param advice: the adviser's timing; ``None`` if all workers may run the tasks.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_s: float = 1.0
    anonymous: bool = False
    advice: AdvicePolicy | None = None

    @property
    def address(self) -> str:
        """Host and path, which identify the queue to callers."""
        return self.host + self.prefix

    def owner(self, team: str) -> tuple[str, str]:
        """Return the owner of a job that a team submits to this queue.

        The team is empty if the queue is anonymous: all callers own its jobs.
        """
        return self.address, "" if self.anonymous else team


@attrs.frozen(slots=True)
class Team:
    """A team: its keys, its share of a saturated cell, and its limit.

    :param key_digests: digests of its keys.
    :param weight: its relative share of a saturated cell.
    :param limit: limit on the resources of its runs; an amount of 0 means no limit.
    """

    name: str
    key_digests: frozenset[bytes]
    weight: float = 1.0
    limit: Resources = NO_RESOURCES

    def permits(self, running: Resources) -> bool:
        """Return whether an amount of running resources is within the limit."""
        return (
            (not self.limit.cpu_m or running.cpu_m <= self.limit.cpu_m)
            and (not self.limit.memory_mb or running.memory_mb <= self.limit.memory_mb)
            and (
                not self.limit.accelerators
                or running.accelerators <= self.limit.accelerators
            )
        )


@attrs.frozen(slots=True)
class Pool:
    """A pool of workers.

    :param enforces_capacity: whether its workers refuse tasks that do not fit.
    :param standby: whether its machines are switched off.
    """

    name: str
    enforces_capacity: bool = False
    standby: bool = False


@attrs.frozen
class CellConfig:
    """One complete version of the configuration.

    :param max_body_bytes: size of the largest body that callers may send.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    teams: tuple[Team, ...] = ()
    pools: tuple[Pool, ...] = ()
    max_body_bytes: int = 262144

    @cached_property
    def _by_host(self) -> dict[str, list[Queue]]:
        hosts: dict[str, list[Queue]] = {}
        for queue in sorted(self.queues, key=lambda q: -len(q.prefix)):
            hosts.setdefault(queue.host.lower(), []).append(queue)
        return hosts

    @cached_property
    def _by_digest(self) -> dict[bytes, Team]:
        return {d: team for team in self.teams for d in team.key_digests}

    @cached_property
    def by_address(self) -> dict[str, Queue]:
        """The queues by host and path."""
        return {queue.address: queue for queue in self.queues}

    @cached_property
    def team_by_name(self) -> dict[str, Team]:
        """The teams by name."""
        return {team.name: team for team in self.teams}

    @cached_property
    def pool_by_name(self) -> dict[str, Pool]:
        """The pools by name."""
        return {pool.name: pool for pool in self.pools}

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the host's queue with the longest matching prefix, if any."""
        for queue in self._by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def team_for(self, key: str) -> Team | None:
        """Return the team that a key belongs to; ``None`` if the key is unknown."""
        return self._by_digest.get(key_digest(key))
