"""Validation of settings: every problem is reported with its remedy."""

import pytest

from firhook.errors import SettingsInvalidError
from firhook.settings import parse_settings

GOOD = f"""
[instance]
name = ikeja-1
zone = ikeja
zones = ikeja, lekki
[listen]
gateway = 127.0.0.1:0
ops = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
log_url = http://127.0.0.1:9000
[mesh]
curve_public = {"p" * 40}
curve_secret = {"s" * 40}
[keys]
operator_digest = {"a" * 64}
"""


def problems_of(text: str) -> list[str]:
    """Return the problems reported for invalid settings."""
    with pytest.raises(SettingsInvalidError) as caught:
        parse_settings(text)
    return caught.value.extra["problems"]


def test_valid_settings_are_accepted():
    assert parse_settings(GOOD).zones == ("ikeja", "lekki")


def test_unknown_option_is_named_with_the_known_ones():
    [problem] = problems_of(GOOD + "[gateway]\nmax_bodi_bytes = 3\n")
    assert problem.startswith("[gateway] max_bodi_bytes = '3' is unknown")
    assert "max_body_bytes" in problem


def test_every_problem_is_reported_at_once():
    text = GOOD.replace("zone = ikeja", "zone = lagos").replace(
        "gateway = 127.0.0.1:0", "gateway = localhost:80"
    )
    text = text.replace("a" * 64, "short")
    assert len(problems_of(text)) == 2


def test_zone_that_is_not_listed_is_refused():
    [problem] = problems_of(GOOD.replace("zone = ikeja", "zone = lagos"))
    assert "give one of zones = ikeja, lekki" in problem


def test_missing_options_are_named():
    assert "[instance] name is missing: give it" in problems_of("")
