"""Reports server crashes and the requests in flight over gossip."""

from godwitknot.control.messages import Clearance, CrashReport, Rumors
from godwitknot.health.crashes import CrashTracker
from godwitknot.logs import log_event
from godwitknot.membership.gossip import Gossip, Listeners
from godwitknot.metrics import Metrics
from godwitknot.servers.supervisor import CrashReporter


class GossipCrashReporter(CrashReporter):
    """Connects the crash tracker of a node to the gossip."""

    def __init__(self, tracker: CrashTracker, metrics: Metrics) -> None:
        """Create a reporter; :meth:`connect` adds the gossip."""
        self._tracker = tracker
        self._metrics = metrics
        self._gossip: Gossip | None = None

    def connect(self, gossip: Gossip, listeners: Listeners) -> None:
        """Subscribe to reports of the fleet and enable sending."""
        self._gossip = gossip
        listeners.crash.append(self._handle_crash)
        listeners.clearance.append(self._handle_clearance)

    def report_crash(self, report: CrashReport) -> None:
        """Report to the fleet which requests were in flight at a crash."""
        log_event(
            'server crashed',
            service=report.service,
            server=report.server,
            in_flight=len(report.fingerprints),
        )
        clearances = self._tracker.record_crash(report)
        self._broadcast(Rumors(crashes=(report,), clearances=clearances))

    def is_blocked(self, service: str, fingerprint: int) -> bool:
        """Return whether a request is blocked because it crashed servers."""
        return self._tracker.is_blocked(service, fingerprint)

    def report_success(self, service: str, fingerprint: int) -> None:
        """Report to the fleet that a suspected request ran successfully."""
        if self._tracker.record_success(service, fingerprint):
            self._broadcast(
                Rumors(clearances=(Clearance(service, fingerprint),))
            )

    def _handle_crash(self, report: CrashReport) -> None:
        self._metrics.count('crashes.heard')
        clearances = self._tracker.record_crash(report)
        if clearances:
            self._broadcast(Rumors(clearances=clearances))

    def _handle_clearance(self, clearance: Clearance) -> None:
        self._tracker.record_success(clearance.service, clearance.fingerprint)

    def _broadcast(self, rumors: Rumors) -> None:
        if self._gossip is not None:
            self._gossip.spread(rumors)
