"""What instances know from the log: pure state, the same for every reader."""

from firhook.state._base import StreamState
from firhook.state._cell import CellState, LeadState
from firhook.state._config import ConfigState, KeyEntry
from firhook.state._lanes import Lanes
from firhook.state._once import OnceEntry, OnceState
from firhook.state._snapshots import ChunkSets, Rebuild, Snapshot, split_snapshot
from firhook.state._states import States
from firhook.state._zone import TaskState, ZoneState

__all__ = [
    "CellState",
    "ChunkSets",
    "ConfigState",
    "KeyEntry",
    "Lanes",
    "LeadState",
    "OnceEntry",
    "OnceState",
    "Rebuild",
    "Snapshot",
    "States",
    "StreamState",
    "TaskState",
    "ZoneState",
    "split_snapshot",
]
