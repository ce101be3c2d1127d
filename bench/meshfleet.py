"""Mesh nodes as real processes, with stand-ins for the platform."""

import contextlib
import json
import os
import pathlib
import subprocess
import sys
import time
from http.client import HTTPConnection, HTTPException

import yaml

from standins.meshserver import MeshServer
from standins.metadatastore import MetadataStore, start_store
from standins.ports import reserve_addresses

ROOT = pathlib.Path(__file__).parents[1]
HOST = 'shop.example'


def wait_until(check, seconds=15):
    """Poll a condition until it is true.

    :param check: returns whether it is; network errors count as false.
    :param seconds: time limit.
    :raises AssertionError: if the condition is not true in time.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(OSError, HTTPException):
            if check():
                return True
        time.sleep(0.05)
    raise AssertionError('condition not met in time')


class Machine:
    """One node process and its local server."""

    def __init__(self, fleet, number, service):
        self.fleet = fleet
        self.name = f'side-{number}'
        self.server = MeshServer(f'i-{number}', service)
        self.ports = [address.port for address in reserve_addresses(5)]
        self.process = None

    def address(self, index):
        return f'127.0.0.1:{self.ports[index]}'

    @property
    def control(self):
        return self.address(3)

    def start(self, env=None):
        folder = self.fleet.folder
        settings = folder / f'{self.name}.yaml'
        settings.write_text(yaml.safe_dump(self._settings()))
        ini_path = folder / f'{self.name}.ini'
        ini_path.write_text(self._local_settings())
        log = (folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'godwitknot.mesh', str(ini_path)],
            cwd=ROOT,
            env={**os.environ, 'GODWITKNOT_NODE_FILE': str(settings)},
            stdout=log,
            stderr=log,
        )
        log.close()

    def events(self):
        """Return the events of the log whose lines are complete.

        The node may be writing the last line.
        """
        text = (self.fleet.folder / f'{self.name}.log').read_text()
        *lines, _ = text.split('\n')
        return [json.loads(line) for line in lines if line]

    def peak_megabytes(self):
        """Return the peak resident memory of the node process."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        return int(status.partition('VmHWM:')[2].split()[0]) / 1024

    def processor_seconds(self):
        """Return the processor time of the node process so far."""
        stat = pathlib.Path(f'/proc/{self.process.pid}/stat').read_text()
        # Fields 14 and 15; the program name before them may contain spaces.
        user, system = stat.rpartition(')')[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.server.stop()

    def is_ready(self):
        return self.get(2, '/api/ready')[0] == 200

    def get(self, index, path):
        connection = HTTPConnection(self.address(index), timeout=5)
        connection.request('GET', path)
        response = connection.getresponse()
        body = response.read()
        connection.close()
        return response.status, body

    def send(
        self,
        path,
        attempt_id,
        method='GET',
        body=None,
        left=3000,
        fields=None,
    ):
        """Send a caller's request; return the response and its body.

        :param fields: additional header fields by name.
        """
        connection = HTTPConnection(self.address(0), timeout=10)
        connection.request(
            method,
            path,
            body,
            {
                'Host': HOST,
                'Godwitknot-Attempt-Id': attempt_id,
                'Godwitknot-Deadline-Ms': str(left),
                **(fields or {}),
            },
        )
        response = connection.getresponse()
        content = response.read()
        connection.close()
        return response, content

    def _local_settings(self):
        return f'[metrics]\nport = {self.ports[4]}\n'

    def _settings(self):
        return {
            'node_id': self.name,
            'ip': '127.0.0.1',
            'zone': 'z1',
            'region': 'r1',
            'zones': {'z1': 'r1'},
            'listen': {
                'outbound': self.address(0),
                'inbound': self.address(1),
                'ready': self.address(2),
                'control': self.address(3),
            },
            'internal_ports': [7660, 7675],
            'limits': {'memory_mb': 300},
            'heartbeat_ms': 1500,
            'bounds': [
                'grace_s=6',
                'drain_ms=2500',
                'retry_budget_ratio=0.2',
                'budget_window_s=10',
                'budget_slack=64',
                *self.fleet.bounds,
            ],
            'app_addr': self.server.address,
            'service': self.server.service,
            'platform': {'address': self.fleet.store_address},
            'a field of a later version': True,
        }


class Fleet:
    """Machines and the metadata store.

    :ivar bounds: in addition to the usual ones of each node's settings.
    """

    def __init__(self, folder):
        self.folder = folder
        self.bounds = ()
        self.store = MetadataStore()
        self._http = start_store(self.store)
        port = self._http.server_address[1]
        self.store_address = f'127.0.0.1:{port}'
        self.machines = []
        self.configure(4)

    def add(self, service):
        machine = Machine(self, len(self.machines) + 1, service)
        self.machines.append(machine)
        return machine

    def start(self):
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            wait_until(machine.is_ready)
            machine.server.send_heartbeat(machine.control)

    def is_serving(self):
        """Return whether all nodes serve and know the servers of the others.

        Servers announce themselves again until then, as on the platform: a
        health check that fails under load is repeated after a heartbeat.
        """
        statuses = [
            machine.send(path, f'probe-{time.monotonic()}')[0].status
            for machine in self.machines
            for path in ('/browse/x', '/docs/x')
        ]
        if set(statuses) == {200}:
            return self._all_peers_ready()
        for machine in self.machines:
            machine.server.send_heartbeat(machine.control)
        return False

    def _all_peers_ready(self):
        """Return whether each node has seen the servers of others ready."""
        ready = [
            {
                event['peer']
                for event in machine.events()
                if event['event'] == 'member changed'
                and event['state'] == 'ready'
            }
            for machine in self.machines
        ]
        peer_count = len(self.machines) - 1
        return all(len(peers) == peer_count for peers in ready)

    def configure(self, version, accounts=None, **routes):
        """Write a configuration.

        :param accounts: table of client accounts, by name.
        :param routes: entries in addition to the usual ones, or in their
            place.
        """
        document = {
            'version': f'r{version}',
            'routes': {
                'browse': make_route('/browse/', 'idempotent', 'booking'),
                'book': make_route('/book/', 'non_idempotent', 'booking'),
                'docs': make_route('/docs/', 'download', 'documents'),
                **routes,
            },
            'services': {
                'booking': {'health_check': '/health'},
                'documents': {'health_check': '/health'},
            },
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 1000000,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        }
        if accounts is not None:
            document['tenants'] = accounts
        self.store.put('op', 'config', json.dumps(document).encode())

    def stop(self):
        for machine in self.machines:
            machine.stop()
        self._http.shutdown()
        self._http.server_close()


def make_route(prefix, kind, service):
    """Return a route in the format of the configuration document."""
    return {
        'host': HOST,
        'prefix': prefix,
        'route_type': kind,
        'timeout_ms': 3000,
        'target_latency_ms': 1000,
        'priority': 1,
        'service': service,
        'attempts': 2,
    }
