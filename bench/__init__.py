"""Measures of firhook.  Each prints JSON lines, with ratios where possible."""
