"""Summarizes the waiting work of a crowded cell by team and queue."""

from firhook.decide._load_table import (
    AMPLE_SLACK_S,
    MAX_TASK_S,
    LoadRates,
    Shares,
    WorkRates,
    build_load_table,
    task_core_s,
    waiting_by_team,
)

__all__ = [
    "AMPLE_SLACK_S",
    "MAX_TASK_S",
    "LoadRates",
    "Shares",
    "WorkRates",
    "build_load_table",
    "task_core_s",
    "waiting_by_team",
]
