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


def check_str(value: Any, name: str) -> str:
    """Return a value that has to be a string.

    :param name: the name of the field.
    """
    if not isinstance(value, str):
        raise FieldError(f"{name}: {_describe(value)} is not a string")
    return value


def check_number(value: Any, name: str) -> float:
    """Return a value that has to be a non-negative number."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise FieldError(f"{name}: {_describe(value)} is not a number")
    # NaN fails this comparison too.
    if not 0 <= value <= 1e18:
        raise FieldError(f"{name}: the number is out of range")
    return value


def check_int(value: Any, name: str) -> int:
    """Return a value that has to be a non-negative integer."""
    number = check_number(value, name)
    if number != int(number):
        raise FieldError(f"{name}: {number!r} is not an integer")
    return int(number)


def check_row(value: Any, name: str, length: int) -> list[Any]:
    """Return a value that has to be a list of some length at least."""
    if not isinstance(value, list) or len(value) < length:
        raise FieldError(f"{name}: expected a list of {length} values")
    return value


def get_str(data: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a string."""
    return check_str(data.get(name, default), name)


def get_number(data: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a non-negative number."""
    return check_number(data.get(name, default), name)


def get_int(data: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a non-negative integer."""
    return check_int(data.get(name, default), name)


def get_bool(data: dict[str, Any], name: str) -> bool:
    """Return a boolean; ``False`` if the field is missing."""
    value = data.get(name, False)
    if not isinstance(value, bool):
        raise FieldError(f"{name}: {_describe(value)} is not a boolean")
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


def _describe(value: Any) -> str:
    """Describe a value of the wrong type.

    The representation of a deeply nested value needs as deep a stack, and that of a
    long one fills the log.
    """
    return f"{value[:40]!r}" if isinstance(value, str) else type(value).__name__
