"""Decisions under load: pure functions and values, without I/O and clocks.

Every function takes the time as an argument, in seconds of whichever clock
its caller uses, and randomness as a seeded generator.
"""
