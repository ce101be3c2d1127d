# flake8: noqa
"""A small fleet of real nodes beside stand-ins, for the cases 6 to 10.

Each machine has a loopback address of its own, so that all nodes use the same
ports and the command of ``deploy/system.toml``. What is sent, answered and run
goes to ``record.txt`` in the folder of the case.
"""

import http.client
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / 'target' / 'deps')]

from standins.metadatastore import MetadataStore, start_store  # noqa: E402

HOST = 'shop.example'
HELD, BROKEN, NOT_RUN = 0, 1, 2


def with_trouble():
    """Return whether the run has its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def main(folder, run, bounds=()):
    """Run a case and return its exit code.

    :param run: called with the fleet and its record.
    :param bounds: in place of those of the fleet with the same names.
    """
    fleet = None
    try:
        fleet = Fleet(folder)
        fleet.replace_bounds(bounds)
        return run(fleet, fleet.record)
    except Exception:
        # An error of the script is no fault of the nodes.
        traceback.print_exc()
        return NOT_RUN
    finally:
        if fleet is not None:
            fleet.stop()


class Record:
    """Lines of what happened, with seconds since the start."""

    def __init__(self, folder):
        self._began = time.monotonic()
        self._lock = threading.Lock()
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self.entries = []

    def now(self):
        return time.monotonic() - self._began

    def add(self, event, **fields):
        with self._lock:
            entry = {'at': round(self.now(), 3), 'event': event, **fields}
            self.entries.append(entry)
            self._file.write(json.dumps(entry) + '\n')
            self._file.flush()
        return entry

    def find(self, event, **fields):
        with self._lock:
            entries = list(self.entries)
        return [
            each
            for each in entries
            if each['event'] == event
            and all(each.get(name) == text for name, text in fields.items())
        ]


def _free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class _Http(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Connections end at any time."""


class Server:
    """A sound backend server: slots, a short queue, and heartbeats."""

    def __init__(self, record, host, name, service, slots, work_seconds):
        self.record, self.name, self.service = record, name, service
        self.slots, self.work_seconds = slots, work_seconds
        self.draining = False
        self.beating = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._free = threading.Semaphore(slots)
        self._http = _Http(
            (host, 0), type('Handler', (_ServerHandler,), {'owner': self})
        )
        self.address = '{}:{}'.format(*self._http.server_address[:2])
        threading.Thread(target=self._http.serve_forever, daemon=True).start()

    def body(self, attempt):
        return f'{self.name} ran {attempt}\n'.encode() * 20

    def serve(self, handler, body):
        """Return status, fields and body of the answer to a request."""
        attempt = handler.headers.get('Godwitknot-Attempt-Id', '')
        fields = {'Godwitknot-Attempt-Id': attempt}
        if handler.path == '/health':
            fields = {'Godwitknot-Instance-Id': self.name}
            return (503 if self.draining else 200), fields, b''
        if handler.headers.get('Godwitknot-Expect-Instance') != self.name:
            return 421, fields, b''
        left = int(handler.headers.get('Godwitknot-Deadline-Ms', 0)) / 1000
        end = time.monotonic() + left
        if not self._free.acquire(timeout=max(0, left)):
            fields['Godwitknot-Not-Executed'] = 'true'
            return 503, fields, b''
        try:
            self.record.add(
                'run',
                request=attempt,
                server=self.name,
                method=handler.command,
                path=handler.path,
                size=len(body),
                caller=handler.headers.get('Godwitknot-Caller-Service'),
            )
            work = self.work_seconds(attempt)
            time.sleep(max(0, min(work, end - time.monotonic())))
            fields['Godwitknot-Server-Seal'] = 'seal'
            if time.monotonic() >= end:
                return 504, fields, b''
            return 200, fields, self.body(attempt)
        finally:
            self._free.release()
            self.record.add('run ended', request=attempt, server=self.name)

    def heartbeat(self, control):
        """Send a heartbeat; return the status, 0 without an answer."""
        self.sequence += 1
        return self._call(
            control,
            'instances.heartbeat',
            {
                'service': self.service,
                'address': self.address,
                'zone': 'z1',
                'version': 'v1',
                'slots': self.slots,
                'state': 'draining' if self.draining else 'ready',
                'cold_left_ms': 0,
                'seq': self.sequence,
                'born': self.born,
            },
        )

    def _call(self, control, call, fields):
        connection = http.client.HTTPConnection(control, timeout=1)
        try:
            connection.request(
                'POST',
                f'/api/rpc?call={call}&of={self.name}',
                json.dumps(fields),
                {'Content-Type': 'application/json'},
            )
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def beat(self, control):
        """Send heartbeats until the process ends."""

        def loop():
            while True:
                if self.beating:
                    self.heartbeat(control)
                time.sleep(1.5)

        threading.Thread(target=loop, daemon=True).start()


