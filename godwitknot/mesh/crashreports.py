"""Crash reports of all servers, each recorded once."""

from godwitknot.control.messages import CrashReport
from godwitknot.health.crashes import CrashTracker
from godwitknot.mesh.events import EventLog
from godwitknot.mesh.memberdirectory import Crash


class CrashReports:
    """Logs new crashes and passes them to the tracker."""

    def __init__(self, tracker: CrashTracker, log: EventLog) -> None:
        """Create an empty record.

        :param tracker: receives the crash reports of all nodes.
        """
        self._tracker = tracker
        self._log = log
        self._seen: set[tuple] = set()

    def record(self, crash: Crash) -> bool:
        """Record a crash; return whether it is new."""
        key = (crash.node, crash.server_id, crash.fingerprints)
        if key in self._seen:
            return False
        self._seen.add(key)
        self._log.write(
            'server crashed',
            server=crash.server_id,
            peer=crash.node,
            in_flight=len(crash.fingerprints),
        )
        self._tracker.record_crash(
            CrashReport(
                crash.service,
                crash.node,
                crash.server_id,
                0,
                crash.fingerprints,
            )
        )
        return True
