"""Reading of the platform's bodies, field by field.

Entries and records may come from other writers, with fields missing or of
another type.  A reader here takes a value only if it has the type that it must
have; what cannot be read raises :class:`FieldError`, and the adapter then
leaves out the whole entry.
"""

from typing import Any

import msgspec


class FieldError(ValueError):
    """A body or a field of it cannot be read."""


def parse_json(raw: bytes) -> dict[str, Any]:
    """Return a JSON object.

    :raises FieldError: if it is not one.
    """
    try:
        data = msgspec.json.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise FieldError(f"not JSON: {exc}") from exc
    if not isinstance(data, dict):
        raise FieldError("not a JSON object")
    return data


def get_str(data: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a text."""
    value = data.get(name, default)
    if not isinstance(value, str):
        raise FieldError(f"{name}: {value!r} is no text")
    return value


def get_number(data: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a number that is not negative."""
    value = data.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise FieldError(f"{name}: {value!r} is no number")
    # A comparison that a NaN fails too.
    if not 0 <= value <= 1e18:
        raise FieldError(f"{name}: {value!r} is out of range")
    return value


def get_int(data: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a whole number that is not negative."""
    value = get_number(data, name, default)
    if value != int(value):
        raise FieldError(f"{name}: {value!r} is no whole number")
    return int(value)


def get_bool(data: dict[str, Any], name: str) -> bool:
    """Return a truth value; false if it is left out."""
    value = data.get(name, False)
    if not isinstance(value, bool):
        raise FieldError(f"{name}: {value!r} is neither true nor false")
    return value


def get_object(data: dict[str, Any], name: str) -> dict[str, Any]:
    """Return an object; an empty one if it is left out."""
    value = data.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise FieldError(f"{name}: no object")
    return value


def get_list(data: dict[str, Any], name: str) -> list[Any]:
    """Return a list; an empty one if it is left out."""
    value = data.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise FieldError(f"{name}: no list")
    return value


def get_str_list(data: dict[str, Any], name: str) -> list[str]:
    """Return a list of texts."""
    values = get_list(data, name)
    if not all(isinstance(value, str) for value in values):
        raise FieldError(f"{name}: not a list of texts")
    return values
