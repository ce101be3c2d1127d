"""Run one seeded history: a fleet, its clients, and injected faults."""

import random
import signal
import threading
import time
from collections.abc import Callable

import attrs

from bench.histories import DrainRecord, History, Violation, check_history
from bench.soakcallers import Caller, Operator, Sampler, apply_declaration
from bench.soakfleet import DECLARATION, SoakFleet
from bench.soaknode import LEASE_SECONDS
from godwitknot.errors import GodwitknotError
from standins.faults import Faults

_RUN_SECONDS = 4.0
_CALLERS = 6
_OPERATORS = 2
_MAX_START_ATTEMPTS = 30
# Fills slots and queues, so that claimed requests wait to be sent.
_BURST_REQUESTS = 30
_BURST_SECONDS = 0.4
_BURST_SLOW_FACTOR = 30
_HEALTHY = Faults()


class SoakError(GodwitknotError):
    """The fleet of a history could not be started."""


@attrs.frozen
class Report:
    """The result of one history.

    :param operations: observations that were checked.
    :param faults: number of injected faults.
    :param runs: executions by the servers.
    """

    seed: int
    operations: int
    faults: int
    runs: int
    violations: tuple[Violation, ...]


class FaultScript:
    """Injects the faults of one history, drawn from its seed."""

    def __init__(self, fleet: SoakFleet, history: History, seed: int) -> None:
        """Create the script of a seed; no fault is injected yet."""
        self._fleet = fleet
        self._history = history
        self._random = random.Random(f'faults/{seed}')
        self._seed = seed
        self._drained: set[str] = set()
        self.count = 0
        self._faults: tuple[Callable[[], None], ...] = (
            self._kill,
            self._pause,
            self._stop_node,
            self._store_down,
            self._store_slow,
            self._lose_write_replies,
            self._cut_link,
            self._shed,
            self._truncate_responses,
            self._slow_server,
            self._drain,
            self._pause_under_load,
        )

    def run(self, until: float) -> None:
        """Inject one fault at a time until a monotonic time.

        Each is cleared before the next one, except a drain and lost write
        replies.
        """
        while time.monotonic() < until:
            time.sleep(self._random.uniform(0.05, 0.3))
            self.count += 1
            self._random.choice(self._faults)()

    def _kill(self) -> None:
        node_id = self._pick_node()
        self._fleet.kill_node(node_id)
        time.sleep(self._random.uniform(0, 0.3))
        self._fleet.start_node(node_id)

    def _pause(self) -> None:
        node_id = self._pick_node()
        self._fleet.signal_node(node_id, signal.SIGSTOP)
        time.sleep(self._random.uniform(0.2, 3 * LEASE_SECONDS))
        self._fleet.signal_node(node_id, signal.SIGCONT)

    def _pause_under_load(self) -> None:
        """Pause a node until the claims of its queued requests have lapsed."""
        servers = self._fleet.servers.servers.values()
        for server in servers:
            server.faults = Faults(slow_factor=_BURST_SLOW_FACTOR)
        burst = [
            threading.Thread(
                target=Caller(
                    self._fleet,
                    self._history,
                    f'{self._seed}-b{self.count}-{n}',
                ).book_once,
            )
            for n in range(_BURST_REQUESTS)
        ]
        for thread in burst:
            thread.start()
        time.sleep(_BURST_SECONDS)
        node_id = self._pick_node()
        self._fleet.signal_node(node_id, signal.SIGSTOP)
        time.sleep(2 * LEASE_SECONDS)
        self._fleet.signal_node(node_id, signal.SIGCONT)
        for slowed in servers:
            slowed.faults = _HEALTHY
        for booking in burst:
            booking.join()

    def _stop_node(self) -> None:
        node_id = self._pick_node()
        process = self._fleet.nodes[node_id].process
        self._fleet.signal_node(node_id, signal.SIGTERM)
        time.sleep(self._random.uniform(0.2, 1))
        if process.poll() is None:
            self._fleet.kill_node(node_id)
        self._fleet.start_node(node_id)

    def _store_down(self) -> None:
        self._fleet.application.faults.down = True
        time.sleep(self._random.uniform(0.2, 1))
        self._fleet.application.faults.down = False

    def _store_slow(self) -> None:
        # 700 ms exceeds the 500 ms store timeout of the nodes: they give up
        # before the write takes effect.
        self._fleet.application.faults.slow_ms = self._random.choice((50, 700))
        time.sleep(self._random.uniform(0.2, 1))
        self._fleet.application.faults.slow_ms = 0

    def _lose_write_replies(self) -> None:
        self._fleet.application.faults.lose_writes = self._random.randint(1, 8)

    def _cut_link(self) -> None:
        link = self._random.choice(self._fleet.links)
        link.cut_forward = self._random.choice((True, False))
        link.cut_backward = not link.cut_forward
        time.sleep(self._random.uniform(0.2, 1))
        link.cut_forward = False
        link.cut_backward = False

    def _shed(self) -> None:
        self._inject_server_faults(Faults(shed=True))

    def _truncate_responses(self) -> None:
        self._inject_server_faults(Faults(cut_share=0.5))

    def _slow_server(self) -> None:
        self._inject_server_faults(Faults(slow_factor=20))

    def _inject_server_faults(self, faults: Faults) -> None:
        servers = self._fleet.servers.servers
        server = servers[self._random.choice(sorted(servers))]
        server.faults = faults
        time.sleep(self._random.uniform(0.2, 1))
        server.faults = _HEALTHY

    def _drain(self) -> None:
        """Drain one server; node faults spare its node from then on."""
        if self._drained:
            return
        node_id = self._pick_node()
        node = self._fleet.nodes[node_id]
        server = node.plan.servers[0].name
        target = f'{node_id}/{server}'
        self._drained.add(node_id)
        done = self._fleet.try_command(node_id, 'stop', target)
        if done.returncode == 0 and 'draining' in done.stdout:
            self._history.drains.append(DrainRecord(server, time.time()))

    def _pick_node(self) -> str:
        nodes = set(self._fleet.nodes) - self._drained
        return self._random.choice(sorted(nodes))


