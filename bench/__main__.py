"""``python -m bench [NAME ...]`` runs the named measures, or all of them.

``python -m bench --list`` prints their names.  ``python -m bench lab`` compares
scheduling policies, and ``python -m bench search`` looks for jobs that do not end; see
their ``--help``.
"""

import importlib
import json
import pkgutil
import sys

import bench
from bench import lab, search
from bench._registry import MEASURES


def main(names: list[str]) -> int:
    """Run measures and print one JSON line per result.

    :return: the exit status.
    """
    if names[:1] == ["lab"]:
        return lab.main(names[1:])
    if names[:1] == ["search"]:
        return search.main(names[1:])
    for module in pkgutil.iter_modules(bench.__path__):
        if not module.name.startswith("_"):
            importlib.import_module(f"bench.{module.name}")
    if names == ["--list"]:
        print("\n".join(sorted(MEASURES)))
        return 0
    unknown = sorted(set(names) - set(MEASURES))
    if unknown:
        print(f"unknown measures {unknown}: use {sorted(MEASURES)}", file=sys.stderr)
        return 2
    for name in names or sorted(MEASURES):
        for line in MEASURES[name]():
            print(json.dumps({"measure": name, **line}), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
