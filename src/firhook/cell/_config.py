"""What operators have configured: queues, teams and pools of workers."""

import hashlib
from functools import cached_property

import attrs

from firhook.cell._resources import NO_RESOURCES, Resources


def key_digest(key: str) -> bytes:
    """Return what is kept of a team's key.

    Keys themselves are never kept, so that neither a core dump nor a log line
    can give one away.
    """
    return hashlib.sha256(key.encode()).digest()


@attrs.frozen(slots=True)
class AdvicePolicy:
    """How the adviser answers which workers may run a step of a queue.

    :param base_s: seconds that an answer takes at least.
    :param per_worker_s: seconds more for each worker that is asked about.
    :param valid_s: seconds for which the tickets of an answer are good.
    """

    base_s: float
    per_worker_s: float
    valid_s: float

    def answer_s(self, workers: int) -> float:
        """Return how long an answer about so many workers takes."""
        return self.base_s + self.per_worker_s * workers


@attrs.frozen(slots=True)
class Queue:
    """A queue of jobs, which callers address by host and path.

    :param pool: the pool whose workers run its tasks.
    :param priority: 0 goes first and may preempt others.
    :param max_attempts: failed attempts after which a task fails its job.
    :param slack_factor: the objective allows so many times the job's work.
    :param target_s: the objective allows so many seconds more.
    :param anonymous: whether callers need no key.
    :param advice: how the adviser answers, or ``None`` if all workers may.
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
        """Return whose a job is that a team submits here: all callers' if anonymous."""
        return self.address, "" if self.anonymous else team


@attrs.frozen(slots=True)
class Team:
    """A team: its keys, its share when all is full, and its limit.

    :param key_digests: digests of its keys.
    :param limit: the most that it may have running; 0 means no limit.
    """

    name: str
    key_digests: frozenset[bytes]
    weight: float = 1.0
    limit: Resources = NO_RESOURCES

    def permits(self, running: Resources) -> bool:
        """Return whether the team may have so much running."""
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

    :param guards_capacity: whether its workers refuse what does not fit.
    :param standby: whether its machines are off.
    """

    name: str
    enforces_capacity: bool = False
    standby: bool = False


@attrs.frozen
class CellConfig:
    """One version of the configuration, whole.

    :param max_body_bytes: the largest body that callers may send.
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
        """Return the queue with the longest prefix of the path on the host."""
        for queue in self._by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def team_for(self, key: str) -> Team | None:
        """Return the team that a key belongs to."""
        return self._by_digest.get(key_digest(key))
