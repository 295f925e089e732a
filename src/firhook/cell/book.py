"""What the lead knows of the cell's jobs, tasks and runs."""

from firhook.cell._book import (
    BEGUN_WAIT_S,
    LATE_ORDER_S,
    Book,
    Job,
    Run,
    Step,
    Task,
    tails_s,
)

__all__ = [
    "BEGUN_WAIT_S",
    "LATE_ORDER_S",
    "Book",
    "Job",
    "Run",
    "Step",
    "Task",
    "tails_s",
]
