"""A mesh node: assembles its parts, serves requests and stops gracefully."""

import asyncio
import functools
import random
import secrets
import signal
import traceback
from collections.abc import Awaitable, Callable

from godwitknot.accounts.freshness import Freshness
from godwitknot.clock import SystemClock
from godwitknot.errors import ConnectionCutError
from godwitknot.health.crashes import CrashTracker
from godwitknot.memory.ledger import (
    UNCOUNTED,
    HeldBytes,
    Ledger,
    derive_budget,
)
from godwitknot.mesh.accountchecks import AccountChecks
from godwitknot.mesh.accountquotas import AccountControls, AccountQuotas
from godwitknot.mesh.admissioncontrol import AdmissionControl
from godwitknot.mesh.backgroundtasks import BackgroundTasks, keep_running
from godwitknot.mesh.channels import Channel, listen
from godwitknot.mesh.dispatcher import Dispatcher
from godwitknot.mesh.endpoints import (
    AnnouncementHandler,
    EndpointServer,
    MetricsHandler,
    ReadinessHandler,
)
from godwitknot.mesh.events import EventLog
from godwitknot.mesh.frontend import Frontend
from godwitknot.mesh.httpclient import HttpClient
from godwitknot.mesh.interfaces import Dialect, MetadataStore
from godwitknot.mesh.keepalive import DEFAULT_MAX_IDLE_SECONDS
from godwitknot.mesh.localserver import LocalServer
from godwitknot.mesh.memberdirectory import (
    PROTOCOL_VERSION,
    Directory,
    Member,
)
from godwitknot.mesh.messages import Kind
from godwitknot.mesh.model import NodeSettings, Placement, ServerState
from godwitknot.mesh.noderelay import RelayServer
from godwitknot.mesh.peergossip import PeerGossip
from godwitknot.mesh.recordcopies import RecordCopies
from godwitknot.mesh.relayclient import RelayClient
from godwitknot.mesh.retrybudget import RetryBudget
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverchecks import ServerChecks
from godwitknot.mesh.serverhealth import ServerHealth
from godwitknot.mesh.serverproxy import Sidecar
from godwitknot.mesh.serverselector import ServerSelector
from godwitknot.mesh.settingsreload import SettingsReload
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.mesh.storesync import ConfigurationHolder, StoreSync
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.mesh.versioncomparison import VersionComparison
from godwitknot.units import Address

_MS_PER_SECOND = 1000
_STOP_POLL_SECONDS = 0.1
# Time limit for refusing requests that arrive just before the exit.
_FINAL_REFUSAL_SECONDS = 0.05
_FINAL_REFUSAL_POLL_SECONDS = 0.005
_SECRET_BYTES = 32

ConnectionHandler = Callable[[Channel], Awaitable[None]]


