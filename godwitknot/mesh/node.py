"""One mesh node: builds its parts, serves, and stops gracefully."""

import asyncio
import random
import signal
import traceback
from collections.abc import Awaitable, Callable

from godwitknot.clock import SystemClock
from godwitknot.errors import ConnectionCutError, PlatformFormatError
from godwitknot.health.crashes import CrashTracker
from godwitknot.mesh.admissioncontrol import AdmissionControl
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
from godwitknot.mesh.memberdirectory import Directory, Member
from godwitknot.mesh.model import NodeSettings, Placement, ServerState
from godwitknot.mesh.noderelay import RelayClient, RelayServer
from godwitknot.mesh.peergossip import PeerGossip
from godwitknot.mesh.retrybudget import RetryBudget
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverchecks import ServerChecks
from godwitknot.mesh.serverhealth import ServerHealth
from godwitknot.mesh.serverproxy import Sidecar
from godwitknot.mesh.serverselector import ServerSelector
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.mesh.storesync import ConfigurationHolder, StoreSync
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.units import Address

_MILLISECONDS = 1000
_STOP_POLL_SECONDS = 0.1
# Requests that are read just before the exit are refused in this time.
_REFUSAL_SECONDS = 0.05
_REFUSAL_POLL_SECONDS = 0.005
_SETTINGS_POLL_SECONDS = 2.0

Serve = Callable[[Channel], Awaitable[None]]


