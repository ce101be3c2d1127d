"""Seeded callers and operators of a soak run, and a status sampler."""

import contextlib
import hashlib
import random
import threading
import time

import urllib3

from bench.fleet import TOKEN
from bench.histories import (
    ApplyRecord,
    CallRecord,
    CapacityRecord,
    History,
    VersionRecord,
)
from bench.soakfleet import DECLARATION, SERVICE, SoakFleet
from godwitknot.errors import UserError
from godwitknot.operators.access import Access
from godwitknot.operators.operatorclient import OperatorClient

_MAX_SENDS = 4
_SHORT_TIMEOUT_SECONDS = 0.3
_LONG_TIMEOUT_SECONDS = 6.0
_SAMPLE_SECONDS = 0.2
_OUT_OF_SERVICE = frozenset(('ejected', 'probation', 'draining', 'gone'))
_OK = 200
_PERCENT = 100


class Caller:
    """Sends lookups and bookings, and resends bookings with the same key."""

    def __init__(self, fleet: SoakFleet, history: History, name: str) -> None:
        """Create a caller.

        :param name: contains the seed and determines the requests.
        """
        self._fleet = fleet
        self._history = history
        self._name = name
        self._random = random.Random(name)
        self._id_count = 0

    def run(self, until: float) -> None:
        """Send requests until a monotonic time."""
        while time.monotonic() < until:
            kind = self._random.randrange(_PERCENT)
            if kind < 25:
                self._send('GET', f'/slots/{self._next_id()}', '', '')
            elif kind < 60:
                self._book(self._next_id())
            else:
                self._book_with_issued_key()
            time.sleep(self._random.uniform(0, 0.03))

    def book_once(self) -> None:
        """Send one booking with a key chosen by the caller."""
        key = self._next_id()
        self._send('POST', '/bookings', key, f'slot of {key}')

    def _book_with_issued_key(self) -> None:
        with contextlib.suppress(urllib3.exceptions.HTTPError, KeyError):
            response = self._fleet.request(
                self._pick_node(),
                'POST',
                f'/.godwitknot/keys?service={SERVICE}',
                timeout=1,
            )
            key = response.json()['key']
            # With a delay, the issuing node may stop before the key is used.
            time.sleep(self._random.choice((0, 0, 0.5)))
            self._book(key)

    def _book(self, key: str) -> None:
        """Send a booking one or more times, some in parallel pairs."""
        body = f'slot of {self._next_id()}'
        in_parallel = self._random.randrange(_PERCENT) < 20
        for _ in range(self._random.randint(1, _MAX_SENDS)):
            if in_parallel:
                other = threading.Thread(
                    target=self._send, args=('POST', '/bookings', key, body)
                )
                other.start()
                self._send('POST', '/bookings', key, body)
                other.join()
            else:
                self._send('POST', '/bookings', key, body)

    def _send(self, method: str, path: str, key: str, body: str) -> None:
        request_id = self._next_id()
        request_headers = {'X-Request-Id': request_id}
        if key:
            request_headers['Idempotency-Key'] = key
        timeout_seconds = self._random.choice(
            (_SHORT_TIMEOUT_SECONDS, _LONG_TIMEOUT_SECONDS)
        )
        record = CallRecord(request_id, key, body, time.time(), 0)
        response = None
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            response = self._fleet.request(
                self._pick_node(),
                method,
                path,
                body=body.encode(),
                headers=request_headers,
                timeout=timeout_seconds,
            )
        self._history.calls.append(_complete(record, response))

    def _pick_node(self) -> str:
        return self._random.choice(sorted(self._fleet.nodes))

    def _next_id(self) -> str:
        self._id_count += 1
        return f'{self._name}-{self._id_count}'


def _complete(
    record: CallRecord, response: urllib3.BaseHTTPResponse | None
) -> CallRecord:
    status, outcome, code, echo = 0, '', '', None
    if response is not None:
        status = response.status
        outcome = response.headers.get('X-Godwitknot-Outcome', '')
        code = response.headers.get('X-Godwitknot-Code', '')
        if status == _OK:
            echo = response.data.decode(errors='replace')
    return CallRecord(
        record.request_id,
        record.key,
        record.body,
        record.start,
        time.time(),
        status,
        outcome,
        code,
        echo,
    )


class Operator:
    """Applies declarations, in conflict with other operators at times."""

    def __init__(self, fleet: SoakFleet, history: History, name: str) -> None:
        """Create an operator.

        :param name: contains the seed and determines the changes.
        """
        self._fleet = fleet
        self._history = history
        self._name = name
        self._random = random.Random(name)

    def run(self, until: float) -> None:
        """Apply changes until a monotonic time."""
        changes = 0
        while time.monotonic() < until:
            changes += 1
            node = self._random.choice(sorted(self._fleet.nodes))
            text = f'{DECLARATION}\n# {self._name}, change {changes}\n'
            apply_declaration(self._fleet, self._history, node, text)
            time.sleep(self._random.uniform(0.2, 0.8))


def apply_declaration(
    fleet: SoakFleet, history: History, node_id: str, text: str
) -> int:
    """Apply a declaration once and record it if it was accepted.

    :returns: the accepted version, 0 if acceptance is not known.
    """
    client = OperatorClient(
        Access((fleet.nodes[node_id].operator,), TOKEN, 'soak'),
        sleep=lambda seconds: time.sleep(seconds / 10),
    )
    start = time.time()
    try:
        version = client.apply(text, client.status().version).version
    except (UserError, urllib3.exceptions.HTTPError):
        return 0
    digest = hashlib.sha256(text.encode()).hexdigest()
    history.applies.append(ApplyRecord(start, time.time(), version, digest))
    return version


class Sampler:
    """Samples versions and server states through the operator ports."""

    def __init__(self, fleet: SoakFleet, history: History) -> None:
        """Create a sampler of all nodes of a fleet."""
        self._fleet = fleet
        self._history = history

    def run(self, until: float) -> None:
        """Record samples until a monotonic time."""
        while time.monotonic() < until:
            unavailable = 0
            for node_id in self._fleet.nodes:
                with contextlib.suppress(
                    urllib3.exceptions.HTTPError, KeyError, TypeError
                ):
                    unavailable += self._sample(node_id)
            available = len(self._fleet.nodes) - unavailable
            self._history.capacities.append(
                CapacityRecord(SERVICE, time.time(), available, 1)
            )
            time.sleep(_SAMPLE_SECONDS)

    def _sample(self, node_id: str) -> int:
        """Record the version of a node.

        :returns: how many of its local servers are out of service.
        """
        node = self._fleet.nodes[node_id]
        process = f'{node_id}/{node.process.pid}'
        change = self._fetch_json(node_id, 'configuration')['change']
        if change is not None:
            self._history.versions.append(
                VersionRecord(
                    process, time.time(), change['version'], change['digest']
                ),
            )
        return sum(
            server['node_id'] == node_id and server['state'] in _OUT_OF_SERVICE
            for server in self._fetch_json(node_id, 'status')['servers']
        )

    def _fetch_json(self, node_id: str, name: str) -> dict:
        url = f'http://{self._fleet.nodes[node_id].operator}/{name}'
        return self._fleet.http.request(
            'GET',
            url,
            headers={'Authorization': f'Bearer {TOKEN}'},
            timeout=0.5,
        ).json()