class MeshNode:
    """A node and its local server."""

    def __init__(
        self,
        placement: Placement,
        dialect: Dialect,
        store: MetadataStore,
        settings: NodeSettings,
        read_placement: Callable[[], Placement],
    ) -> None:
        """Assemble all parts; :meth:`run` starts the listeners.

        :param read_placement: reads the platform's settings again.
        """
        self._placement = placement
        self._dialect = dialect
        self._settings = settings
        clock = SystemClock()
        self._clock = clock
        self._telemetry = Telemetry()
        self._ledger = Ledger(derive_budget(placement.memory_bytes))
        self._log = EventLog(
            placement.node,
            clock,
            held=self._ledger.log,
            telemetry=self._telemetry,
        )
        self._reload = SettingsReload(placement, read_placement, self._log)
        runtime = Runtime(
            clock,
            self._log,
            self._telemetry,
            random.Random(),
            self._ledger,
        )
        self._stopping = asyncio.Event()
        self._shutdown = Shutdown(clock)
        self._listeners: list[asyncio.Server] = []
        self._started_ms = int(clock.wall() * _MS_PER_SECOND)
        self._tasks = BackgroundTasks(runtime)
        self._runtime = runtime
        self._holder = ConfigurationHolder(dialect, self._log)
        self._freshness = Freshness(clock, first_start=placement.first_start)
        self._accounts = AccountChecks(
            self._holder,
            self._freshness,
            placement,
            secrets.token_bytes(_SECRET_BYTES),
        )
        self._build_local_server(runtime)
        self._build_fleet_state(runtime, store)
        self._build_quotas(runtime)
        self._build_request_path(runtime)
        self._add_gauges()
        self._announcements = AnnouncementHandler(
            self._server, dialect, self._update_server, runtime
        )

    def _build_local_server(self, runtime: Runtime) -> None:
        """Build the parts that control access to the local server."""
        placement = self._placement
        self._server = LocalServer(
            placement, self._log, self._started_ms, clock=self._clock
        )
        self._health = ServerHealth(self._clock, self._log)
        budget = RetryBudget(placement.bounds, self._clock)
        self._admission = AdmissionControl(
            self._server, self._health, budget, self._shutdown, self._clock
        )
        self._admission.accounts = self._accounts
        self._client = HttpClient(
            DEFAULT_MAX_IDLE_SECONDS,
            self._settings.max_response_bytes,
            self._ledger.server,
        )
        self._sidecar = Sidecar(
            self._server,
            self._admission,
            self._health,
            self._dialect,
            self._client,
            runtime,
        )
        self._sidecar.crash_listeners.append(self._start_crash_check)

    def _build_fleet_state(
        self,
        runtime: Runtime,
        store: MetadataStore,
    ) -> None:
        """Build the parts that synchronize state with the fleet."""
        self._directory = Directory(self._make_initial_member())
        self._checks = ServerChecks(
            self._server, self._holder, self._dialect, self._client, runtime
        )
        self._crashes = CrashTracker(self._clock)
        self._relay = RelayClient(self._compresses_to, self._ledger.nodes)
        self._selector = ServerSelector(
            self._placement, self._directory, self._admission, runtime
        )
        self._gossip = PeerGossip(
            self._directory,
            self._holder,
            self._selector,
            self._crashes,
            self._relay,
            runtime,
        )
        self._gossip.previous_record_listeners.append(self._restore_server)
        comparison = VersionComparison(
            self._directory, self._freshness, self._placement
        )
        self._gossip.comparison = comparison
        self._gossip.version_listeners.append(comparison.compare)
        self._accounts.version_listeners.append(self._gossip.apply_version)
        self._holder.listeners.append(self._check_health_if_needed)
        self._store_sync = StoreSync(
            store,
            self._holder,
            self._directory,
            self._gossip.merge_members,
            runtime,
            self._selector.contacts,
        )
        self._store_sync.connection_listeners += (
            self._freshness.record_store,
            self._gossip.handle_store,
        )
        self._directory.listeners.append(self._handle_record_change)
        self._record_copies = RecordCopies(
            self._directory, self._gossip.peers, self._log
        )
        self._gossip.delivery_listeners.append(
            self._record_copies.mark_delivered
        )
        self._store_sync.stored_listeners.append(
            self._record_copies.mark_stored
        )

    def _build_request_path(self, runtime: Runtime) -> None:
        """Build the request path from callers and other nodes."""
        dispatcher = Dispatcher(
            self._placement,
            self._selector,
            self._sidecar,
            self._relay,
            self._shutdown,
            runtime,
        )
        self._frontend = Frontend(
            dispatcher,
            self._holder,
            AccountControls(self._accounts, self._quotas),
            self._dialect,
            self._crashes,
            self._shutdown,
            runtime,
        )
        self._relay_server = RelayServer(
            self._sidecar, self._handle_frame, self._log, self._ledger.nodes
        )

    def _add_gauges(self) -> None:
        """Charge the tables, and show all that is charged in the metrics."""
        owners = {
            'members': self._directory,
            'servers': self._selector,
            'configuration': self._holder,
            'accounts': self._quotas,
            'attempts': self._sidecar.refused,
            'crashes': self._crashes,
        }
        for name, owner in owners.items():
            estimate = functools.partial(getattr, owner, 'table_bytes')
            self._ledger.add_table(name, estimate)
            self._telemetry.add_gauge(f'table_bytes_{name}', estimate)
        for kind, account in self._ledger.accounts.items():
            self._telemetry.add_gauge(
                f'held_bytes_{kind}',
                functools.partial(getattr, account, 'held'),
            )

    def _build_quotas(self, runtime: Runtime) -> None:
        """Build the quotas of client accounts."""
        self._quotas = AccountQuotas(
            self._directory,
            self._holder,
            self._relay,
            self._placement.bounds.quota,
            runtime,
            first_start=self._placement.first_start,
        )
        self._gossip.previous_record_listeners.append(
            self._quotas.end_first_start
        )

    def _handle_frame(self, kind: Kind, content: object) -> bytes | None:
        """Handle a frame of another node that is no offer."""
        reply = self._quotas.handle(kind, content)
        return reply or self._gossip.handle(kind, content)

    async def run(self) -> None:
        """Serve requests until SIGTERM or SIGINT, then stop gracefully."""
        self._log.prepare()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._handle_loop_error)
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload.reload)
        await self._start_listeners()
        self._log.write(
            'node started',
            service=self._placement.service,
            zone=self._placement.zone,
        )
        for task in (*self._store_sync.start(), *self._gossip.start()):
            self._tasks.track(task)
        self._tasks.spawn(keep_running(self._reload.poll, self._runtime))
        self._tasks.spawn(keep_running(self._quotas.run, self._runtime))
        await self._stopping.wait()
        await self._stop()

    async def _start_listeners(self) -> None:
        placement = self._placement
        readiness = ReadinessHandler(self._dialect, self._is_ready)
        relay = self._settings.relay_listener or placement.relay
        metrics = Address(placement.host, self._settings.metrics_port)
        handlers: list[tuple[Address, ConnectionHandler, HeldBytes]] = [
            (
                placement.announcements,
                EndpointServer(
                    self._announcements.handle, self._record_copies.wait
                ).serve,
                self._ledger.server,
            ),
            (relay, self._relay_server.serve, self._ledger.nodes),
            (placement.ingress, self._frontend.serve, self._ledger.callers),
            (
                placement.readiness,
                EndpointServer(readiness.handle).serve,
                UNCOUNTED,
            ),
            (
                metrics,
                EndpointServer(MetricsHandler(self._telemetry).handle).serve,
                UNCOUNTED,
            ),
        ]
        for address, handler, account in handlers:
            listener = await listen(address, self._guard(handler), account)
            self._listeners.append(listener)

    def _guard(self, handler: ConnectionHandler) -> ConnectionHandler:
        """Wrap a handler so that an error closes only its connection."""

        async def guarded(channel: Channel) -> None:
            try:
                await handler(channel)
            except (ConnectionCutError, asyncio.CancelledError):
                channel.abort()
            except Exception:
                self._telemetry.count('unexpected_errors')
                self._log.write(
                    'unexpected error', detail=traceback.format_exc()
                )
                channel.abort()

        return guarded

    async def _stop(self) -> None:
        """Finish running requests within the grace period."""
        self._shutdown.begin(self._placement.bounds)
        self._log.write('node stopping', active=self._frontend.active)
        self._directory.update_local_member(serving=False)
        while not self._shutdown.may_exit(busy=self._is_busy()):
            await asyncio.sleep(_STOP_POLL_SECONDS)
        await self._refuse_remaining()
        self._frontend.log_unfinished()
        self._log.write('node stopped', active=self._frontend.active)
        self._log.flush()

    async def _refuse_remaining(self) -> None:
        """Close the listeners and refuse requests that still arrive."""
        self._shutdown.close()
        for listener in self._listeners:
            listener.close()
        end = self._clock.now() + _FINAL_REFUSAL_SECONDS
        pending = True
        while pending and self._clock.now() < end:
            # Sleep before the check, so that the tasks of connections
            # accepted last have started.
            await asyncio.sleep(_FINAL_REFUSAL_POLL_SECONDS)
            pending = self._is_busy()

    def _is_busy(self) -> bool:
        return bool(self._frontend.active or self._relay_server.active)

    def _is_ready(self) -> bool:
        if self._stopping.is_set() or self._holder.current is None:
            return False
        if not self._accounts.is_current:
            return False
        return self._store_sync.members_loaded or self._gossip.synchronized

    def _compresses_to(self, address: Address) -> bool:
        """Return whether frames to a node are compressed.

        Traffic within a failure domain is not billed.
        """
        member = self._directory.find(address)
        if member is None or member.protocol < 1:
            return False
        return member.zone != self._placement.zone

    def _make_initial_member(self) -> Member:
        placement = self._placement
        return Member(
            node=placement.node,
            address=placement.relay,
            zone=placement.zone,
            region=placement.region,
            service=placement.service,
            server_id='',
            born=0,
            state=ServerState.UNKNOWN,
            slots=1,
            incarnation=self._started_ms,
            revision=0,
            serving=True,
            protocol=PROTOCOL_VERSION,
        )

    def _update_server(self) -> None:
        """Apply a state change of the local server."""
        server = self._server
        local_member = self._directory.local_member
        if (server.server_id, server.born) != (
            local_member.server_id,
            local_member.born,
        ):
            self._health.reset()
            self._client.close_idle(self._placement.server)
        if not server.open_for_work:
            self._admission.refuse_queued()
        self._check_health_if_needed()
        state = server.state
        if server.needs_proof:
            state = ServerState.UNKNOWN
        self._directory.update_local_member(
            service=server.service,
            server_id=server.server_id,
            born=server.born,
            state=state,
            slots=server.slots,
        )

    def _restore_server(self, member: Member) -> None:
        self._server.restore(member)
        if self._server.server_id:
            self._update_server()

    def _check_health_if_needed(self) -> None:
        if self._server.needs_proof:
            self._tasks.spawn(self._check_health())

    def _handle_record_change(self, member: Member) -> None:
        if member.address == self._placement.relay:
            self._store_sync.request_write()
        servers = self._directory.find_servers(
            self._directory.local_member.service
        )
        self._admission.service_server_count = len(servers)

    async def _check_health(self) -> None:
        if await self._checks.check_health():
            self._update_server()

    def _start_crash_check(self, fingerprints: tuple[int, ...]) -> None:
        self._tasks.spawn(self._report_crash_if_down(fingerprints))

    async def _report_crash_if_down(
        self,
        fingerprints: tuple[int, ...],
    ) -> None:
        """Report a crash if the server no longer accepts connections."""
        if not await self._checks.accepts_connections():
            self._gossip.report_crash(fingerprints)

    def _handle_loop_error(
        self,
        loop: asyncio.AbstractEventLoop,
        context: dict,
    ) -> None:
        self._telemetry.count('unexpected_errors')
        error = context.get('exception')
        self._log.write(
            'unexpected error', detail=f'{context["message"]}: {error!r}'
        )
