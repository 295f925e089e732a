"""How many records one append takes."""

from firhook.platform.store import KeyedRecord

#: Bytes of a record beside its key and its value.
_OVERHEAD = 8


def split_records(records: list[KeyedRecord], most: int) -> list[list[KeyedRecord]]:
    """Split records into appends of at most so many bytes; at least one."""
    chunks: list[list[KeyedRecord]] = [[]]
    size = 0
    for record in records:
        length = len(record.key) + len(record.value or b"") + _OVERHEAD
        if chunks[-1] and size + length > most:
            chunks.append([])
            size = 0
        chunks[-1].append(record)
        size += length
    return chunks
