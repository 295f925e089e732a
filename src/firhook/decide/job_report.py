"""Reports how far a job is: what each of its steps does or waits for."""

from firhook.decide._job_report import (
    RunPhase,
    RunReport,
    StepPhase,
    StepReport,
    report_steps,
)

__all__ = ["RunPhase", "RunReport", "StepPhase", "StepReport", "report_steps"]
