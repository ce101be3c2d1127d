# flake8: noqa
"""Processes and stand-ins that the scripts of the review share.

Nodes run as the deploy file starts them. Each machine has its own loopback
address, so that all of them use the same ports, as on the platform.
"""

import contextlib
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / 'target' / 'deps')]

import yaml  # noqa: E402

from standins.metadatastore import MetadataStore, start_store  # noqa: E402

HOST = 'shop.example'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2

_PORTS = {'ready': 8140, 'outbound': 8141, 'inbound': 8145, 'control': 8146}
_APP_PORT = 8147
_METRICS_PORT = 7661
_RESTART_SECONDS = 0.5
# The figures of the example on the page about the settings.
_BOUNDS = [
    'seed_lag_s=3',
    'reuse_after_s=2',
    'contact_ms=4000',
    'ack_ms=4000',
    'catch_up_s=4',
    'drain_ms=2500',
    'grace_s=6',
    'loss_slack_ms=200',
    'config_apply_ms=2500',
    'rollback_slack_ms=250',
    'partition_slack_ms=5000',
    'retry_budget_ratio=0.2',
    'budget_window_s=10',
    'budget_slack=64',
    'recover_s=15',
    'probes_per_s=3',
    'floor_share=0.7',
]


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._lock = threading.Lock()
        self.started = time.monotonic()

    def now(self):
        return round(time.monotonic() - self.started, 3)

    def write(self, event, **fields):
        words = ' '.join(f'{key}={value}' for key, value in fields.items())
        with self._lock:
            self._file.write(f'{self.now():8.3f} {event} {words}\n')
            self._file.flush()


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignore connections that their callers closed."""


class BackendServer:
    """A sound backend server: slots, heartbeats, drain and deregister."""

    def __init__(
        self, record, server_id, service, host, work_seconds=0.3, zone='vl-gent'
    ):
        self.record = record
        self.server_id = server_id
        self.service = service
        self.host = host
        self.zone = zone
        self.work_seconds = work_seconds
        # Size of each answer, 0 for a short one.
        self.answer_bytes = 0
        self.address = f'{host}:{_APP_PORT}'
        self.control = f'{host}:{_PORTS["control"]}'
        self.slots = threading.Semaphore(4)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.runs = []
        self.connections = set()
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        handler = type('Handler', (_BackendHandler,), {'owner': self})
        self.http = QuietServer((host, _APP_PORT), handler)
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def start_heartbeats(self, seconds=1.5):
        def beat():
            while not self.stopped.wait(seconds):
                self.send_heartbeat()

        threading.Thread(target=beat, daemon=True).start()

    def send_heartbeat(self):
        """Send a heartbeat; return whether it was acknowledged."""
        with self.lock:
            self.sequence += 1
            content = {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': 4,
                'state': self.state,
                'cold_left_ms': 0,
                'seq': self.sequence,
                'born': self.born,
            }
        return self._call('heartbeat', content)

    def deregister(self):
        return self._call('deregister', {'born': self.born})

    def _call(self, name, content):
        path = f'/api/rpc?call=instances.{name}&of={self.server_id}'
        try:
            connection = HTTPConnection(self.control, timeout=1)
            connection.request(
                'POST',
                path,
                json.dumps(content),
                {'Content-Type': 'application/json'},
            )
            status = connection.getresponse().status
            connection.close()
        except (OSError, HTTPException):
            return False
        return 200 <= status < 300

    def stop(self):
        if self.stopped.is_set():
            return
        self.stopped.set()
        self.http.shutdown()
        self.http.server_close()

    def crash(self):
        """End at once: nothing that runs is answered."""
        self.stop()
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class _BackendHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    # One buffered write per response.
    wbufsize = -1
    owner: BackendServer

    def setup(self):
        super().setup()
        self.owner.connections.add(self.connection)

    def finish(self):
        self.owner.connections.discard(self.connection)
        with contextlib.suppress(OSError):
            super().finish()

    def log_message(self, *args):
        """Discard the line."""

    def do_GET(self):
        self.serve(b'')

    def do_POST(self):
        length = int(self.headers.get('Content-Length', 0))
        self.serve(self.rfile.read(length))

    def serve(self, body):
        owner = self.owner
        if self.path == '/health':
            healthy = owner.state == 'ready'
            self.answer(200 if healthy else 503, b'', {})
            return
        attempt_id = self.headers['Godwitknot-Attempt-Id']
        fields = {'Godwitknot-Attempt-Id': attempt_id}
        if self.headers['Godwitknot-Expect-Instance'] != owner.server_id:
            self.answer(421, b'', fields)
            return
        if not owner.slots.acquire(timeout=1):
            self.answer(503, b'', {**fields, 'Godwitknot-Not-Executed': '1'})
            return
        try:
            caller = self.headers['Godwitknot-Caller-Service']
            digest = hashlib.sha256(body).hexdigest()[:12]
            owner.record.write(
                'run',
                server=owner.server_id,
                request=attempt_id,
                caller=caller,
                bytes=len(body),
            )
            run = {
                'at': owner.record.now(),
                'request': attempt_id,
                'server': owner.server_id,
                'service': owner.service,
                'caller': caller,
                'digest': digest,
            }
            owner.runs.append(run)
            time.sleep(owner.work_seconds)
        finally:
            owner.slots.release()
        fields['Godwitknot-Server-Seal'] = f'{owner.server_id}.{attempt_id}'
        content = f'{owner.server_id} {attempt_id}'.encode()
        content += b'.' * max(0, owner.answer_bytes - len(content))
        self.answer(200, content, fields)

    def answer(self, status, body, fields):
        self.send_response(status)
        for name, text in fields.items():
            self.send_header(name, text)
        self.send_header('Godwitknot-Instance-Id', self.owner.server_id)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class Machine:
    """One machine: a node process and the server beside it."""

    def __init__(self, fleet, number, service, zone, region, work_seconds):
        self.fleet = fleet
        self.number = number
        self.host = f'{fleet.net}.{number}'
        self.name = f'sidecar-{number}'
        self.service = service
        self.zone = zone
        self.region = region
        self.process = None
        self.ends = []
        self.server = BackendServer(
            fleet.record, f'i-{number}', service, self.host, work_seconds, zone
        )

    def address(self, port):
        return f'{self.host}:{_PORTS[port]}'

    @property
    def settings_path(self):
        return self.fleet.folder / f'{self.name}.yaml'

    def write_settings(self):
        temporary = self.settings_path.with_suffix('.new')
        temporary.write_text(yaml.safe_dump(self.settings()))
        temporary.rename(self.settings_path)

    def settings(self):
        return {
            'node_id': self.name,
            'role': 'node',
            'machine_class': 'sidecar',
            'serves': ['sidecar'],
            'ip': self.host,
            'zone': self.zone,
            'region': self.region,
            'zones': dict(self.fleet.zones),
            'listen': {port: self.address(port) for port in _PORTS},
            'internal_ports': [7660, 7675],
            'seeds': [],
            'first_start': True,
            'in_loss_budget': False,
            'limits': {
                'cpu_share': 0.86,
                'cores': 1,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'discovery': 'static',
            'entry': 'static',
            'heartbeat_ms': 1500,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry'],
            'fault_tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': list(_BOUNDS),
            'app_addr': self.server.address,
            'service': self.service,
            'platform': {
                'address': self.fleet.store_address,
                'form': 'table',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'txn_timeout_ms': 3.0,
                'part_writes_per_s': 300,
                'row_bytes': 65536,
                'across': True,
                'history_s': 20,
            },
        }

    def start(self):
        self.write_settings()
        kept = ('PATH', 'HOME', 'LANG')
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env['GODWITKNOT_NODE_FILE'] = str(self.settings_path)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with (self.fleet.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'godwitknot.mesh', 'deploy/node.ini'],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.fleet.record.write(
            'node started', node=self.name, process=self.process.pid
        )

    def is_ready(self):
        connection = HTTPConnection(self.address('ready'), timeout=1)
        with contextlib.closing(connection):
            connection.request('GET', '/api/ready')
            return connection.getresponse().status == 200

    def peak_megabytes(self):
        path = pathlib.Path(f'/proc/{self.process.pid}/status')
        with contextlib.suppress(OSError, ValueError, IndexError):
            return (
                int(path.read_text().partition('VmHWM:')[2].split()[0]) / 1024
            )
        return 0.0

    def signal(self, number):
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)


class Fleet:
    """The store, the operator and the machines of a small deployment."""

    zones = {
        'vl-gent': 'vlaanderen',
        'vl-leuven': 'vlaanderen',
        'wa-namur': 'wallonie',
    }

    def __init__(self, record):
        self.record = record
        self.net = _find_free_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = MetadataStore()
        self._http = start_store(self.store)
        self.store_address = f'127.0.0.1:{self._http.server_address[1]}'
        self.machines = []
        self.version = 3
        self.stopping = threading.Event()

    def add(self, service, zone='vl-gent', work_seconds=0.3):
        machine = Machine(
            self,
            len(self.machines) + 1,
            service,
            zone,
            self.zones[zone],
            work_seconds,
        )
        self.machines.append(machine)
        return machine

    def configure(self, routes, services):
        """Write a configuration as the operator does."""
        self.version += 2
        document = {
            'version': f'r{self.version}',
            'routes': routes,
            'services': {
                name: {
                    'health_check': '/health',
                    'max_connections': 390,
                    'protocol': 'h1',
                    'tls': False,
                }
                for name in services
            },
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 67108864,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        }
        self.store.put('op', 'config', json.dumps(document).encode())
        self.record.write('configuration', version=f'r{self.version}')

    def start(self):
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            wait_until(machine.is_ready)
            machine.server.send_heartbeat()
            machine.server.start_heartbeats()

    def watch_processes(self, memory_megabytes):
        """Act as the platform: end what is too large, restart what ended."""

        def watch():
            while not self.stopping.wait(0.005):
                for machine in self.machines:
                    self._watch(machine, memory_megabytes)

        threading.Thread(target=watch, daemon=True).start()

    def _watch(self, machine, memory_megabytes):
        status = machine.process.poll()
        if status is None:
            peak = machine.peak_megabytes()
            if peak <= memory_megabytes:
                return
            machine.signal(signal.SIGKILL)
            machine.process.wait()
            machine.ends.append(('memory', round(peak)))
            self.record.write(
                'node over its memory limit, killed',
                node=machine.name,
                megabytes=round(peak),
                limit=memory_megabytes,
            )
        else:
            machine.ends.append(('exit', status))
            self.record.write('node ended', node=machine.name, status=status)
        threading.Event().wait(_RESTART_SECONDS)
        if not self.stopping.is_set():
            machine.start()

    def stop(self):
        self.stopping.set()
        time.sleep(0.7)
        for machine in self.machines:
            if machine.process is not None:
                machine.signal(signal.SIGCONT)
                machine.signal(signal.SIGKILL)
                machine.process.wait()
            machine.server.stop()
        self._http.shutdown()
        self._http.server_close()
        shutil.rmtree(self.folder, ignore_errors=True)


def make_route(prefix, kind, service, **changes):
    return {
        'host': HOST,
        'prefix': prefix,
        'route_type': kind,
        'timeout_ms': 6000,
        'target_latency_ms': 1500,
        'priority': 1,
        'service': service,
        'attempts': 2,
        **changes,
    }


class Client:
    """A client with one kept connection to the node of its machine."""

    def __init__(self, record, machine, name, deadline_ms=6000):
        self.record = record
        self.machine = machine
        self.name = name
        self.deadline_ms = deadline_ms
        self.connection = None
        self.count = 0
        self.requests = []

    def send(self, method, path, body=None):
        """Send a request; return its entry, with the status 0 if it failed."""
        self.count += 1
        request = f'{self.name}-{self.count}'
        kept = self.connection is not None
        if not kept:
            self.connection = HTTPConnection(
                self.machine.address('outbound'),
                timeout=self.deadline_ms / 1000 + 2,
            )
        entry = {
            'request': request,
            'method': method,
            'node': self.machine.name,
            'kept': kept,
            'sent': self.record.now(),
            'status': 0,
            'error': '',
            'body': b'',
            'sealed': False,
            'answers': '',
        }
        self.requests.append(entry)
        self.record.write(
            'sent',
            request=request,
            node=self.machine.name,
            kept=kept,
            method=method,
            path=path,
            bytes=len(body or b''),
        )
        try:
            self.connection.connect() if not kept else None
            self.connection.request(
                method,
                path,
                body,
                {
                    'Host': HOST,
                    'Godwitknot-Attempt-Id': request,
                    'Godwitknot-Deadline-Ms': str(self.deadline_ms),
                },
            )
            response = self.connection.getresponse()
            entry['body'] = response.read()
            entry['status'] = response.status
            entry['sealed'] = 'Godwitknot-Server-Seal' in response.headers
            entry['answers'] = response.headers.get('Godwitknot-Attempt-Id', '')
            retry_after = float(response.headers.get('Retry-After', 0))
            if response.will_close:
                self.close()
        except (OSError, HTTPException) as error:
            entry['error'] = type(error).__name__
            retry_after = 0.2
            self.close()
        entry['ended'] = self.record.now()
        entry['retry_after'] = min(retry_after, self.deadline_ms / 3000)
        self.record.write(
            'answered' if entry['status'] else 'closed without an answer',
            request=request,
            status=entry['status'],
            error=entry['error'],
        )
        return entry

    def close(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


def wait_until(check, seconds=20):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(OSError, HTTPException):
            if check():
                return
        time.sleep(0.05)
    raise TimeoutError('condition not met in time')


def _find_free_network():
    """Return the first three numbers of free loopback addresses."""
    for _ in range(50):
        net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        with contextlib.suppress(OSError):
            for number in range(1, 9):
                for port in (*_PORTS.values(), _APP_PORT, _METRICS_PORT):
                    with socket.create_server((f'{net}.{number}', port)):
                        pass
            return net
    raise OSError('no free loopback addresses')


def main(run, folder):
    """Run a case; exit with 0 (held), 1 (broken) or 2 (not run)."""
    # A time limit outside ends the script, and the script its processes.
    signal.signal(signal.SIGTERM, _end_script)
    record = Record(folder)
    record.write('start', trouble=TROUBLE)
    fleet = None
    code = NOT_RUN
    try:
        fleet = Fleet(record)
        code = BROKEN if run(fleet, record) else HELD
    except Exception as error:
        record.write('case not run', error=repr(error))
    finally:
        if fleet is not None:
            fleet.stop()
    verdict = {HELD: 'rule held', BROKEN: 'rule broken', NOT_RUN: 'not run'}
    record.write('end', verdict=verdict[code])
    print(verdict[code], flush=True)
    # Threads of clients may still wait for an answer.
    os._exit(code)


def _end_script(number, frame):
    raise TimeoutError('the time limit of the script has passed')
