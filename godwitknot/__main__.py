"""Runs the command line by ``python -m godwitknot``."""

from godwitknot.commands import main

main()
