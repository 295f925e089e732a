"""What instances know from the log: pure state, the same for every reader."""

from firhook.state._base import StreamState
from firhook.state._cell import CellState, JobEntry, LeadState, job_digest
from firhook.state._config import ConfigState, KeyEntry
from firhook.state._lanes import Lanes
from firhook.state._once import OnceEntry, OnceState
from firhook.state._snapshots import ChunkSets, Rebuild, Snapshot, split_snapshot
from firhook.state._states import States
from firhook.state._zone import Ref, TaskState, ZoneState

__all__ = [
    "CellState",
    "ChunkSets",
    "ConfigState",
    "JobEntry",
    "KeyEntry",
    "Lanes",
    "LeadState",
    "OnceEntry",
    "OnceState",
    "Rebuild",
    "Ref",
    "Snapshot",
    "States",
    "StreamState",
    "TaskState",
    "ZoneState",
    "job_digest",
    "split_snapshot",
]
