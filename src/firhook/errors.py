"""The error classes that firhook raises and returns in its responses."""

from firhook._errors import *  # noqa: F403
from firhook._errors import __all__ as __all__
