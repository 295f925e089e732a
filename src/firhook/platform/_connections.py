"""All that an instance reaches of the platform, in one place."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import aiohttp

from firhook.platform._instance import InstanceSettings
from firhook.platform._store import HttpStore, Store
from firhook.platform._workers import Adviser, HttpAdviser, HttpWorkers, Workers


class Connections(ABC):
    """What an instance reaches of the platform.

    :ivar store: the platform's store.
    :ivar adviser: says which workers may run a step, if there is one.
    """

    store: Store
    adviser: Adviser | None

    @abstractmethod
    def workers(self, may_send: Callable[[], bool]) -> Workers:
        """Return a client of the workers.

        :param may_send: asked before each order is sent, whether the sender may
            still give orders.
        """


class HttpConnections(Connections):
    """The platform over HTTP."""

    def __init__(
        self, settings: InstanceSettings, session: aiohttp.ClientSession
    ) -> None:
        self._session = session
        self.store = HttpStore(session, settings.store)
        self.adviser = (
            HttpAdviser(session, settings.adviser) if settings.adviser else None
        )

    def workers(self, may_send: Callable[[], bool]) -> Workers:
        """See :meth:`Connections.workers`."""
        return HttpWorkers(self._session, may_send)
