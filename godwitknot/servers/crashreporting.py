"""Spreads crashes of servers and the requests that they ran."""

from godwitknot.control.messages import Clearance, CrashReport, Rumors
from godwitknot.health.crashes import CrashTracker
from godwitknot.logs import log_event
from godwitknot.membership.gossip import Gossip, Listeners
from godwitknot.metrics import Metrics
from godwitknot.servers.supervisor import CrashReporter


class GossipCrashReporter(CrashReporter):
    """Connects the crash ledger of a node to the gossip."""

    def __init__(self, ledger: CrashTracker, metrics: Metrics) -> None:
        """Take the ledger; :meth:`connect` adds the gossip."""
        self._ledger = ledger
        self._metrics = metrics
        self._gossip: Gossip | None = None

    def connect(self, gossip: Gossip, listeners: Listeners) -> None:
        """Hear from and tell the fleet."""
        self._gossip = gossip
        listeners.crash.append(self._hear_crash)
        listeners.clearance.append(self._hear_clearance)

    def report_crash(self, report: CrashReport) -> None:
        """Tell the fleet which requests were in flight at a crash."""
        log_event(
            'server crashed',
            service=report.service,
            server=report.server,
            in_flight=len(report.fingerprints),
        )
        clearances = self._ledger.record_crash(report)
        self._spread(Rumors(crashes=(report,), clearances=clearances))

    def is_blocked(self, service: str, fingerprint: int) -> bool:
        """Tell whether a request crashed two servers."""
        return self._ledger.is_blocked(service, fingerprint)

    def report_success(self, service: str, fingerprint: int) -> None:
        """Tell the fleet that a suspected request ran without harm."""
        if self._ledger.record_success(service, fingerprint):
            self._spread(Rumors(clearances=(Clearance(service, fingerprint),)))

    def _hear_crash(self, report: CrashReport) -> None:
        self._metrics.count('crashes.heard')
        clearances = self._ledger.record_crash(report)
        if clearances:
            self._spread(Rumors(clearances=clearances))

    def _hear_clearance(self, clearance: Clearance) -> None:
        self._ledger.record_success(clearance.service, clearance.fingerprint)

    def _spread(self, rumors: Rumors) -> None:
        if self._gossip is not None:
            self._gossip.spread(rumors)
