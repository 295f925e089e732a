"""The lead's table of waiting work, from which instances predict waits."""

from firhook.cell._load import (
    MAX_LOAD_ROWS,
    LoadRow,
    LoadTable,
    decode_load_table,
    encode_load_table,
)

__all__ = [
    "MAX_LOAD_ROWS",
    "LoadRow",
    "LoadTable",
    "decode_load_table",
    "encode_load_table",
]
