"""Runs the command line with `python -m galenahook`."""

from galenahook import cli

if __name__ == "__main__":
    cli.main()