class MeshNode:
    """A running node beside one server."""

    def __init__(
        self,
        placement: Placement,
        dialect: Dialect,
        store: MetadataStore,
        settings: NodeSettings,
        read_placement: Callable[[], Placement],
    ) -> None:
        """Build all parts; nothing listens before :meth:`run`.

        :param read_placement: reads the platform's settings anew.
        """
        self._placement = placement
        self._dialect = dialect
        self._settings = settings
        self._read_placement = read_placement
        clock = SystemClock()
        self._clock = clock
        self._log = EventLog(placement.node, clock)
        self._telemetry = Telemetry()
        runtime = Runtime(clock, self._log, self._telemetry, random.Random())
        self._stopping = asyncio.Event()
        self._shutdown = Shutdown(clock)
        self._tasks: set[asyncio.Task] = set()
        self._listeners: list[asyncio.Server] = []
        self._started = int(clock.wall() * _MILLISECONDS)
        self._build_server_side(runtime)
        self._build_knowledge(runtime, store)
        self._build_request_path(runtime)
        self._announcements = AnnouncementHandler(
            self._server, dialect, self._note_server, runtime
        )

    def _build_server_side(self, runtime: Runtime) -> None:
        """Build what stands before the local server."""
        placement = self._placement
        self._server = LocalServer(placement, self._log, self._started)
        self._vitals = ServerHealth(self._clock, self._log)
        budget = RetryBudget(placement.bounds, self._clock)
        self._admission = AdmissionControl(
            self._server, self._vitals, budget, self._shutdown, self._clock
        )
        self._client = HttpClient(
            DEFAULT_MAX_IDLE_SECONDS, self._settings.answer_bytes
        )
        self._sidecar = Sidecar(
            self._server,
            self._admission,
            self._vitals,
            self._dialect,
            self._client,
            runtime,
        )
        self._sidecar.crash_listeners.append(self._check_crash)

    def _build_knowledge(
        self,
        runtime: Runtime,
        store: MetadataStore,
    ) -> None:
        """Build what the node knows of others, and how it learns."""
        self._directory = Directory(self._first_record())
        self._holder = ConfigurationHolder(self._dialect, self._log)
        self._checks = ServerChecks(
            self._server, self._holder, self._dialect, self._client, runtime
        )
        self._crashes = CrashTracker(self._clock)
        self._relay = RelayClient()
        self._selector = ServerSelector(
            self._placement, self._directory, self._admission, runtime
        )
        self._spreader = PeerGossip(
            self._directory,
            self._holder,
            self._selector,
            self._crashes,
            self._relay,
            runtime,
        )
        self._spreader.recall_listeners.append(self._recall)
        self._holder.listeners.append(self._prove_if_needed)
        self._sync = StoreSync(
            store,
            self._holder,
            self._directory,
            self._spreader.take_members,
            runtime,
        )
        self._directory.listeners.append(self._note_own_record)

    def _build_request_path(self, runtime: Runtime) -> None:
        """Build the way of a request, from callers and other nodes."""
        dispatcher = Dispatcher(
            self._placement,
            self._selector,
            self._sidecar,
            self._relay,
            runtime,
        )
        self._frontend = Frontend(
            dispatcher,
            self._holder,
            self._dialect,
            self._crashes,
            self._shutdown,
            runtime,
        )
        self._relay_server = RelayServer(
            self._sidecar, self._spreader.handle, self._log
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then stop gracefully."""
        self._log.prepare()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._note_loop_error)
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._listen()
        self._log.write(
            'node started',
            service=self._placement.service,
            zone=self._placement.zone,
        )
        tasks = [*self._sync.start(), *self._spreader.start()]
        tasks.append(asyncio.ensure_future(self._poll_settings()))
        for task in tasks:
            self._keep(task)
        await self._stopping.wait()
        await self._stop()

    async def _listen(self) -> None:
        placement = self._placement
        readiness = ReadinessHandler(self._dialect, self._is_ready)
        relay = self._settings.relay_listener or placement.relay
        metrics = Address(placement.host, self._settings.metrics_port)
        services: list[tuple[Address, Serve]] = [
            (
                placement.announcements,
                EndpointServer(self._announcements.handle).serve,
            ),
            (relay, self._relay_server.serve),
            (placement.ingress, self._frontend.serve),
            (placement.readiness, EndpointServer(readiness.handle).serve),
            (
                metrics,
                EndpointServer(MetricsHandler(self._telemetry).handle).serve,
            ),
        ]
        for address, serve in services:
            listener = await listen(address, self._guard(serve))
            self._listeners.append(listener)

    def _guard(self, serve: Serve) -> Serve:
        """Let an unexpected error end one connection alone."""

        async def guarded(channel: Channel) -> None:
            try:
                await serve(channel)
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
        """Finish what runs, within the grace."""
        self._shutdown.begin(self._placement.bounds)
        self._log.write('node stopping', active=self._frontend.active)
        self._directory.update_local_member(serving=False)
        while not self._shutdown.may_exit(busy=self._busy()):
            await asyncio.sleep(_STOP_POLL_SECONDS)
        await self._refuse_rest()
        self._frontend.log_unfinished()
        self._log.write('node stopped', active=self._frontend.active)
        self._log.flush()

    async def _refuse_rest(self) -> None:
        """Take on nothing more, and refuse what was read meanwhile."""
        self._shutdown.close()
        for listener in self._listeners:
            listener.close()
        end = self._clock.now() + _REFUSAL_SECONDS
        waiting = True
        while waiting and self._clock.now() < end:
            # Connections that were accepted last get their task first.
            await asyncio.sleep(_REFUSAL_POLL_SECONDS)
            waiting = self._busy()

    def _busy(self) -> bool:
        return bool(self._frontend.active or self._relay_server.active)

    def _is_ready(self) -> bool:
        if self._stopping.is_set() or self._holder.current is None:
            return False
        return self._sync.members_read or self._spreader.synchronized

    def _first_record(self) -> Member:
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
            incarnation=self._started,
            revision=0,
            serving=True,
        )

    def _note_server(self) -> None:
        """Take in a change of the local server."""
        server = self._server
        own = self._directory.local_member
        if (server.server_id, server.born) != (own.server_id, own.born):
            self._vitals.reset()
            self._client.close_idle(self._placement.server)
        if not server.open_for_work:
            self._admission.refuse_queued()
        self._prove_if_needed()
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

    def _recall(self, member: Member) -> None:
        self._server.restore(member)
        if self._server.server_id:
            self._note_server()

    def _prove_if_needed(self) -> None:
        if self._server.needs_proof:
            self._spawn(self._prove())

    def _note_own_record(self, member: Member) -> None:
        if member.address == self._placement.relay:
            self._sync.note_own_changed()
        servers = self._directory.find_servers(
            self._directory.local_member.service
        )
        self._admission.service_server_count = len(servers)

    async def _prove(self) -> None:
        if await self._checks.check_health():
            self._note_server()

    def _check_crash(self, fingerprints: tuple[int, ...]) -> None:
        self._spawn(self._confirm_crash(fingerprints))

    async def _confirm_crash(self, fingerprints: tuple[int, ...]) -> None:
        """Report a crash if the server no longer takes connections."""
        if not await self._checks.accepts_connections():
            self._spreader.report_crash(fingerprints)

    def _reload(self) -> None:
        try:
            fresh = self._read_placement()
        except (PlatformFormatError, OSError) as error:
            self._log.write('settings unreadable', detail=str(error))
            return
        if fresh == self._placement:
            self._log.write('settings reloaded', changed=False)
            return
        self._log.write('settings reloaded', changed=True)
        self._placement.service = fresh.service
        self._placement.bounds = fresh.bounds

    async def _poll_settings(self) -> None:
        """Take in settings that change without a signal."""
        while True:
            await asyncio.sleep(_SETTINGS_POLL_SECONDS)
            try:
                fresh = self._read_placement()
            except (PlatformFormatError, OSError) as error:
                self._log.write('settings unreadable', detail=str(error))
                continue
            if fresh.service != self._placement.service:
                self._reload()

    def _spawn(self, work: object) -> None:
        self._keep(asyncio.ensure_future(work))

    def _keep(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._note_task)

    def _note_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self._telemetry.count('unexpected_errors')
        self._log.write(
            'task failed', detail=''.join(traceback.format_exception(error))
        )

    def _note_loop_error(
        self,
        loop: asyncio.AbstractEventLoop,
        context: dict,
    ) -> None:
        self._telemetry.count('unexpected_errors')
        error = context.get('exception')
        self._log.write(
            'unexpected error', detail=f'{context["message"]}: {error!r}'
        )
