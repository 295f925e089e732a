"""firhook: a cluster scheduler for different kinds of workloads in one cell."""

__version__ = "0.1.0"
