"""The kinds of random searches."""

from standins.model._large_search import LargeSearch
from standins.model._search import (
    LastingSearch,
    LimitSearch,
    SearchScenario,
    TimedSearch,
)
from standins.model._start_search import StartSearch

#: The kinds of searches by name.
SEARCHES: dict[str, type[SearchScenario]] = {
    "large": LargeSearch,
    "lasting": LastingSearch,
    "limits": LimitSearch,
    "starts": StartSearch,
    "timed": TimedSearch,
}