def run_history(seed: int, variant: str) -> Report:
    """Run one history and check it.

    :param seed: determines faults and calls.
    :param variant: of the nodes, see :mod:`bench.soaknode`.
    :raises SoakError: if the fleet did not start.
    """
    history = History(lease=LEASE_SECONDS)
    with SoakFleet(variant) as fleet:
        _start(fleet, history)
        faults = FaultScript(fleet, history, seed)
        _run_workers(fleet, history, seed, faults)
        history.runs.extend(fleet.list_all_runs())
        history.claims.extend(fleet.tables.claims)
    found = tuple(check_history(history))
    return Report(
        seed, history.operations, faults.count, len(history.runs), found
    )


def _start(fleet: SoakFleet, history: History) -> None:
    for _ in range(_MAX_START_ATTEMPTS):
        if apply_declaration(fleet, history, 'n0', DECLARATION):
            fleet.wait_ready()
            return
        time.sleep(0.1)
    raise SoakError('no node accepted the declaration')


def _run_workers(
    fleet: SoakFleet, history: History, seed: int, faults: FaultScript
) -> None:
    until = time.monotonic() + _RUN_SECONDS
    workers = [
        *(Caller(fleet, history, f'{seed}-c{n}') for n in range(_CALLERS)),
        *(Operator(fleet, history, f'{seed}-o{n}') for n in range(_OPERATORS)),
        Sampler(fleet, history),
        faults,
    ]
    threads = [
        threading.Thread(target=worker.run, args=(until,)) for worker in workers
    ]
    for thread in threads:
        thread.start()
    for running in threads:
        running.join()
