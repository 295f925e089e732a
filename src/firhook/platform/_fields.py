"""Typed access to the fields of the platform's JSON bodies.

Entries and records may come from other writers, with fields that are missing or
of another type.  These functions return a value only if it has the expected type
and raise :class:`FieldError` otherwise; the adapter then skips the whole entry.
"""

from typing import Any

import msgspec


class FieldError(ValueError):
    """A body is malformed, or one of its fields is missing or has the wrong type."""


def parse_json(raw: bytes) -> dict[str, Any]:
    """Decode a JSON object.

    :raises FieldError: if the bytes are not a JSON object.
    """
    try:
        data = msgspec.json.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise FieldError(f"invalid JSON: {exc}") from exc
    if not isinstance(data, dict):
        raise FieldError("expected a JSON object")
    return data


def get_str(data: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a string."""
    value = data.get(name, default)
    if not isinstance(value, str):
        raise FieldError(f"{name}: {value!r} is not a string")
    return value


def get_number(data: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a non-negative number."""
    value = data.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise FieldError(f"{name}: {value!r} is not a number")
    # NaN fails this comparison too.
    if not 0 <= value <= 1e18:
        raise FieldError(f"{name}: {value!r} is out of range")
    return value


def get_int(data: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a non-negative integer."""
    value = get_number(data, name, default)
    if value != int(value):
        raise FieldError(f"{name}: {value!r} is not an integer")
    return int(value)


def get_bool(data: dict[str, Any], name: str) -> bool:
    """Return a boolean; ``False`` if the field is missing."""
    value = data.get(name, False)
    if not isinstance(value, bool):
        raise FieldError(f"{name}: {value!r} is not a boolean")
    return value


def get_object(data: dict[str, Any], name: str) -> dict[str, Any]:
    """Return an object; an empty one if the field is missing or null."""
    value = data.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise FieldError(f"{name}: expected an object")
    return value


def get_list(data: dict[str, Any], name: str) -> list[Any]:
    """Return a list; an empty one if the field is missing or null."""
    value = data.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise FieldError(f"{name}: expected a list")
    return value


def get_str_list(data: dict[str, Any], name: str) -> list[str]:
    """Return a list of strings; an empty one if the field is missing or null."""
    values = get_list(data, name)
    if not all(isinstance(value, str) for value in values):
        raise FieldError(f"{name}: expected a list of strings")
    return values
