"""Supervision of one backend server: probes, evidence, crashes, state."""

import abc
import threading
import types

import attrs

from godwitknot.clock import Clock
from godwitknot.control.messages import CrashReport
from godwitknot.control.records import ServerState
from godwitknot.errors import GodwitknotError
from godwitknot.health.crashes import compute_fingerprint
from godwitknot.health.ejections import ServerHealth
from godwitknot.health.outliers import OutlierPolicy, Sample
from godwitknot.health.siblings import SiblingStatistics
from godwitknot.metrics import Metrics
from godwitknot.outcomes import Code, RefusalError
from godwitknot.servers.probes import Probe
from godwitknot.servers.runresults import Result, RunEnd
from godwitknot.servers.upstream import RunObserver, UpstreamServer
from godwitknot.web.relay import BufferedBody, Load, RelayRequest

_STEP_SECONDS = 0.1
_STARTING_PROBE_SECONDS = 0.25
# Interval of probes to a server that gets no requests.
_IDLE_PROBE_SECONDS = 5.0
_BLOCKED_RETRY_SECONDS = 600
_REFUSAL_CODES = types.MappingProxyType(
    {
        ServerState.STARTING: Code.NOT_READY,
        ServerState.DRAINING: Code.DRAINING,
        ServerState.GONE: Code.DRAINING,
    }
)


class CrashReporter(abc.ABC):
    """Interface to report crashes and successes of requests."""

    @abc.abstractmethod
    def report_crash(self, report: CrashReport) -> None:
        """Report to the fleet which requests were in flight at a crash."""

    @abc.abstractmethod
    def is_blocked(self, service: str, fingerprint: int) -> bool:
        """Return whether a request is blocked because it crashed servers."""

    @abc.abstractmethod
    def report_success(self, service: str, fingerprint: int) -> None:
        """Report to the fleet that a suspected request ran successfully."""


def fingerprint_request(request: RelayRequest) -> int:
    """Return the fingerprint of a request; a streamed body counts as empty."""
    body = request.body
    content = body.content if isinstance(body, BufferedBody) else b''
    return compute_fingerprint(
        request.service, request.method, request.target, content
    )


@attrs.define(eq=False)
class Supervisor(RunObserver):
    """Collects evidence about one server and updates its health.

    One thread runs :meth:`watch`; runs report their results from the threads
    that they run in.
    """

    node_id: str
    health: ServerHealth
    policy: OutlierPolicy
    siblings: SiblingStatistics
    crash_reporter: CrashReporter
    probe: Probe
    clock: Clock
    metrics: Metrics
    upstream: UpstreamServer = attrs.field(init=False)
    incarnation: int = 0
    _stopped: threading.Event = attrs.field(factory=threading.Event)
    _closed: bool = False
    _last_request: float = 0
    _next_probe: float = 0
    _crash_lock: threading.Lock = attrs.field(factory=threading.Lock)

    def start(self) -> None:
        """Start the thread."""
        name = f'supervisor-{self.upstream.section.name}'
        threading.Thread(target=self.watch, name=name, daemon=True).start()

    def stop(self) -> None:
        """Signal the thread to stop."""
        self._stopped.set()

    def close(self) -> None:
        """Refuse all requests from now on, whatever the state is."""
        self._closed = True

    def admit(self, request: RelayRequest) -> None:
        """Check whether the server accepts a request now.

        :raises RefusalError: with the outcome not run, if it does not.
        """
        fingerprint = fingerprint_request(request)
        if self.crash_reporter.is_blocked(request.service, fingerprint):
            self.metrics.count('sidecar.blocked')
            raise RefusalError(
                Code.QUERY_OF_DEATH, retry_after=_BLOCKED_RETRY_SECONDS
            )
        accepted = not self._closed and self.health.accepts(
            repeatable=not request.tag.never_repeat,
            last_resort=request.last_resort,
        )
        if accepted:
            return
        if self._closed:
            raise RefusalError(Code.DRAINING, retry_after=1)
        code = _REFUSAL_CODES.get(self.health.state, Code.EJECTED)
        raise RefusalError(code, retry_after=1)

    def load(self) -> Load:
        """Return the load with the share of traffic to send here."""
        return attrs.evolve(self.upstream.load(), share=self.health.share())

    def record_sent(self, request: RelayRequest, *, fresh: bool) -> None:
        """Record that a request was sent and is in flight."""
        self._last_request = self.clock.now()
        self.policy.begin(
            request.attempt_id, request.tag.name, fresh_connection=fresh
        )

    def wants_fresh_connections(self) -> bool:
        """Return whether a request hangs on a reused connection."""
        return self.policy.wants_fresh_connections()

    def record_result(self, result: Result) -> None:
        """Use the result of a run as evidence and check for a crash."""
        request = result.request
        if result.end is RunEnd.ABANDONED:
            self.policy.abandon(request.attempt_id)
            self.health.record_unsent()
            return
        if result.end in {RunEnd.LOST, RunEnd.REFUSED}:
            self._check_crash()
        sample = Sample(
            request.tag.name,
            result.seconds,
            result.failed,
            result.fresh,
            result.started,
            timed_out=result.end is RunEnd.TIMED_OUT,
            request_id=request.attempt_id,
        )
        self.health.observe(sample)
        # Siblings need the times of warm servers only, and a timeout on a
        # reused connection may be the connection's fault.
        ambiguous = sample.timed_out and not sample.fresh_connection
        if not ambiguous and not self.health.is_cold:
            self.siblings.record(
                request.service,
                self.upstream.section.name,
                request.tag.name,
                result.seconds,
                failed=result.failed,
            )
        if not result.failed:
            self.crash_reporter.report_success(
                request.service, fingerprint_request(request)
            )

    def watch(self) -> None:
        """Probe the server and update its health until stopped.

        Errors are counted and the loop goes on, because without this thread
        the server would never be ejected or reinstated.
        """
        while not self._stopped.wait(_STEP_SECONDS):
            try:
                self._step()
            except (GodwitknotError, OSError, ValueError):
                self.metrics.count('supervisor.errors')

    def _step(self) -> None:
        self.upstream.free_slots()
        self.upstream.cancel_abandoned()
        self._probe_if_due()
        self.health.step()

    def _probe_if_due(self) -> None:
        now = self.clock.now()
        if now < self._next_probe:
            return
        if self.health.state is ServerState.STARTING:
            self._next_probe = now + _STARTING_PROBE_SECONDS
            if self.probe.is_healthy():
                self.health.record_started()
            return
        if now - self._last_request < _IDLE_PROBE_SECONDS:
            return
        self._next_probe = now + _IDLE_PROBE_SECONDS
        self.metrics.count('sidecar.probes')
        if not self.probe.is_healthy():
            self._check_crash()

    def _check_crash(self) -> None:
        """Probe whether the server is down, and report its requests if so."""
        running = self.upstream.running()
        with self._crash_lock:
            if self.health.state is ServerState.STARTING:
                return
            if self.probe.is_responding():
                return
            self.health.record_crashed()
        self.upstream.close_idle_connections()
        self.incarnation += 1
        self.metrics.count('sidecar.server_crashes')
        fingerprints = {fingerprint_request(request) for request, _ in running}
        if not fingerprints:
            return
        self.crash_reporter.report_crash(
            CrashReport(
                self.upstream.section.service,
                self.node_id,
                self.upstream.section.name,
                self.incarnation,
                tuple(sorted(fingerprints)),
            ),
        )
