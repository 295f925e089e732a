"""What the platform lists: entry instances, workers and runners."""

import attrs


@attrs.frozen(slots=True)
class Endpoint:
    """An instance, worker or runner in the platform's lagging list.

    :param kind: ``entry``, ``runner`` or ``worker``.
    :param service: the service a runner belongs to.
    :param leaving: whether the platform is about to take it away.
    :param slots: requests a runner handles at once.
    :param connections: connections a runner accepts.
    """

    name: str
    kind: str
    zone: str
    address: str
    rack: str = ""
    service: str = ""
    leaving: bool = False
    slots: int = 8
    connections: int = 64
    cpus: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0