class _ServerHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def do_GET(self):
        self._answer(b'')

    def do_POST(self):
        if 'chunked' in self.headers.get('Transfer-Encoding', ''):
            return self._answer(self._read_chunks())
        size = int(self.headers.get('Content-Length', 0))
        return self._answer(self.rfile.read(size))

    def _read_chunks(self):
        parts = []
        while size := int(self.rfile.readline(), 16):
            parts.append(self.rfile.read(size))
            self.rfile.readline()
        self.rfile.readline()
        return b''.join(parts)

    def log_message(self, *args):
        """Write nothing."""

    def _answer(self, body):
        status, fields, content = self.owner.serve(self, body)
        self.send_response(status)
        for name, text in fields.items():
            self.send_header(name, text)
        self.send_header('Content-Length', str(len(content)))
        self.end_headers()
        self.wfile.write(content)


class Machine:
    """A machine with a node process and its server."""

    def __init__(self, fleet, number, service, slots, work_seconds):
        self.fleet, self.name = fleet, f'side-{number}'
        self.host = f'{fleet.prefix}.{number}'
        self.service = service
        self.server = Server(
            fleet.record,
            self.host,
            f'i-{number}',
            service,
            slots,
            work_seconds,
        )
        self.listen = {
            name: f'{self.host}:{_free_port(self.host)}'
            for name in ('outbound', 'inbound', 'ready', 'control')
        }
        self.store_address = fleet.store_address
        self.process = None
        self.is_in = False

    def start(self, first=False):
        settings = self.fleet.folder / f'{self.name}.yaml'
        settings.write_text(json.dumps(self._settings(first)))
        log = open(self.fleet.folder / f'{self.name}.log', 'ab')
        self.process = subprocess.Popen(
            self.fleet.command,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'GODWITKNOT_NODE_FILE': str(settings),
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, number):
        self.fleet.record.add(
            'signal', node=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    def is_ready(self):
        connection = http.client.HTTPConnection(self.listen['ready'], timeout=1)
        try:
            connection.request('GET', '/api/ready')
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def watch(self):
        """Check readiness each second, as the platform does."""
        misses = 0
        while True:
            misses = 0 if self.is_ready() else misses + 1
            if misses in {0, 2}:
                self.is_in = misses == 0
            time.sleep(1)

    def _settings(self, first):
        return {
            'node_id': self.name,
            'role': 'node',
            'machine_class': 'sidecar',
            'serves': ['sidecar'],
            'ip': self.host,
            'zone': 'z1',
            'region': 'r1',
            'zones': {'z1': 'r1'},
            'listen': self.listen,
            'internal_ports': [7660, 7675],
            'seeds': [],
            'first_start': first,
            'limits': {'cpu_share': 0.86, 'cores': 1, 'memory_mb': 300},
            'data_dir': None,
            'heartbeat_ms': 1500,
            'bounds': self.fleet.bounds,
            'app_addr': self.server.address,
            'service': self.service,
            'platform': {'address': self.store_address, 'form': 'table'},
        }


class Fleet:
    """Machines, the store and the operator."""

    bounds = [
        'contact_ms=4000',
        'ack_ms=6000',
        'drain_ms=3000',
        'grace_s=6',
        'loss_slack_ms=200',
        'config_apply_ms=3000',
        'rollback_slack_ms=250',
        'partition_slack_ms=6000',
        'retry_budget_ratio=0.2',
        'budget_window_s=10',
        'budget_slack=200',
        'recover_s=15',
        'probes_per_s=3',
        'floor_share=0.7',
    ]

    def __init__(self, case):
        self.record = Record(case)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        rng = random.SystemRandom()
        self.prefix = f'127.{rng.randint(10, 250)}.{rng.randint(1, 250)}'
        self.store = MetadataStore()
        self._http = start_store(self.store)
        self.store_address = '127.0.0.1:{}'.format(self._http.server_address[1])
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.command = shlex.split(deploy['roles']['node']['run'])
        self.machines = []
        self.version = 0

    def replace_bounds(self, bounds):
        names = {each.partition('=')[0] for each in bounds}
        kept = [
            each for each in self.bounds if each.partition('=')[0] not in names
        ]
        self.bounds = [*kept, *bounds]

    def add(self, service, slots, work_seconds):
        machine = Machine(
            self, len(self.machines) + 1, service, slots, work_seconds
        )
        self.machines.append(machine)
        return machine

    def configure(self, routes, limits=None):
        """Write the next version of the configuration."""
        self.version += 10
        services = {
            part['service'] for part in routes.values() if 'service' in part
        }
        services |= {each.service for each in self.machines}
        document = {
            'version': f'r{self.version}',
            'routes': routes,
            'services': {
                name: {'health_check': '/health'} for name in sorted(services)
            },
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 8388608,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
                **(limits or {}),
            },
        }
        self.store.put('op', 'config', json.dumps(document).encode())
        self.record.add('configuration acknowledged', version=self.version)

    def start(self):
        """Start all nodes; return whether they serve."""
        for machine in self.machines:
            machine.start(first=True)
        end = time.monotonic() + 20
        for machine in self.machines:
            while not machine.is_ready():
                if time.monotonic() > end:
                    return False
                time.sleep(0.1)
            machine.server.beat(machine.listen['control'])
            threading.Thread(target=machine.watch, daemon=True).start()
        time.sleep(3)
        return all(machine.is_in for machine in self.machines)

    def stop(self):
        for machine in self.machines:
            process = machine.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            if process is not None:
                process.wait()
        self._temporary.cleanup()


