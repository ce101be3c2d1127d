"""Transcripts of operators and callers with a fleet of real processes.

They are compared with snapshots.
"""

import json
import pathlib
import re
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from bench.fleet import Fleet, NodePlan, ServerPlan

EXAMPLE = pathlib.Path(__file__).parents[2] / 'examples' / 'hafnarvagn.ini'
SERVICES = ('booking', 'booking-old', 'documents')
COMMAND_EXECUTOR = ThreadPoolExecutor(4)
LOCATIONS = {
    'n1': ('reykjanes', 'reykjanes-a'),
    'n2': ('reykjanes', 'reykjanes-b'),
    'n3': ('nordurland', 'nordurland-a'),
    'n4': ('nordurland', 'nordurland-b'),
}
NORMALISATIONS = (
    (re.compile(r'127\.0\.0\.1:\d+'), '<address>'),
    (re.compile(r'\b[0-9a-f]{12,64}\b'), '<id>'),
    (re.compile(r' +'), ' '),
)
STRICTER_TARGET = ('latency = 95% within 200ms', 'latency = 95% within 150ms')
LOOSER_TARGET = ('latency = 95% within 400ms', 'latency = 95% within 500ms')


class Session:
    """A fleet with a transcript of commands, requests and their results."""

    def __init__(self, fleet, directory):
        self.fleet = fleet
        self.directory = directory
        self.lines = []

    def write(self, name, *changes):
        """Write the example declaration to a file, with changes to its text."""
        text = EXAMPLE.read_text(encoding='utf-8')
        for old, new in changes:
            assert old in text
            text = text.replace(old, new)
        (self.directory / name).write_text(text, encoding='utf-8')

    def start(self, *words, node='n1', name='mies'):
        """Start a command of an operator in the background."""
        return COMMAND_EXECUTOR.submit(
            self.fleet.try_command, node, '--name', name, *words
        )

    def run(self, *words, node='n1', name='mies'):
        done = self.start(*words, node=node, name=name).result()
        self.add_line(f'{name}@{node}$ godwitknot {" ".join(words)}')
        text = f'{done.stdout}{done.stderr}'.rstrip()
        self.add_line(f'{text}\n[exit {done.returncode}]')
        return done

    def add_line(self, text):
        for pattern, replacement in NORMALISATIONS:
            text = pattern.sub(replacement, text)
        self.lines.append(text)

    @property
    def transcript(self):
        return '\n'.join(self.lines)

    def query_json(self, node, *words):
        """Run a command with --json, without adding it to the transcript."""
        return json.loads(self.fleet.command(node, *words, '--json'))

    def get_state(self, server, node='n1'):
        for entry in self.fleet.status(node)['servers']:
            if entry['name'] == server:
                return entry['state']
        return 'gone'

    def send_request(self, node, method, path, in_transcript=True, **options):
        """Send a request as a caller."""
        response = self.fleet.request(node, method, path, **options)
        outcome = response.headers.get('X-Godwitknot-Outcome')
        if in_transcript:
            self.add_line(
                f'{method} {path} at {node}: {response.status}, {outcome}'
            )
        return response

    def issue_key(self, node, service):
        response = self.fleet.request(
            node, 'POST', f'/.godwitknot/keys?service={service}'
        )
        assert response.status == 201, response.data
        return json.loads(response.data)['key']

    def list_runs(self):
        """Yield all runs of all servers, each with the server's name."""
        for node in self.fleet.nodes.values():
            for name in node.servers:
                for run in self.fleet.list_runs(node.plan.node_id, name):
                    yield name, run

    def find_servers_that_ran(self, key):
        """Return the servers that ran a request with a key."""
        return [name for name, run in self.list_runs() if run['key'] == key]

    def wait_ready(self, *nodes):
        """Wait until nodes have a configuration and a server per service."""
        wait_until(
            lambda: all(self.is_serving(node) for node in nodes or LOCATIONS),
            'all nodes are ready',
        )

    def is_serving(self, node):
        """Return whether a node is ready and has a server of each service.

        A node is ready before the first probe of a server; until then it
        refuses requests and issues no keys.
        """
        requests = [('GET', '/.godwitknot/ready')]
        for service in SERVICES:
            requests.append(('POST', f'/.godwitknot/keys?service={service}'))
        statuses = [
            self.fleet.request(node, *probe_request).status
            for probe_request in requests
        ]
        return statuses == [200, *(201 for _ in SERVICES)]

    def are_all_servers_known(self):
        """Return whether each node knows all servers as ready."""
        expected = len(LOCATIONS) * len(SERVICES)
        for node in LOCATIONS:
            servers = self.fleet.status(node)['servers']
            states = [server['state'] for server in servers]
            if states.count('ready') != expected:
                return False
        return True


