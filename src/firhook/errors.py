"""Every error that firhook raises or answers with, by kind and code."""

from firhook._errors import *  # noqa: F403
from firhook._errors import __all__ as __all__
