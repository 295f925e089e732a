"""The base class of the groups of operators' handlers."""

from abc import ABC, abstractmethod

from aiohttp import web

from firhook.kernel import Kernel


class Routes(ABC):
    """A group of HTTP handlers.

    :param kernel: the settings, states and bus that the handlers use.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.bus = kernel.bus
        self.cfg = kernel.cfg
        self.states = kernel.states

    def api(self) -> list[web.RouteDef]:
        """Return the routes of the callers' port, which accepts keys from any zone."""
        return []

    @abstractmethod
    def ops(self) -> list[web.RouteDef]:
        """Return the routes of the operators' port."""
