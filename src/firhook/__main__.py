"""Run the command-line tool with ``python -m firhook``."""

from firhook.cli import main

main()
