"""Scheduling decisions as pure functions and values, without I/O or clocks.

Every function takes the current time as an argument, in seconds on the caller's
clock.  Functions that need randomness take a seeded generator.
"""
