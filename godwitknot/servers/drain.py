"""Planned stops of servers: promises, then no new work, then the end."""

import threading
from collections.abc import Mapping

import attrs

from godwitknot.control.records import ServerState
from godwitknot.errors import OperationRefusedError
from godwitknot.health.fleetfloor import FleetFloor
from godwitknot.logs import log_event
from godwitknot.servers.supervisor import Supervisor

_POLL_SECONDS = 0.1
_RETRY_SECONDS = 0.5
# A request that was admitted just before the stop may not be counted yet.
_QUIET_POLLS = 3


@attrs.frozen
class DrainStatus:
    """Progress of the planned stop of one server.

    :param state: ``waiting``, ``draining`` or ``gone``; the announced state
        if no stop was asked for.
    :param running: requests that still run.
    """

    state: str
    running: int


class DrainManager:
    """Runs the planned stops of the servers of one node.

    A stop needs no store: the permission comes from sibling nodes.
    """

    def __init__(
        self,
        supervisors: Mapping[str, Supervisor],
        floor: FleetFloor,
    ) -> None:
        """Take the servers."""
        self._supervisors = supervisors
        self._floor = floor
        self._waiting: set[str] = set()
        self._lock = threading.Lock()

    def begin(self, server: str, author: str) -> DrainStatus:
        """Start a planned stop, or give the progress of one that runs.

        :raises OperationRefusedError: if the server is unknown, or the
            floor of its service can never permit the stop.
        """
        supervisor = self._find(server)
        with self._lock:
            if server in self._waiting or _is_stopping(supervisor):
                return self.progress(server)
            self._check_floor(supervisor)
            self._waiting.add(server)
        log_event('planned stop', server=server, author=author)
        threading.Thread(
            target=self._drain,
            args=(supervisor,),
            name=f'drain-{server}',
            daemon=True,
        ).start()
        return self.progress(server)

    def progress(self, server: str) -> DrainStatus:
        """Give the progress of a planned stop.

        :raises OperationRefusedError: if the server is unknown.
        """
        supervisor = self._find(server)
        running = supervisor.upstream.count_active()
        state = supervisor.health.state
        if server in self._waiting and not _is_stopping(supervisor):
            return DrainStatus('waiting', running)
        return DrainStatus(str(state), running)

    def stop_all(self, patience: float) -> None:
        """Stop all servers for the end of the node.

        :param patience: seconds to wait for stay promises; then the servers
            drain without them, since the instance is about to end.
        """
        threads = [
            threading.Thread(target=self._leave, args=(each, patience))
            for each in self._supervisors.values()
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _leave(self, supervisor: Supervisor, patience: float) -> None:
        until = supervisor.clock.now() + patience
        while not supervisor.health.start_drain():
            if supervisor.clock.now() > until:
                log_event(
                    'drain without promises',
                    server=supervisor.upstream.section.name,
                )
                break
            threading.Event().wait(_RETRY_SECONDS)
        self._finish(supervisor)

    def _drain(self, supervisor: Supervisor) -> None:
        while not supervisor.health.start_drain():
            threading.Event().wait(_RETRY_SECONDS)
        self._finish(supervisor)
        with self._lock:
            self._waiting.discard(supervisor.upstream.section.name)

    def _finish(self, supervisor: Supervisor) -> None:
        supervisor.close()
        quiet = 0
        while quiet < _QUIET_POLLS:
            threading.Event().wait(_POLL_SECONDS)
            active = supervisor.upstream.count_active()
            quiet = 0 if active else quiet + 1
        supervisor.health.record_gone()

    def _find(self, server: str) -> Supervisor:
        supervisor = self._supervisors.get(server)
        if supervisor is None:
            raise OperationRefusedError(f'no server {server} at this node')
        return supervisor

    def _check_floor(self, supervisor: Supervisor) -> None:
        section = supervisor.upstream.section
        floor = self._floor.floor(section.service)
        others = self._floor.count_others(section.service, section.name)
        if others < floor:
            raise OperationRefusedError(
                f'service {section.service} would have {others} servers, '
                f'and its floor is {floor}',
            )


def _is_stopping(supervisor: Supervisor) -> bool:
    return supervisor.health.state in {
        ServerState.DRAINING,
        ServerState.GONE,
    }
