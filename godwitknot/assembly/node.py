"""Builds the parts of a node, connects them, starts and stops them."""

import functools
import signal
import sys
import threading

import cherrypy

from godwitknot.assembly.configcopies import CONFIGURATION, ConfigurationCopies
from godwitknot.assembly.controlplane import ControlPlane
from godwitknot.assembly.explainer import DECISIONS, Explainer
from godwitknot.assembly.fleetview import (
    BURN,
    VERSION,
    DirectoryCensus,
    NodeView,
)
from godwitknot.assembly.ingresswiring import (
    NodeAccounting,
    ServingConfiguration,
)
from godwitknot.assembly.nodeoperations import STOP, NodeOperations
from godwitknot.assembly.supervisorset import SupervisorSet
from godwitknot.clock import SystemClock
from godwitknot.config.configuration import ConfigurationKeeper
from godwitknot.config.poller import ConfigurationPoller
from godwitknot.control.records import NodeState
from godwitknot.declarations.declaration import Declaration
from godwitknot.declarations.heads import Configuration
from godwitknot.declarations.settings import NodeSettings
from godwitknot.errors import SupersededError
from godwitknot.health.evidence import DecisionLog
from godwitknot.keys import FleetKeys
from godwitknot.logs import configure_logs, log_event
from godwitknot.membership.registry import NodeRegistry
from godwitknot.metrics import Metrics
from godwitknot.operators.operatorapi import make_application
from godwitknot.operators.refusals import RefusalLog
from godwitknot.operators.requestcounts import RequestCounter
from godwitknot.proxying.attempts import AttemptLog
from godwitknot.proxying.directorybalancer import DirectoryBalancer
from godwitknot.proxying.dispatch import Dispatcher
from godwitknot.proxying.ingress import IngressApp
from godwitknot.proxying.keyservice import HANDOVER, KeyService
from godwitknot.proxying.peerapp import PeerApp
from godwitknot.proxying.peerlink import PeerLink
from godwitknot.proxying.sidecar import Sidecar
from godwitknot.servers.drain import DrainManager
from godwitknot.storage.storeclient import HttpObjectStore, HttpTableService
from godwitknot.units import Address
from godwitknot.web.httpserver import (
    NodeServer,
    prepare_engine,
    subscribe_server,
)

# The interpreter's default of 5 ms shows in the 99th percentile of the
# latency that a node adds.
_THREAD_SWITCH_SECONDS = 0.0005
_READY_CHECK_SECONDS = 0.2
# Longer than the siblings take for a round of stay promises, shorter than
# process supervisors usually wait before they kill a process.
_MAX_PROMISE_WAIT_SECONDS = 10.0