def wait_until(condition, description):
    deadline = time.monotonic() + 60
    while not condition():
        assert time.monotonic() < deadline, (
            f'timed out waiting until {description}'
        )
        time.sleep(0.1)


@pytest.fixture
def session(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    plans = [
        NodePlan(
            node_id,
            region,
            domain,
            tuple(
                ServerPlan(f'{service}-{node_id}', service, service_ms=5)
                for service in SERVICES
            ),
        )
        for node_id, (region, domain) in LOCATIONS.items()
    ]
    fleet = Fleet(plans, poll='1s')
    fleet.http = urllib3.PoolManager(retries=False, timeout=20, maxsize=64)
    fleet.start()
    try:
        new_session = Session(fleet, tmp_path)
        wait_until(
            new_session.are_all_servers_known, 'each node knows all servers'
        )
        yield new_session
    finally:
        # Nodes that stop at the same time would all wait for stay promises
        # that no other node gives.
        for node in fleet.nodes.values():
            node.process.kill()
        fleet.stop()


def apply_example(session, *changes):
    """Apply the example declaration and wait until all nodes use it."""
    session.write('fleet.ini', *changes)
    applied = session.run('apply', 'fleet.ini', '--wait')
    assert applied.returncode == 0, applied.stderr
    session.wait_ready()
    session.lines.clear()


def test_two_operators(session, snapshot):
    """Guards against an apply that overwrites another operator's change."""
    apply_example(session)
    shared = session.fleet.command('n1', 'configuration')
    for name, change in (
        ('jan.ini', STRICTER_TARGET),
        ('mies.ini', LOOSER_TARGET),
    ):
        path = session.directory / name
        path.write_text(shared.replace(*change), encoding='utf-8')
    session.run('apply', 'jan.ini', '--wait', node='n4', name='jan')
    session.run('apply', 'mies.ini')
    merged = shared.replace(*STRICTER_TARGET).replace(*LOOSER_TARGET)
    (session.directory / 'mies.ini').write_text(merged, encoding='utf-8')
    session.run('plan', 'mies.ini')
    session.run('apply', 'mies.ini', '--expect', '2', '--wait')
    versions = {
        session.query_json(node_name, 'status')['version']
        for node_name in LOCATIONS
    }
    assert versions == {3}
    assert session.transcript == snapshot


def test_two_applies_at_once(session):
    """Guards against concurrent applies that both report success."""
    apply_example(session)
    for name, change in (
        ('jan.ini', STRICTER_TARGET),
        ('mies.ini', LOOSER_TARGET),
    ):
        session.write(name, change)
    applies = [
        session.start('apply', file, '--expect', '1', node=node)
        for node, file in (('n2', 'jan.ini'), ('n3', 'mies.ini'))
    ]
    results = [apply.result() for apply in applies]
    codes = [finished.returncode for finished in results]
    assert sorted(codes) == [0, 4]
    assert '~ [class slot-' in results[codes.index(4)].stderr


def test_planned_stop_with_a_download(session, snapshot):
    """Guards against a planned stop that breaks a slow download."""
    floor_plans = 'GET,HEAD /floor-plans/*'
    apply_example(session, (floor_plans, f'{floor_plans}\n  GET /blob/*'))
    size = 40 * 2**20
    response = session.fleet.request(
        'n1', 'GET', f'/blob/{size}', preload_content=False
    )
    received = len(response.read(1024))
    session.add_line(f'download at n1: {response.status}')
    server = next(session.list_runs())[0]
    node = server.rpartition('-')[2]
    session.add_line('stop the server of the download')
    stop = session.start('stop', server, '--wait', node=node)
    wait_until(
        lambda: session.get_state(server) == 'draining', 'the server drains'
    )
    lookups = {
        session.send_request(
            'n2', 'GET', f'/documents/{number}', in_transcript=False
        ).status
        for number in range(20)
    }
    session.add_line(f'lookups meanwhile: {sorted(lookups)}')
    assert not stop.done()
    while True:
        content = response.read(2**20)
        if not content:
            break
        received += len(content)
    assert received == size
    session.add_line('download complete')
    done = stop.result()
    assert done.returncode == 0, done.stderr
    last = done.stdout.splitlines()[-1]
    session.add_line(last.replace(f'{node}/{server}', 'NODE/SERVER'))
    assert session.get_state(server) == 'gone'
    assert session.transcript == snapshot


def test_store_outage_with_bookings(session, snapshot):
    """Guards against bookings and stops that need the store."""
    apply_example(session)
    session.add_line('the store goes down')
    session.fleet.set_platform_faults(down=True)
    key = session.issue_key('n1', 'booking')
    headers = {'Idempotency-Key': key}
    first = session.send_request(
        'n1', 'POST', '/bookings/north/1', body=b'{}', headers=headers
    )
    resent = session.send_request(
        'n3', 'POST', '/bookings/north/1', body=b'{}', headers=headers
    )
    assert resent.data == first.data
    assert len(session.find_servers_that_ran(key)) == 1
    session.send_request(
        'n1',
        'POST',
        '/bookings/north/2',
        body=b'{}',
        headers={'Idempotency-Key': 'chosen-by-the-caller'},
    )
    session.write('change.ini', STRICTER_TARGET)
    session.run('apply', 'change.ini')
    session.add_line(
        'n2 is stopped, and a new process starts without the store'
    )
    process = session.fleet.nodes['n2'].process
    process.terminate()
    assert process.wait(60) == 0
    session.fleet.start_node('n2')
    session.fleet.wait_for(session.fleet.nodes['n2'].ingress)
    session.wait_ready()
    session.send_request('n2', 'GET', '/slots/north/7')
    session.add_line('the store is back')
    session.fleet.set_platform_faults(down=False)
    session.run('apply', 'change.ini', '--wait')
    assert session.transcript == snapshot


def test_migration(session, snapshot):
    """Guards against a booking that the old and the new system both run."""
    before = (
        'match = POST,PUT /bookings/north/*',
        'match = POST,PUT /bookings/far-north/*',
    )
    apply_example(session, before)
    key = session.issue_key('n1', 'booking-old')
    headers = {'Idempotency-Key': key}
    path = '/bookings/north/1'
    first = session.send_request(
        'n1', 'POST', path, body=b'{}', headers=headers
    )
    session.write('fleet.ini')
    session.run('plan', 'fleet.ini')
    session.run('apply', 'fleet.ini', '--wait')
    resent = session.send_request(
        'n4', 'POST', path, body=b'{}', headers=headers
    )
    assert resent.data == first.data
    assert [
        name.rpartition('-')[0] for name in session.find_servers_that_ran(key)
    ] == ['booking-old']
    fresh = session.issue_key('n4', 'booking')
    response = session.send_request(
        'n4',
        'POST',
        '/bookings/north/2',
        body=b'{}',
        headers={'Idempotency-Key': fresh},
    )
    served = json.loads(response.data)['server'].rpartition('-')[0]
    session.add_line(f'the new booking is run by {served}')
    south = session.send_request('n4', 'GET', '/slots/south/1')
    served = json.loads(south.data)['server'].rpartition('-')[0]
    session.add_line(f'the south is still run by {served}')
    assert session.transcript == snapshot


def send_until(session, path, condition, description):
    """Send requests from 8 callers until a condition holds.

    :returns: statuses of the responses.
    """
    deadline = time.monotonic() + 60
    statuses = set()

    def send(worker):
        node = f'n{worker % 4 + 1}'
        while time.monotonic() < deadline and not stop_sending:
            statuses.add(
                session.send_request(
                    node, 'GET', path, in_transcript=False
                ).status
            )

    stop_sending = []
    with ThreadPoolExecutor(8) as callers:
        tasks = [callers.submit(send, worker) for worker in range(8)]
        try:
            wait_until(condition, description)
        finally:
            stop_sending.append(True)
    for task in tasks:
        task.result()
    return statuses


def test_gray_server(session, snapshot):
    """Guards against a slow server that is not ejected or not reinstated."""
    apply_example(session)

    def observed():
        return len(session.fleet.list_runs('n3', 'documents-n3')) > 200

    send_until(
        session,
        '/documents/1',
        observed,
        'the servers have been observed',
    )
    session.add_line(
        'documents-n3 becomes 20 times slower; its health says 200'
    )
    session.fleet.set_faults('n3', 'documents-n3', slow_factor=20)
    statuses = send_until(
        session,
        '/documents/1',
        lambda: session.get_state('documents-n3') == 'ejected',
        'the server is ejected',
    )
    session.add_line(f'ejected; callers saw {sorted(statuses)}')
    explained = session.fleet.command('n1', 'explain', 'n3/documents-n3')
    ejection = next(
        line for line in explained.splitlines() if 'ejected' in line
    )
    session.add_line(re.sub(r'\d+(\.\d+)?%?', '<n>', ejection))
    session.add_line('documents-n3 is repaired')
    session.fleet.set_faults('n3', 'documents-n3')
    send_until(
        session,
        '/documents/1',
        lambda: session.get_state('documents-n3') == 'ready',
        'the server is back',
    )
    session.add_line('documents-n3 is ready again')
    assert session.transcript == snapshot


def test_normal_day(session, snapshot):
    """Guards against failed commands or requests while nothing is faulty."""
    session.run('status')
    session.write('fleet.ini')
    session.run('check', 'fleet.ini')
    session.run('apply', 'fleet.ini', '--wait', '--timeout', '30')
    session.wait_ready()
    for number in range(40):
        node = f'n{number % 4 + 1}'
        session.send_request(
            node, 'GET', f'/slots/south/{number}', in_transcript=False
        )
    for number in range(4):
        key = session.issue_key('n1', 'booking')
        session.send_request(
            'n1',
            'POST',
            f'/bookings/north/{number}',
            body=b'{}',
            headers={'Idempotency-Key': key},
        )
    session.send_request('n1', 'GET', '/nothing')
    report = session.query_json('n2', 'report')
    session.add_line(
        '\n'.join(
            f'{work["work_class"]}: {objective["requests"]} requests, '
            f'budget left {objective["budget_left"]:.0%}'
            for work in report['classes']
            for objective in work['objectives'][:1]
        )
    )
    stopped = session.fleet.command('n1', 'stop', 'n4', '--wait')
    session.add_line(f'stop n4: {stopped.splitlines()[-1]}')
    session.run('status')
    assert session.transcript == snapshot


def test_lost_answers_and_a_paused_node(session):
    """Guards against an apply that counts twice or omits a paused node."""
    apply_example(session)
    session.write('fleet.ini', STRICTER_TARGET)
    session.fleet.set_platform_faults(lose_writes=2, corrupt_reads=1)
    assert session.run('apply', 'fleet.ini', '--wait').returncode == 0
    session.write('fleet.ini', LOOSER_TARGET)
    process = session.fleet.nodes['n4'].process
    process.send_signal(signal.SIGSTOP)
    late = session.run('apply', 'fleet.ini', '--wait', '--timeout', '3')
    process.send_signal(signal.SIGCONT)
    assert late.returncode == 6
    assert 'accepted, but not confirmed by n4' in late.stderr
    done = session.run('apply', 'fleet.ini', '--wait')
    assert done.returncode == 0
    assert session.query_json('n4', 'status')['version'] == 3
