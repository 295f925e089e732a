"""What all groups of operators' handlers share."""

from abc import ABC, abstractmethod

from aiohttp import web

from firhook.kernel import Kernel


class Routes(ABC):
    """A group of handlers.

    :param kernel: what the handlers read from and ask.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.bus = kernel.bus
        self.cfg = kernel.cfg
        self.states = kernel.states

    def api(self) -> list[web.RouteDef]:
        """Return the routes beside the callers' ones, for keys of any zone."""
        return []

    @abstractmethod
    def ops(self) -> list[web.RouteDef]:
        """Return the routes of the port that only operators can reach."""
