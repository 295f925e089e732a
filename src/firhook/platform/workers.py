"""Calls to workers and to the adviser."""

from firhook.platform._workers import ORDER_TIMEOUT_S, Adviser, Workers

__all__ = ["ORDER_TIMEOUT_S", "Adviser", "Workers"]
