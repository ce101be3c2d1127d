"""Golden sessions: operators and callers with a fleet of real processes."""

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
BACKGROUND = ThreadPoolExecutor(4)
PLACES = {
    'n1': ('reykjanes', 'reykjanes-a'),
    'n2': ('reykjanes', 'reykjanes-b'),
    'n3': ('nordurland', 'nordurland-a'),
    'n4': ('nordurland', 'nordurland-b'),
}
NORMALISED = (
    (re.compile(r'127\.0\.0\.1:\d+'), '<address>'),
    (re.compile(r'\b[0-9a-f]{12,64}\b'), '<id>'),
    (re.compile(r' +'), ' '),
)
LOWER = ('latency = 95% within 200ms', 'latency = 95% within 150ms')
LONGER = ('latency = 95% within 400ms', 'latency = 95% within 500ms')


class Session:
    """A fleet with a transcript of what people did and saw."""

    def __init__(self, fleet, directory):
        self.fleet = fleet
        self.directory = directory
        self.lines = []

    def write(self, name, *changes):
        """Write the example declaration with some texts replaced."""
        text = EXAMPLE.read_text(encoding='utf-8')
        for old, new in changes:
            assert old in text
            text = text.replace(old, new)
        (self.directory / name).write_text(text, encoding='utf-8')

    def start(self, *words, node='n1', name='mies'):
        """Run a command in the background."""
        return BACKGROUND.submit(
            self.fleet.try_command, node, '--name', name, *words
        )

    def run(self, *words, node='n1', name='mies'):
        done = self.start(*words, node=node, name=name).result()
        self.note(f'{name}@{node}$ godwitknot {" ".join(words)}')
        text = f'{done.stdout}{done.stderr}'.rstrip()
        self.note(f'{text}\n[exit {done.returncode}]')
        return done

    def note(self, text):
        for pattern, replacement in NORMALISED:
            text = pattern.sub(replacement, text)
        self.lines.append(text)

    @property
    def transcript(self):
        return '\n'.join(self.lines)

    def ask(self, node, *words):
        """Run a command with --json, without a line in the transcript."""
        return json.loads(self.fleet.command(node, *words, '--json'))

    def state_of(self, server, node='n1'):
        for one in self.fleet.status(node)['servers']:
            if one['name'] == server:
                return one['state']
        return 'gone'

    def call(self, node, method, path, note=True, **options):
        """Send a request as a caller."""
        answer = self.fleet.request(node, method, path, **options)
        outcome = answer.headers.get('X-Godwitknot-Outcome')
        if note:
            self.note(f'{method} {path} at {node}: {answer.status}, {outcome}')
        return answer

    def issue_key(self, node, service):
        answer = self.fleet.request(
            node, 'POST', f'/.godwitknot/keys?service={service}'
        )
        assert answer.status == 201, answer.data
        return json.loads(answer.data)['key']

    def list_runs(self):
        """Give all runs of all servers, each with the server's name."""
        for node in self.fleet.nodes.values():
            for name in node.servers:
                for run in self.fleet.list_runs(node.plan.node_id, name):
                    yield name, run

    def runs_of(self, key):
        """Give the servers that ran a request with a key."""
        return [name for name, run in self.list_runs() if run['key'] == key]

    def wait_ready(self, *nodes):
        """Wait until nodes have a configuration and reach each service."""
        wait_until(
            lambda: all(self.serves(node) for node in nodes or PLACES),
            'all nodes are ready',
        )

    def serves(self, node):
        """Tell whether a node is ready and has a server of each service.

        A node is ready before the first probe of a server; until then it
        refuses requests and issues no keys.
        """
        requests = [('GET', '/.godwitknot/ready')]
        for service in SERVICES:
            requests.append(('POST', f'/.godwitknot/keys?service={service}'))
        statuses = [self.fleet.request(node, *one).status for one in requests]
        return statuses == [200, *(201 for _ in SERVICES)]

    def knows_all(self):
        """Tell whether each node knows all servers as ready."""
        expected = len(PLACES) * len(SERVICES)
        for node in PLACES:
            servers = self.fleet.status(node)['servers']
            states = [server['state'] for server in servers]
            if states.count('ready') != expected:
                return False
        return True


def wait_until(holds, what):
    deadline = time.monotonic() + 60
    while not holds():
        assert time.monotonic() < deadline, f'in vain: {what}'
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
        for node_id, (region, domain) in PLACES.items()
    ]
    fleet = Fleet(plans, poll='1s')
    fleet.http = urllib3.PoolManager(retries=False, timeout=20, maxsize=64)
    fleet.start()
    try:
        started = Session(fleet, tmp_path)
        wait_until(started.knows_all, 'each node knows all servers')
        yield started
    finally:
        # All nodes at once wait in vain for promises of each other.
        for node in fleet.nodes.values():
            node.process.kill()
        fleet.stop()


