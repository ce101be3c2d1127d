"""``python -m godwitknot.mesh OWN-SETTINGS``: runs a node."""

import signal

# A reload while the program still loads has nothing to do, since settings
# are read after that; by default the signal would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from godwitknot.mesh.program import main  # noqa: E402

main()
