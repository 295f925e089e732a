"""Typed events and queries between components that do not import each other."""

from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import Any, Generic, TypeVar

from firhook.logs import log

A = TypeVar("A")


class Query(Generic[A]):
    """Base class of queries; the type argument is the type of the answer."""


class Bus:
    """Delivers each event to its subscribers and each query to its only handler."""

    def __init__(self) -> None:
        self._subscribers: dict[type, list[Callable[[Any], None]]] = defaultdict(list)
        self._handlers: dict[type, Callable[[Any], Awaitable[Any]]] = {}

    def subscribe(self, kind: type, handler: Callable[[Any], None]) -> None:
        """Call ``handler`` for each later event of type ``kind``."""
        self._subscribers[kind].append(handler)

    def publish(self, event: Any) -> None:
        """Call an event's subscribers synchronously, in order of subscription.

        An exception in a subscriber is logged.  It must neither prevent delivery
        to the other subscribers nor end the publisher's loop; otherwise one bad
        record could, for example, stop the journal.
        """
        for handler in self._subscribers[type(event)]:
            try:
                handler(event)
            except Exception as exc:
                log(
                    "bus.subscriber_failed",
                    level="error",
                    kind=type(event).__name__,
                    error=repr(exc),
                )

    def register_handler(
        self, kind: type, handler: Callable[[Any], Awaitable[Any]]
    ) -> None:
        """Register the only handler of queries of type ``kind``.

        :raises ValueError: if there is one already.
        """
        if kind in self._handlers:
            raise ValueError(f"{kind.__name__} already has a handler")
        self._handlers[kind] = handler

    async def ask(self, query: "Query[A]") -> A:
        """Return the answer to a query; the handler's errors propagate."""
        return await self._handlers[type(query)](query)
