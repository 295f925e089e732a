"""What the platform gives: its names, its formats, and the calls to it."""
