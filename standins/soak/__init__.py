"""A soak: real instances as processes, with faults from outside them.

The instances run over the model of the platform, each behind links of its own,
and callers use them all the while.  The faults come by a seed, in series and one
over the other.  What must hold is checked from what callers and workers see.
"""

from standins.soak._seed_run import Report, run_seed

__all__ = ["Report", "run_seed"]
