"""The clients of the platform's services that an instance of a cell uses."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from firhook.platform._instance import InstanceSettings
from firhook.platform._sessions import Sessions
from firhook.platform._store import HttpStore, Store
from firhook.platform._workers import Adviser, HttpAdviser, HttpWorkers, Workers


class Connections(ABC):
    """Clients of the platform's services for one instance.

    :ivar store: client of the platform's store.
    :ivar adviser: client of the service that permits workers for a step; ``None``
        if the platform has no such service.
    """

    store: Store
    adviser: Adviser | None

    @abstractmethod
    def workers(
        self, may_send: Callable[[], bool], answer_delay_s: Callable[[], float]
    ) -> Workers:
        """Return a client of the workers.

        :param may_send: returns whether the sender may still give orders; called
            before each order is sent.
        :param answer_delay_s: returns the time in seconds within which a worker that
            answers an order does so.
        """


class HttpConnections(Connections):
    """HTTP clients of the platform's services."""

    def __init__(self, settings: InstanceSettings, sessions: Sessions) -> None:
        self._sessions = sessions
        self.store = HttpStore(sessions.calls, settings.store)
        self.adviser = (
            HttpAdviser(sessions.calls, settings.adviser) if settings.adviser else None
        )

    def workers(
        self, may_send: Callable[[], bool], answer_delay_s: Callable[[], float]
    ) -> Workers:
        """See :meth:`Connections.workers`."""
        return HttpWorkers(self._sessions, may_send, answer_delay_s)
