"""Configuration of the test suite: Hypothesis profiles and known failures."""

import os
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile("dev", deadline=None)
settings.load_profile("ci" if os.environ.get("CI") else "dev")

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> list[str]:
    """Return the entries of KNOWN-RED.txt; each starts with a test id."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.strip() and not line.startswith("#")]


def pytest_collection_modifyitems(config, items):
    """Skip in CI exactly the tests that KNOWN-RED.txt lists."""
    lines = known_red()
    if len(lines) > 3:
        raise pytest.UsageError("KNOWN-RED.txt lists more than three tests")
    red = {line.split()[0] for line in lines} if os.environ.get("CI") else set()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.skip(reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter):
    """Print the entries of KNOWN-RED.txt after every run."""
    for line in known_red():
        terminalreporter.write_line(f"KNOWN RED: {line}")
