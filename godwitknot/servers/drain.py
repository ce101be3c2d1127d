"""Planned stops of servers: collect promises, refuse new work, finish."""

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
# Consecutive polls without requests, because a request that was admitted just
# before the stop may not be counted yet.
_IDLE_POLLS = 3


@attrs.frozen
class DrainStatus:
    """Progress of the planned stop of one server.

    :param state: ``waiting`` for promises, ``draining`` or ``gone``; the
        announced state if no stop was requested.
    :param running: number of requests that have not finished.
    """

    state: str
    running: int


class DrainManager:
    """Manages the planned stops of the servers of one node.

    A stop does not need the store, since sibling nodes grant the permission.
    """

    def __init__(
        self,
        supervisors: Mapping[str, Supervisor],
        floor: FleetFloor,
    ) -> None:
        """Create a manager without planned stops.

        :param supervisors: servers of this node by name.
        """
        self._supervisors = supervisors
        self._floor = floor
        self._waiting: set[str] = set()
        self._lock = threading.Lock()

    def begin(self, server: str, author: str) -> DrainStatus:
        """Start a planned stop, or return the progress of a running one.

        :raises OperationRefusedError: if the server is unknown, or the
            floor of its service can never permit the stop.
        """
        supervisor = self._find_supervisor(server)
        with self._lock:
            if server in self._waiting or _is_stopping(supervisor):
                return self.progress(server)
            self._check_floor(supervisor)
            self._waiting.add(server)
        log_event('planned stop', server=server, author=author)
        threading.Thread(
            target=self._stop_when_permitted,
            args=(supervisor,),
            name=f'drain-{server}',
            daemon=True,
        ).start()
        return self.progress(server)

    def progress(self, server: str) -> DrainStatus:
        """Return the progress of a planned stop.

        :raises OperationRefusedError: if the server is unknown.
        """
        supervisor = self._find_supervisor(server)
        running = supervisor.upstream.count_active()
        state = supervisor.health.state
        if server in self._waiting and not _is_stopping(supervisor):
            return DrainStatus('waiting', running)
        return DrainStatus(str(state), running)

    def stop_all(self, promise_timeout: float) -> None:
        """Stop all servers before the node exits.

        :param promise_timeout: seconds to wait for stay promises; then the
            servers drain without them, since the instance is about to end.
        """
        threads = [
            threading.Thread(
                target=self._stop_with_timeout, args=(each, promise_timeout)
            )
            for each in self._supervisors.values()
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _stop_with_timeout(
        self, supervisor: Supervisor, promise_timeout: float
    ) -> None:
        deadline = supervisor.clock.now() + promise_timeout
        while not supervisor.health.start_drain():
            if supervisor.clock.now() > deadline:
                log_event(
                    'drain without promises',
                    server=supervisor.upstream.section.name,
                )
                break
            threading.Event().wait(_RETRY_SECONDS)
        self._finish_requests(supervisor)

    def _stop_when_permitted(self, supervisor: Supervisor) -> None:
        while not supervisor.health.start_drain():
            threading.Event().wait(_RETRY_SECONDS)
        self._finish_requests(supervisor)
        with self._lock:
            self._waiting.discard(supervisor.upstream.section.name)

    def _finish_requests(self, supervisor: Supervisor) -> None:
        supervisor.close()
        idle_polls = 0
        while idle_polls < _IDLE_POLLS:
            threading.Event().wait(_POLL_SECONDS)
            active = supervisor.upstream.count_active()
            idle_polls = 0 if active else idle_polls + 1
        supervisor.health.record_gone()

    def _find_supervisor(self, server: str) -> Supervisor:
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
