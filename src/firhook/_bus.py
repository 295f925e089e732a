"""Typed events and queries between roles, which never import each other."""

from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import Any, Generic, TypeVar

from firhook.logs import log

A = TypeVar("A")


class Query(Generic[A]):
    """Base of queries; the type argument is the type of the answer."""


class Bus:
    """Delivers events to their subscribers and queries to their one handler."""

    def __init__(self) -> None:
        self._subscribers: dict[type, list[Callable[[Any], None]]] = defaultdict(list)
        self._handlers: dict[type, Callable[[Any], Awaitable[Any]]] = {}

    def subscribe(self, kind: type, handler: Callable[[Any], None]) -> None:
        """Call ``handler`` for each event of the kind published from now on."""
        self._subscribers[kind].append(handler)

    def publish(self, event: Any) -> None:
        """Hand an event to its subscribers, at once and in order.

        A subscriber that raises must not keep the others from the event nor
        end the publisher's loop, which would leave, for example, the journal
        dead behind one bad record; its error is logged instead.
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
        """Have ``handler`` answer the queries of the kind."""
        if kind in self._handlers:
            raise ValueError(f"{kind.__name__} already has a handler")
        self._handlers[kind] = handler

    async def ask(self, query: "Query[A]") -> A:
        """Return the answer to a query; errors reach the asker."""
        return await self._handlers[type(query)](query)