def begin(session, *changes):
    """Bring the example into force everywhere."""
    session.write('fleet.ini', *changes)
    applied = session.run('apply', 'fleet.ini', '--wait')
    assert applied.returncode == 0, applied.stderr
    session.wait_ready()
    session.lines.clear()


def test_two_operators(session, snapshot):
    """Guards against a change that is lost between two operators."""
    begin(session)
    shared = session.fleet.command('n1', 'configuration')
    for name, change in (('jan.ini', LOWER), ('mies.ini', LONGER)):
        path = session.directory / name
        path.write_text(shared.replace(*change), encoding='utf-8')
    session.run('apply', 'jan.ini', '--wait', node='n4', name='jan')
    session.run('apply', 'mies.ini')
    merged = shared.replace(*LOWER).replace(*LONGER)
    (session.directory / 'mies.ini').write_text(merged, encoding='utf-8')
    session.run('plan', 'mies.ini')
    session.run('apply', 'mies.ini', '--expect', '2', '--wait')
    versions = {session.ask(one, 'status')['version'] for one in PLACES}
    assert versions == {3}
    assert session.transcript == snapshot


def test_two_applies_at_once(session):
    """Guards against two operators who both believe to have succeeded."""
    begin(session)
    for name, change in (('jan.ini', LOWER), ('mies.ini', LONGER)):
        session.write(name, change)
    started = [
        session.start('apply', file, '--expect', '1', node=node)
        for node, file in (('n2', 'jan.ini'), ('n3', 'mies.ini'))
    ]
    done = [one.result() for one in started]
    codes = [one.returncode for one in done]
    assert sorted(codes) == [0, 4]
    assert '~ [class slot-' in done[codes.index(4)].stderr


def test_planned_stop_with_a_download(session, snapshot):
    """Guards against a planned stop that breaks a slow download."""
    floor_plans = 'GET,HEAD /floor-plans/*'
    begin(session, (floor_plans, f'{floor_plans}\n  GET /blob/*'))
    size = 40 * 2**20
    answer = session.fleet.request(
        'n1', 'GET', f'/blob/{size}', preload_content=False
    )
    received = len(answer.read(1024))
    session.note(f'download at n1: {answer.status}')
    server = next(session.list_runs())[0]
    node = server.rpartition('-')[2]
    session.note('stop the server of the download')
    stop = session.start('stop', server, '--wait', node=node)
    wait_until(
        lambda: session.state_of(server) == 'draining', 'the server drains'
    )
    lookups = {
        session.call('n2', 'GET', f'/documents/{at}', note=False).status
        for at in range(20)
    }
    session.note(f'lookups meanwhile: {sorted(lookups)}')
    assert not stop.done()
    while True:
        content = answer.read(2**20)
        if not content:
            break
        received += len(content)
    assert received == size
    session.note('download complete')
    done = stop.result()
    assert done.returncode == 0, done.stderr
    last = done.stdout.splitlines()[-1]
    session.note(last.replace(f'{node}/{server}', 'NODE/SERVER'))
    assert session.state_of(server) == 'gone'
    assert session.transcript == snapshot


def test_store_outage_with_bookings(session, snapshot):
    """Guards against bookings and stops that need the store."""
    begin(session)
    session.note('the store goes down')
    session.fleet.set_platform_faults(down=True)
    key = session.issue_key('n1', 'booking')
    headers = {'Idempotency-Key': key}
    first = session.call(
        'n1', 'POST', '/bookings/north/1', body=b'{}', headers=headers
    )
    resent = session.call(
        'n3', 'POST', '/bookings/north/1', body=b'{}', headers=headers
    )
    assert resent.data == first.data
    assert len(session.runs_of(key)) == 1
    session.call(
        'n1',
        'POST',
        '/bookings/north/2',
        body=b'{}',
        headers={'Idempotency-Key': 'chosen-by-the-caller'},
    )
    session.write('change.ini', LOWER)
    session.run('apply', 'change.ini')
    session.note('n2 is stopped, and a new process starts without the store')
    process = session.fleet.nodes['n2'].process
    process.terminate()
    assert process.wait(60) == 0
    session.fleet.start_node('n2')
    session.fleet.wait_for(session.fleet.nodes['n2'].ingress)
    session.wait_ready()
    session.call('n2', 'GET', '/slots/north/7')
    session.note('the store is back')
    session.fleet.set_platform_faults(down=False)
    session.run('apply', 'change.ini', '--wait')
    assert session.transcript == snapshot


