"""``python -m firhook`` is the command-line tool."""

from firhook.cli import main

main()
