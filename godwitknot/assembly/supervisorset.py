"""Builds the supervisors of a node's backend servers."""

import functools
from collections.abc import Callable

from godwitknot.assembly.controlplane import ControlPlane
from godwitknot.clock import Clock
from godwitknot.control.records import ServerState
from godwitknot.declarations.declaration import Declaration, Weighing
from godwitknot.declarations.settings import (
    NodeSettings,
    PolicyName,
    ServerSection,
)
from godwitknot.health.ejections import ServerHealth
from godwitknot.health.evidence import DecisionLog
from godwitknot.health.outliers import OutlierPolicy, SequentialPolicy
from godwitknot.health.simplepolicies import (
    ConsecutiveErrorsPolicy,
    EjectionQuota,
    RoundRobinPolicy,
)
from godwitknot.metrics import Metrics
from godwitknot.servers.probes import Probe
from godwitknot.servers.supervisor import Supervisor
from godwitknot.servers.upstream import UpstreamServer

_DEFAULT_HEALTH_PATH = '/health'


class SupervisorSet:
    """The supervisors of one node by server name."""

    def __init__(
        self,
        settings: NodeSettings,
        control_plane: ControlPlane,
        decisions: DecisionLog,
        clock: Clock,
        metrics: Metrics,
        declaration: Callable[[], Declaration | None],
    ) -> None:
        """Build one supervisor for each server of the settings.

        :param declaration: returns the declaration in force, if any.
        """
        self._policy = settings.node.outlier_policy
        self._control_plane = control_plane
        self._decisions = decisions
        self._clock = clock
        self._metrics = metrics
        self._declaration = declaration
        self.supervisors = {
            section.name: self._build(section) for section in settings.servers
        }

    def start(self) -> None:
        """Start all supervisors."""
        for supervisor in self.supervisors.values():
            supervisor.start()

    def stop(self) -> None:
        """Stop all supervisors."""
        for supervisor in self.supervisors.values():
            supervisor.stop()

    def _build(self, section: ServerSection) -> Supervisor:
        control_plane = self._control_plane
        policy = self._make_policy(section)
        health = ServerHealth(
            section.name,
            section.service,
            policy,
            control_plane.promise_manager,
            self._decisions,
            self._clock,
        )
        control_plane.server_health[section.name] = health
        supervisor = Supervisor(
            control_plane.directory.local_record.node_id,
            health,
            policy,
            control_plane.siblings,
            control_plane.crash_reporter,
            Probe(
                section.address,
                functools.partial(self._find_health_path, section.service),
                self._clock,
            ),
            self._clock,
            self._metrics,
        )
        supervisor.upstream = UpstreamServer(section, self._clock, supervisor)
        health.listeners.append(functools.partial(self._announce, supervisor))
        return supervisor

    def _announce(self, supervisor: Supervisor, state: ServerState) -> None:
        name = supervisor.upstream.section.name
        if state is ServerState.EJECTED:
            self._control_plane.siblings.forget_server(name)
        self._metrics.count(f'server.{state}')
        self._control_plane.announce_server(name, state, supervisor.incarnation)

    def _make_policy(self, section: ServerSection) -> OutlierPolicy:
        if self._policy is PolicyName.ROUND_ROBIN:
            return RoundRobinPolicy()
        if self._policy is PolicyName.CONSECUTIVE_ERRORS:
            # The service's floor limits how many servers may be ejected.
            return ConsecutiveErrorsPolicy(self._clock, EjectionQuota(1))
        return SequentialPolicy(
            self._clock,
            functools.partial(
                self._control_plane.siblings.baseline,
                section.service,
                section.name,
            ),
            self._find_weighing,
        )

    def _find_health_path(self, service: str) -> str:
        declaration = self._declaration()
        if declaration is None or service not in declaration.services:
            return _DEFAULT_HEALTH_PATH
        return declaration.services[service].health

    def _find_weighing(self, work_class: str) -> Weighing:
        declaration = self._declaration()
        if declaration is None or work_class not in declaration.classes:
            return Weighing.BALANCED
        return declaration.classes[work_class].weigh