def make_route(prefix, kind, service, **fields):
    return {
        'host': HOST,
        'prefix': prefix,
        'route_type': kind,
        'timeout_ms': 3000,
        'target_latency_ms': 1000,
        'priority': 1,
        'service': service,
        'attempts': 2,
        **fields,
    }


def send(record, machine, request, method, path, deadline_ms, body=None):
    """Send a request on a new connection, as a client does; record its end."""
    record.add('sent', request=request, node=machine.name, path=path)
    connection = http.client.HTTPConnection(
        machine.listen['outbound'], timeout=deadline_ms / 1000
    )
    fields = {
        'Host': HOST,
        'Godwitknot-Attempt-Id': request,
        'Godwitknot-Deadline-Ms': str(deadline_ms),
    }
    try:
        connection.request(method, path, body, fields)
        response = connection.getresponse()
        content = response.read()
    except TimeoutError:
        return record.add('answered', request=request, end='deadline')
    except (OSError, http.client.HTTPException) as error:
        return record.add(
            'answered', request=request, end='closed', error=repr(error)
        )
    finally:
        connection.close()
    return record.add(
        'answered',
        request=request,
        end='answer',
        status=response.status,
        size=len(content),
        sealed=response.headers.get('Godwitknot-Server-Seal') is not None,
        retry_after=response.headers.get('Retry-After'),
    )


class Proxy:
    """A TCP proxy whose open connections can go silent while new ones work."""

    def __init__(self, host, target):
        self._target = target
        self._open = []
        self._lock = threading.Lock()
        self._listener = socket.create_server((host, 0), backlog=256)
        self.address = '{}:{}'.format(*self._listener.getsockname()[:2])
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Pass on nothing more on the connections that are open."""
        with self._lock:
            for link in self._open:
                link['silent'] = True
            count = len(self._open)
            self._open.clear()
        return count

    def _accept(self):
        host, port = self._target.split(':')
        while True:
            client, _ = self._listener.accept()
            try:
                server = socket.create_connection((host, int(port)), timeout=1)
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            link = {'silent': False}
            with self._lock:
                self._open.append(link)
            for source, target in ((client, server), (server, client)):
                threading.Thread(
                    target=self._pass_on,
                    args=(link, source, target),
                    daemon=True,
                ).start()

    def _pass_on(self, link, source, target):
        try:
            while data := source.recv(65536):
                if not link['silent']:
                    target.sendall(data)
        except OSError:
            data = b''
        if link['silent']:
            return
        with self._lock:
            if link in self._open:
                self._open.remove(link)
        for sock in (source, target):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
