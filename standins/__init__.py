"""Small stand-ins for the platform, its workers and the customers' runners.

They speak the same protocols towards firhook as the real ones and are used by
the demonstration, the measurements and the process-level tests only.
"""
