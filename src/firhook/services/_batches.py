"""Splits records into batches that fit into one append or one message."""

from collections.abc import Callable, Iterable
from typing import TypeVar

from firhook.platform.store import KeyedRecord

#: Bytes that a record takes in addition to its key and value.
_RECORD_OVERHEAD_BYTES = 8

T = TypeVar("T")


def split_records(
    records: list[KeyedRecord], max_bytes: int
) -> list[list[KeyedRecord]]:
    """Split records into batches of at most ``max_bytes``; there is at least one."""
    return split_by_size(
        records,
        lambda r: len(r.key) + len(r.value or b"") + _RECORD_OVERHEAD_BYTES,
        max_bytes,
    )


def split_by_size(
    items: Iterable[T], size: Callable[[T], int], max_bytes: int
) -> list[list[T]]:
    """Split items, in order, into chunks of at most ``max_bytes``.

    An item that is larger gets a chunk of its own.  There is at least one chunk.

    :param size: returns the size of an item in bytes.
    """
    chunks: list[list[T]] = [[]]
    filled = 0
    for item in items:
        length = size(item)
        if chunks[-1] and filled + length > max_bytes:
            chunks.append([])
            filled = 0
        chunks[-1].append(item)
        filled += length
    return chunks
