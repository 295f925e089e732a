"""Measures of firhook: each prints one JSON line, a ratio where it can be."""
