"""The daemon ``firhookd``: one runs on every entry instance."""

from firhook._daemon import main

__all__ = ["main"]

if __name__ == "__main__":
    main()