class Node:
    """A running node."""

    key_service_class = KeyService

    def __init__(self, settings: NodeSettings) -> None:
        """Build all parts; no port is open before :meth:`start`."""
        self._settings = settings
        self._clock = SystemClock()
        self.metrics = Metrics(settings.node.statsd)
        self._keys = FleetKeys(settings.current_key, settings.keys)
        store = settings.store
        tables = HttpTableService(store.tables, store.timeout)
        objects = HttpObjectStore(store.objects, store.timeout)
        self._registry = NodeRegistry(tables)
        self.keeper = ConfigurationKeeper(
            tables, objects, self._keys, self._clock, self.metrics
        )
        self._serving = ServingConfiguration(self.keeper)
        self._poller = ConfigurationPoller(
            self.keeper, settings.node.poll_interval, self.metrics
        )
        self.control_plane = ControlPlane(
            settings,
            self._keys,
            self._clock,
            self.metrics,
            self._find_declaration,
        )
        self.link = PeerLink(self._keys, self._clock, self.metrics)
        self._decisions = DecisionLog(self._clock)
        self.servers = SupervisorSet(
            settings,
            self.control_plane,
            self._decisions,
            self._clock,
            self.metrics,
            self._find_declaration,
        )
        self._stopping = threading.Event()
        self._copies = ConfigurationCopies(
            self.control_plane.directory, self.keeper, self.link, self.metrics
        )
        self._key_service = self.key_service_class(
            self.control_plane.directory,
            tables,
            self._keys,
            self.link,
            self._clock,
        )
        self._build_applications()
        self.keeper.subscribe(self._announce_version)
        listeners = self.control_plane.gossip.listeners
        listeners.config.append(self._copies.handle_newer_version)
        listeners.superseded.append(self._stop_superseded)

    def start(self) -> None:
        """Open the ports, join the fleet and fetch a configuration."""
        self._listen()
        local_address = self.control_plane.directory.local_record.peer
        seeds = [*self._settings.node.seeds, *self._registry.find_seeds()]
        peers = tuple(seed for seed in seeds if seed != local_address)
        self.control_plane.start(peers)
        self.servers.start()
        self._key_service.start()
        threading.Thread(
            target=self._become_ready, args=(peers,), daemon=True
        ).start()

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        signal.signal(signal.SIGTERM, self._handle_signal)
        signal.signal(signal.SIGINT, self._handle_signal)
        self.start()
        self._stopping.wait()
        self.stop()

    def stop(self) -> None:
        """Finish all requests, announce the end to the fleet and stop."""
        log_event('node stopping', node=self._settings.node.id)
        self._poller.stop()
        self._finish_requests()
        heir = self._key_service.hand_over()
        self.control_plane.announce_node(NodeState.GONE, heir=heir)
        self.servers.stop()
        self.control_plane.stop()
        cherrypy.engine.exit()
        log_event('node stopped', node=self._settings.node.id)

    def _finish_requests(self) -> None:
        self.control_plane.announce_node(NodeState.DRAINING)
        self._ingress.start_closing()
        # The peer port stays open: other nodes still query the state of
        # their attempts.
        self._ingress_server.close_listener()
        self._drains.stop_all(_MAX_PROMISE_WAIT_SECONDS)
        self._ingress.wait_until_idle()

    def _build_applications(self) -> None:
        node = self._settings.node
        directory = self.control_plane.directory
        attempts = AttemptLog(self._clock)
        self._sidecar = Sidecar(
            directory.local_record.incarnation,
            self.servers.supervisors,
            attempts,
            self.metrics,
            self._key_service.executor,
        )
        counter = RequestCounter(node.id, self._clock)
        refusals = RefusalLog(self._clock)
        self._dispatcher = Dispatcher(
            DirectoryBalancer(directory, self._clock),
            self.link,
            self._sidecar,
            self._clock,
            self.metrics,
        )
        self._ingress = IngressApp(
            self._dispatcher,
            self._serving.current,
            NodeAccounting(counter, refusals),
            self._clock,
            self.metrics,
            self._key_service.make_dispatcher(self._dispatcher),
        )
        self._drains = DrainManager(
            self.servers.supervisors, self.control_plane.floor
        )
        explainer = Explainer(
            directory,
            self._decisions,
            refusals,
            self.control_plane.crashes,
            self.link,
        )
        view = NodeView(
            directory,
            self.keeper,
            self._poller,
            counter,
            explainer,
            self.link,
            self._clock,
        )
        operations = NodeOperations(
            directory,
            self.keeper,
            DirectoryCensus(directory),
            self._drains,
            self.link,
        )
        peer_app = PeerApp(self._sidecar, self._keys, self._clock, self.metrics)
        peer_app.add_handler(BURN, view.serve_counts)
        peer_app.add_handler(VERSION, view.serve_version)
        peer_app.add_handler(DECISIONS, explainer.serve_decisions)
        peer_app.add_handler(STOP, operations.serve_stop)
        peer_app.add_handler(CONFIGURATION, self._copies.serve)
        peer_app.add_handler(HANDOVER, self._key_service.serve_handover)
        operator_app = make_application(
            view, operations, node.operator_token, self.metrics
        )
        self._ingress_server = NodeServer(node.ingress, self._ingress)
        self._http_servers = [
            self._ingress_server,
            NodeServer(node.peer, peer_app),
            NodeServer(node.operator, operator_app),
        ]

    def _listen(self) -> None:
        prepare_engine()
        for server in self._http_servers:
            subscribe_server(server)
        cherrypy.engine.start()

    def _become_ready(self, seeds: tuple[Address, ...]) -> None:
        """Load a configuration from the store or peers, then become ready."""
        fetch = functools.partial(self._copies.fetch_all, seeds)
        self.keeper.start(fetch)
        self._registry.write(self.control_plane.directory.local_record)
        self._poller.start()
        # Without a configuration so far, one may still arrive by the poller
        # or by a version that a peer's heartbeat announces.
        while self.keeper.current is None:
            if self._stopping.wait(_READY_CHECK_SECONDS):
                return
        self.control_plane.announce_node(NodeState.READY)
        log_event('node ready', node=self._settings.node.id)

    def _announce_version(self, configuration: Configuration) -> None:
        self.control_plane.gossip.set_config_version(configuration.version)

    def _find_declaration(self) -> Declaration | None:
        current = self.keeper.current
        return None if current is None else current.declaration

    def _stop_superseded(self, error: SupersededError) -> None:
        log_event('node id in use elsewhere', detail=str(error))
        self._stopping.set()

    def _handle_signal(self, number: int, frame: object) -> None:
        if self._stopping.is_set():
            sys.exit(1)
        self._stopping.set()


def run_node(settings: NodeSettings) -> None:
    """Run a node until a signal stops it.

    :param settings: validated settings.
    """
    sys.setswitchinterval(_THREAD_SWITCH_SECONDS)
    configure_logs(settings.node.log_format)
    Node(settings).run()