def test_migration(session, snapshot):
    """Guards against a booking that both systems run."""
    before = (
        'match = POST,PUT /bookings/north/*',
        'match = POST,PUT /bookings/far-north/*',
    )
    begin(session, before)
    key = session.issue_key('n1', 'booking-old')
    headers = {'Idempotency-Key': key}
    path = '/bookings/north/1'
    first = session.call('n1', 'POST', path, body=b'{}', headers=headers)
    session.write('fleet.ini')
    session.run('plan', 'fleet.ini')
    session.run('apply', 'fleet.ini', '--wait')
    resent = session.call('n4', 'POST', path, body=b'{}', headers=headers)
    assert resent.data == first.data
    assert [name.rpartition('-')[0] for name in session.runs_of(key)] == [
        'booking-old'
    ]
    fresh = session.issue_key('n4', 'booking')
    answer = session.call(
        'n4',
        'POST',
        '/bookings/north/2',
        body=b'{}',
        headers={'Idempotency-Key': fresh},
    )
    served = json.loads(answer.data)['server'].rpartition('-')[0]
    session.note(f'the new booking is run by {served}')
    south = session.call('n4', 'GET', '/slots/south/1')
    served = json.loads(south.data)['server'].rpartition('-')[0]
    session.note(f'the south is still run by {served}')
    assert session.transcript == snapshot


def send_until(session, path, holds, what):
    """Send requests from 8 callers until something holds.

    :returns: statuses seen.
    """
    deadline = time.monotonic() + 60
    statuses = set()

    def send(worker):
        node = f'n{worker % 4 + 1}'
        while time.monotonic() < deadline and not done:
            statuses.add(session.call(node, 'GET', path, note=False).status)

    done = []
    with ThreadPoolExecutor(8) as callers:
        sent = [callers.submit(send, worker) for worker in range(8)]
        try:
            wait_until(holds, what)
        finally:
            done.append(True)
    for one in sent:
        one.result()
    return statuses


def test_gray_server(session, snapshot):
    """Guards against a gray server that keeps its callers."""
    begin(session)

    def observed():
        return len(session.fleet.list_runs('n3', 'documents-n3')) > 200

    send_until(
        session,
        '/documents/1',
        observed,
        'the servers have been observed',
    )
    session.note('documents-n3 becomes 20 times slower; its health says 200')
    session.fleet.set_faults('n3', 'documents-n3', slow_factor=20)
    statuses = send_until(
        session,
        '/documents/1',
        lambda: session.state_of('documents-n3') == 'ejected',
        'the server is ejected',
    )
    session.note(f'ejected; callers saw {sorted(statuses)}')
    explained = session.fleet.command('n1', 'explain', 'n3/documents-n3')
    ejection = next(
        line for line in explained.splitlines() if 'ejected' in line
    )
    session.note(re.sub(r'\d+(\.\d+)?%?', '<n>', ejection))
    session.note('documents-n3 is repaired')
    session.fleet.set_faults('n3', 'documents-n3')
    send_until(
        session,
        '/documents/1',
        lambda: session.state_of('documents-n3') == 'ready',
        'the server is back',
    )
    session.note('documents-n3 is ready again')
    assert session.transcript == snapshot


def test_normal_day(session, snapshot):
    """Guards against surprises when nothing is wrong."""
    session.run('status')
    session.write('fleet.ini')
    session.run('check', 'fleet.ini')
    session.run('apply', 'fleet.ini', '--wait', '--timeout', '30')
    session.wait_ready()
    for at in range(40):
        node = f'n{at % 4 + 1}'
        session.call(node, 'GET', f'/slots/south/{at}', note=False)
    for at in range(4):
        key = session.issue_key('n1', 'booking')
        session.call(
            'n1',
            'POST',
            f'/bookings/north/{at}',
            body=b'{}',
            headers={'Idempotency-Key': key},
        )
    session.call('n1', 'GET', '/nothing')
    report = session.ask('n2', 'report')
    session.note(
        '\n'.join(
            f'{work["work_class"]}: {one["requests"]} requests, '
            f'budget left {one["budget_left"]:.0%}'
            for work in report['classes']
            for one in work['objectives'][:1]
        )
    )
    stopped = session.fleet.command('n1', 'stop', 'n4', '--wait')
    session.note(f'stop n4: {stopped.splitlines()[-1]}')
    session.run('status')
    assert session.transcript == snapshot


def test_lost_answers_and_a_paused_node(session):
    """Guards against an apply that counts twice or hides a silent node."""
    begin(session)
    session.write('fleet.ini', LOWER)
    session.fleet.set_platform_faults(lose_writes=2, corrupt_reads=1)
    assert session.run('apply', 'fleet.ini', '--wait').returncode == 0
    session.write('fleet.ini', LONGER)
    process = session.fleet.nodes['n4'].process
    process.send_signal(signal.SIGSTOP)
    late = session.run('apply', 'fleet.ini', '--wait', '--timeout', '3')
    process.send_signal(signal.SIGCONT)
    assert late.returncode == 6
    assert 'accepted, but not confirmed by n4' in late.stderr
    done = session.run('apply', 'fleet.ini', '--wait')
    assert done.returncode == 0
    assert session.ask('n4', 'status')['version'] == 3
