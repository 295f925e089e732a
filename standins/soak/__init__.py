"""A soak test that injects faults into real instances from outside.

The instances run as processes over the model of the platform, each behind its own
links, while callers use them.  A seed determines the faults, which may overlap.
Violations are detected from what callers and workers observe.
"""

from standins.soak._faults import INITIAL_FAULT_KINDS
from standins.soak._seed_run import Report, run_seed

__all__ = ["INITIAL_FAULT_KINDS", "Report", "run_seed"]
