"""Measures real nodes in front of fake backend servers with faults."""

import collections
import json
import random
import threading
import time

import attrs
import urllib3

from bench.fleet import Fleet, NodePlan, RunningNode, ServerPlan
from godwitknot.declarations.settings import PolicyName

_SERVERS = 8
_SERVICE_MS = 30
_CALLERS = 16
# Requests per second of each caller; each server gets about 4 per second.
_CALLER_RATE = 4.0
_WARM_UP_SECONDS = 25.0
_FAULT_SECONDS = 14.0
_RECOVERY_SECONDS = 12.0
# A server without a request for this long counts as out of rotation.
_GAP_SECONDS = 3.0
_OK = 200
_CLASSES = ('documents', 'archive')
_DECLARATION = """
[fleet]
owner = bench
{sections}
"""
_SECTION = """
[service {name}]
floor = 75%

[class {name}]
service = {name}
match = GET /{name}/*
success = 99%
latency = 95% within 200ms
timeout = 3s
weigh = {weigh}
"""
_TARGET_SECONDS = 0.2
# Fleets of several policies start in parallel and share the port allocator.
_PORT_LOCK = threading.Lock()

REAL_FAULTS = {
    'fails all work, answers probes': {'error_share': 1},
    'hung with open connections': {'hang': True},
    '10x slower': {'slow_factor': 10},
    '3x slower': {'slow_factor': 3},
    'cut-short answers on 50%': {'cut_share': 0.5},
    'errors on 20%': {'error_share': 0.2},
}


@attrs.frozen
class Call:
    """One request of a caller.

    :param good: whether it succeeded within the target time.
    """

    work_class: str
    at: float
    seconds: float
    good: bool


@attrs.frozen
class RealRow:
    """The effect of one fault on one server.

    :param detected: seconds from the fault to the last request before the
        first gap without requests, ``None`` if there was no such gap.
    :param sent: requests that the server ran during the fault.
    :param met: share of the requests of the work class that met the target
        during the fault, 0 to 1.
    """

    work_class: str
    fault: str
    detected: float | None
    sent: int
    met: float


@attrs.frozen
class RealRun:
    """All measurements of one policy.

    :param false_ejections: by class, of servers without a fault.
    """

    policy: PolicyName
    rows: list[RealRow]
    false_ejections: collections.Counter[str]
    server_hours: float
    calls: int
    executions: int


class _PolicyFleet(Fleet):
    """A fleet whose nodes use a given policy."""

    def __init__(self, policy: PolicyName) -> None:
        self._policy = policy
        with _PORT_LOCK:
            super().__init__(_plan())

    def _format_settings(self, node: RunningNode, seeds: list[str]) -> str:
        text = super()._format_settings(node, seeds)
        line = f'[node]\noutlier-policy = {self._policy}'
        return text.replace('[node]', line)


