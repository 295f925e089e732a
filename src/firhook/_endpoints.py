"""The entry instances, workers and runners that the platform lists."""

import attrs


@attrs.frozen(slots=True)
class Endpoint:
    """An instance, worker or runner in the platform's list, which lags.

    :param kind: ``entry`` (an instance of firhook), ``runner`` or ``worker``.
    :param service: the service to which a runner belongs.
    :param leaving: whether the platform is about to remove it.
    :param slots: maximum number of requests that a runner handles at a time.
    :param connections: maximum number of connections that a runner accepts.
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
