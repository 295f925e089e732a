"""Stand-ins for the platform, its workers and the teams' runners.

They implement the protocols that firhook expects of the real ones.  Only the
demonstration, the benchmarks and the process-level tests use them.
"""
