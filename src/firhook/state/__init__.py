"""State derived from the log: pure functions of the records, equal at every reader."""

from firhook.state._base import StreamState
from firhook.state._cell import CellState, JobEntry, LeadState, job_digest
from firhook.state._config import ConfigState, KeyEntry
from firhook.state._lanes import LaneSequences
from firhook.state._once import OnceEntry, OnceState
from firhook.state._snapshots import (
    ChunkAssembler,
    Snapshot,
    SnapshotFinder,
    split_snapshot,
)
from firhook.state._states import States
from firhook.state._zone import Ref, TaskState, ZoneState

__all__ = [
    "CellState",
    "ChunkAssembler",
    "ConfigState",
    "JobEntry",
    "KeyEntry",
    "LaneSequences",
    "LeadState",
    "OnceEntry",
    "OnceState",
    "Ref",
    "Snapshot",
    "SnapshotFinder",
    "States",
    "StreamState",
    "TaskState",
    "ZoneState",
    "job_digest",
    "split_snapshot",
]