class _Callers:
    """Threads that send requests at random times until they are stopped."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.calls: list[Call] = []
        self._fleet = fleet
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(number),))
            for number in range(seed, seed + _CALLERS)
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, rng: random.Random) -> None:
        nodes = sorted(self._fleet.nodes)
        while not self._stopped.wait(rng.expovariate(_CALLER_RATE)):
            work_class = rng.choice(_CLASSES)
            self._call(rng.choice(nodes), work_class)

    def _call(self, node_id: str, work_class: str) -> None:
        began = time.time()
        try:
            status = self._fleet.request(
                node_id, 'GET', f'/{work_class}/1', timeout=10
            ).status
        except urllib3.exceptions.HTTPError:
            status = 0
        seconds = time.time() - began
        good = status == _OK and seconds <= _TARGET_SECONDS
        self.calls.append(Call(work_class, began, seconds, good))


def run_policy(policy: PolicyName, seed: int) -> RealRun:
    """Start a fleet and inject one fault after the other."""
    with _PolicyFleet(policy) as fleet:
        return _measure(fleet, policy, seed)


def _plan() -> list[NodePlan]:
    return [
        NodePlan(
            f'n{number}',
            'north',
            'north-a',
            tuple(
                ServerPlan(f'{each}-{number}', each, service_ms=_SERVICE_MS)
                for each in _CLASSES
            ),
        )
        for number in range(_SERVERS)
    ]


def _measure(fleet: Fleet, policy: PolicyName, seed: int) -> RealRun:
    declaration = fleet.folder / 'declaration.ini'
    sections = ''.join(
        _SECTION.format(name=name, weigh=weigh)
        for name, weigh in zip(_CLASSES, ('detection', 'caution'), strict=True)
    )
    declaration.write_text(_DECLARATION.format(sections=sections))
    fleet.apply(declaration, 'n0')
    callers = _Callers(fleet, seed)
    callers.start()
    began = time.time()
    rows: list[RealRow] = []
    time.sleep(_WARM_UP_SECONDS)
    fault_periods: dict[str, list[tuple[float, float]]] = {}
    for number, fault in enumerate(REAL_FAULTS):
        rows.extend(_apply_fault(fleet, callers, number, fault, fault_periods))
    callers.stop()
    hours = (time.time() - began) * _SERVERS / 3600
    return RealRun(
        policy,
        rows,
        _count_false_ejections(fleet, fault_periods),
        hours,
        len(callers.calls),
        _count_runs(fleet),
    )


def _apply_fault(
    fleet: Fleet,
    callers: _Callers,
    number: int,
    fault: str,
    fault_periods: dict[str, list[tuple[float, float]]],
) -> list[RealRow]:
    """Inject a fault into one server of each service and measure it."""
    node_id = f'n{number}'
    servers = [f'{each}-{number}' for each in _CLASSES]
    began = time.time()
    for server in servers:
        fleet.set_faults(node_id, server, **REAL_FAULTS[fault])
    time.sleep(_FAULT_SECONDS)
    ended = time.time()
    for server in servers:
        fleet.set_faults(node_id, server)
        fault_periods.setdefault(server, []).append((began, ended))
    time.sleep(_RECOVERY_SECONDS)
    return [
        _make_row(
            fleet.list_runs(node_id, server),
            work_class,
            fault,
            callers.calls,
            began,
        )
        for server, work_class in zip(servers, _CLASSES, strict=True)
    ]


def _count_runs(fleet: Fleet) -> int:
    return sum(
        len(fleet.list_runs(node_id, server))
        for node_id, node in fleet.nodes.items()
        for server in node.servers
    )


def _make_row(
    executions: list[dict],
    work_class: str,
    fault: str,
    calls: list[Call],
    began: float,
) -> RealRow:
    ended = began + _FAULT_SECONDS
    runs = [each['at'] for each in executions if began <= each['at'] < ended]
    results = [
        call.good
        for call in list(calls)
        if call.work_class == work_class and began <= call.at < ended
    ]
    return RealRow(
        work_class,
        fault,
        _find_first_gap(runs, began, ended),
        len(runs),
        sum(results) / max(1, len(results)),
    )


def _find_first_gap(
    runs: list[float], began: float, ended: float
) -> float | None:
    """Return the seconds to the last request before the first long gap.

    :returns: seconds from ``began``, ``None`` without such a gap.
    """
    last_request_at = began
    for at in (*runs, ended):
        if at - last_request_at >= _GAP_SECONDS:
            return last_request_at - began
        last_request_at = at
    return None


def _count_false_ejections(
    fleet: Fleet,
    fault_periods: dict[str, list[tuple[float, float]]],
) -> collections.Counter[str]:
    """Count logged ejections of servers that had no fault, by class."""
    counts: collections.Counter[str] = collections.Counter()
    for line in fleet.log_path.read_text(encoding='utf-8').splitlines():
        event = _parse_event(line)
        if event is None or ' ejected;' not in event['why']:
            continue
        server_periods = fault_periods.get(event['name'], [])
        if not any(a <= event['time'] <= b + 1 for a, b in server_periods):
            counts[event['name'].partition('-')[0]] += 1
    return counts


def _parse_event(line: str) -> dict | None:
    if 'server decision' not in line:
        return None
    try:
        return json.loads(line)
    except json.JSONDecodeError:
        return None
