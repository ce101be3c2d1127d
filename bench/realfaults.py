"""Runs of real nodes and fake backend servers with faults switched on."""

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
# Requests a second of each caller; each server gets about 4.
_CALLER_RATE = 4.0
_WARM_UP_SECONDS = 25.0
_FAULT_SECONDS = 14.0
_RETURN_SECONDS = 12.0
# No request for this long means that the server is out.
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
# Fleets of several policies draw their ports from one source.
_PORTS_LOCK = threading.Lock()

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
    """One request of a caller."""

    work_class: str
    at: float
    seconds: float
    good: bool


@attrs.frozen
class RealRow:
    """What one fault on one server led to.

    :param detected: seconds from the fault to the last request before the
        server was left alone, ``None`` if it never was.
    :param sent: requests that the server ran during the fault.
    """

    work_class: str
    fault: str
    detected: float | None
    sent: int
    met: float


@attrs.frozen
class RealRun:
    """Everything measured with one policy.

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
        with _PORTS_LOCK:
            super().__init__(_plan())

    def _format_settings(self, node: RunningNode, seeds: list[str]) -> str:
        text = super()._format_settings(node, seeds)
        line = f'[node]\noutlier-policy = {self._policy}'
        return text.replace('[node]', line)


class _Callers:
    """Threads that call at random times until they are stopped."""

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

    def _run(self, source: random.Random) -> None:
        nodes = sorted(self._fleet.nodes)
        while not self._stopped.wait(source.expovariate(_CALLER_RATE)):
            work_class = source.choice(_CLASSES)
            self._call(source.choice(nodes), work_class)

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
    """Start a fleet and switch on one fault after the other."""
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
    faulty: dict[str, list[tuple[float, float]]] = {}
    for number, fault in enumerate(REAL_FAULTS):
        rows.extend(_apply_fault(fleet, callers, number, fault, faulty))
    callers.stop()
    hours = (time.time() - began) * _SERVERS / 3600
    return RealRun(
        policy,
        rows,
        _count_false(fleet, faulty),
        hours,
        len(callers.calls),
        _count_runs(fleet),
    )


def _apply_fault(
    fleet: Fleet,
    callers: _Callers,
    number: int,
    fault: str,
    faulty: dict[str, list[tuple[float, float]]],
) -> list[RealRow]:
    """Break one server of each service for a while."""
    node_id = f'n{number}'
    servers = [f'{each}-{number}' for each in _CLASSES]
    began = time.time()
    for server in servers:
        fleet.set_faults(node_id, server, **REAL_FAULTS[fault])
    time.sleep(_FAULT_SECONDS)
    ended = time.time()
    for server in servers:
        fleet.set_faults(node_id, server)
        faulty.setdefault(server, []).append((began, ended))
    time.sleep(_RETURN_SECONDS)
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
    during = [
        call.good
        for call in list(calls)
        if call.work_class == work_class and began <= call.at < ended
    ]
    return RealRow(
        work_class,
        fault,
        _find_gap(runs, began, ended),
        len(runs),
        sum(during) / max(1, len(during)),
    )


def _find_gap(runs: list[float], began: float, ended: float) -> float | None:
    """Give the time of the last request before the first long gap."""
    last = began
    for at in (*runs, ended):
        if at - last >= _GAP_SECONDS:
            return last - began
        last = at
    return None


def _count_false(
    fleet: Fleet,
    faulty: dict[str, list[tuple[float, float]]],
) -> collections.Counter[str]:
    """Count the ejections in the logs of servers without a fault."""
    counts: collections.Counter[str] = collections.Counter()
    for line in fleet.log_path.read_text(encoding='utf-8').splitlines():
        event = _parse_event(line)
        if event is None or ' ejected;' not in event['why']:
            continue
        periods = faulty.get(event['name'], [])
        if not any(a <= event['time'] <= b + 1 for a, b in periods):
            counts[event['name'].partition('-')[0]] += 1
    return counts


def _parse_event(line: str) -> dict | None:
    if 'server decision' not in line:
        return None
    try:
        return json.loads(line)
    except json.JSONDecodeError:
        return None
