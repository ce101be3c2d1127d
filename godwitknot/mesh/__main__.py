"""``python -m godwitknot.mesh SETTINGS-FILE``: runs a node."""

import signal

# SIGHUP during the imports needs no reload, since the settings are read
# later, but its default action would terminate the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from godwitknot.mesh.program import main  # noqa: E402

main()
