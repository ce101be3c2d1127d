"""Entry point of ``python -m godwitknot``."""

from godwitknot.commands import main

main()
