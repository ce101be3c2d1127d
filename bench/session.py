"""``make run``: a demonstration session of two fleets on this machine."""

import contextlib
import itertools
import pathlib
import socket
import sys
import threading
import time
from concurrent import futures

from bench.fleet import Fleet, NodePlan, ServerPlan
from bench.load import Load, Stream

_EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
_SEED = 7
_WARM_UP_SECONDS = 6.0
_WAIT_SECONDS = 25.0
_POLL_SECONDS = 0.2
_DOWNLOAD_BYTES = 8_000_000
_READ_BYTES = 65536
# Reads about 2 MB a second, so that the download outlasts the stop.
_READ_PAUSE_SECONDS = 0.03

_HAFNARVAGN = (
    Stream('slot-lookups', 'GET', ('/slots/south/1', '/slots/north/2'), 20),
    Stream('manifests', 'GET', ('/manifests/7', '/floor-plans/3'), 20),
    Stream('document-lookups', 'GET', ('/documents/5',), 40),
)
_LAPJESWERK = (
    Stream('remnant-listings', 'GET', ('/remnants/3', '/'), 30),
    Stream('stock-lookups', 'GET', ('/stock/9',), 30),
    Stream('pattern-downloads', 'GET', ('/swatches/4',), 10),
)


def plan_nodes(
    regions: tuple[str, str],
    services: dict[str, int],
) -> list[NodePlan]:
    """Plan two failure domains in each of two regions.

    :param services: number of servers per node, by service.
    """
    plans = []
    for region in regions:
        for letter in 'ab':
            servers = tuple(
                ServerPlan(f'{service}-{number}', service)
                for service, count in services.items()
                for number in range(1, count + 1)
            )
            domain = f'{region}-{letter}'
            plans.append(NodePlan(f'{domain}-1', region, domain, servers))
    return plans


def print_step(text: str) -> None:
    """Print the heading of a step."""
    sys.stdout.write(f'\n== {text}\n')
    sys.stdout.flush()


def print_output(text: str) -> None:
    """Print a result or the output of a command."""
    sys.stdout.write(text if text.endswith('\n') else f'{text}\n')
    sys.stdout.flush()


def wait_for_state(fleet: Fleet, node_id: str, server: str, state: str) -> bool:
    """Wait until another node reports a state of a server.

    :returns: whether it did so in time.
    """
    observer = next(name for name in fleet.nodes if name != node_id)
    deadline = time.monotonic() + _WAIT_SECONDS
    while time.monotonic() < deadline:
        for entry in fleet.status(observer)['servers']:
            if (entry['node_id'], entry['name']) == (node_id, server):
                if entry['state'] == state:
                    return True
        time.sleep(_POLL_SECONDS)
    return False


def book_twice(fleet: Fleet, path: str, service: str) -> tuple[int, int, int]:
    """Send one booking through two nodes with one issued key.

    :returns: both statuses, and the number of executions.
    """
    first, *_, last = fleet.nodes
    url = f'/.godwitknot/keys?service={service}'
    key = fleet.request(first, 'POST', url).json()['key']
    fields = {'Idempotency-Key': key}
    statuses = [
        fleet.request(node, 'POST', path, body=b'{}', headers=fields).status
        for node in (first, last)
    ]
    runs = [run for _, run in list_all_runs(fleet) if run['key'] == key]
    return (*statuses, len(runs))


def list_all_runs(fleet: Fleet) -> list[tuple[str, dict]]:
    """Return all executions of the fake servers with the server names."""
    executions = []
    for node_id, node in fleet.nodes.items():
        for server in node.servers:
            name = f'{node_id}/{server}'
            runs = fleet.list_runs(node_id, server)
            executions.extend((name, run) for run in runs)
    return executions


class SlowDownload(threading.Thread):
    """A caller with a slow connection that downloads one large file."""

    def __init__(self, fleet: Fleet, node_id: str) -> None:
        """Create the download through a node; nothing is sent yet."""
        super().__init__(daemon=True)
        self._address = fleet.nodes[node_id].ingress
        self.received = 0
        self.head = threading.Event()

    def run(self) -> None:
        """Send the request and read the response slowly."""
        with socket.create_connection(self._address.pair) as sock:
            request = f'GET /patterns/blob/{_DOWNLOAD_BYTES} HTTP/1.1\r\n'
            sock.sendall(
                f'{request}Host: a\r\nConnection: close\r\n\r\n'.encode()
            )
            head, _, rest = sock.recv(_READ_BYTES).partition(b'\r\n\r\n')
            self.received = len(rest)
            self.head.set()
            while True:
                chunk = sock.recv(_READ_BYTES)
                if not chunk:
                    return
                self.received += len(chunk)
                time.sleep(_READ_PAUSE_SECONDS)


def show_gray_server(fleet: Fleet, node_id: str, server: str) -> bool:
    """Make one server 10 times slower and show its ejection.

    :returns: whether it was ejected in time.
    """
    print_step(f'{node_id}/{server} answers probes, but is 10 times slower')
    began = time.monotonic()
    fleet.set_faults(node_id, server, slow_factor=10)
    ejected = wait_for_state(fleet, node_id, server, 'ejected')
    elapsed = time.monotonic() - began
    result = f'ejected after {elapsed:.1f} s' if ejected else 'not ejected'
    print_output(f'{server}: {result}')
    print_output(fleet.command(node_id, 'explain', f'{node_id}/{server}'))
    fleet.set_faults(node_id, server)
    return ejected


def show_planned_stop(fleet: Fleet) -> bool:
    """Stop a server as planned during a slow download from it.

    :returns: whether the download was complete.
    """
    node_id = next(iter(fleet.nodes))
    print_step(f'planned stop of a server of {node_id} during a slow download')
    download = SlowDownload(fleet, node_id)
    download.start()
    download.head.wait(_WAIT_SECONDS)
    server = find_download(fleet)
    print_output(f'the download runs on {server}')
    print_output(fleet.command(node_id, 'stop', server, '--wait'))
    download.join(_WAIT_SECONDS)
    print_output(f'received {download.received} of {_DOWNLOAD_BYTES} bytes')
    return download.received == _DOWNLOAD_BYTES


def find_download(fleet: Fleet) -> str:
    """Return the name of the server that runs the download, or empty."""
    for name, run in list_all_runs(fleet):
        if run['path'].startswith('/patterns/blob/'):
            return name
    return ''


def show_store_outage(fleet: Fleet) -> bool:
    """Send a booking twice while the store is down.

    :returns: whether both requests succeeded and one ran.
    """
    print_step('the store goes down; a booking with an issued key, sent twice')
    fleet.set_platform_faults(down=True)
    first, second, runs = book_twice(fleet, '/bookings/north/1', 'booking')
    print_output(f'statuses {first} and {second}, run {runs} time(s)')
    fleet.set_platform_faults(down=False)
    return (first, second, runs) == (200, 200, 1)


def run_session(hafnarvagn: Fleet, lapjeswerk: Fleet) -> bool:
    """Run all steps of the session.

    :returns: whether every step succeeded.
    """
    print_step('two fleets start: 4 nodes each, 2 regions, 4 failure domains')
    for fleet in (hafnarvagn, lapjeswerk):
        fleet.start()
    reykjanes = next(iter(hafnarvagn.nodes))
    vlaanderen = next(iter(lapjeswerk.nodes))
    print_step('both declarations are applied')
    for fleet, node_id, name in (
        (hafnarvagn, reykjanes, 'hafnarvagn'),
        (lapjeswerk, vlaanderen, 'lapjeswerk'),
    ):
        path = str(_EXAMPLES / f'{name}.ini')
        print_output(
            fleet.command(node_id, 'apply', path, '--wait').splitlines()[-1]
        )
    loads = [
        Load(hafnarvagn, _HAFNARVAGN, _SEED),
        Load(lapjeswerk, _LAPJESWERK, _SEED),
    ]
    for load in loads:
        load.start()
    print_step('requests of every class')
    time.sleep(_WARM_UP_SECONDS)
    booking_result = book_twice(hafnarvagn, '/bookings/south/1', 'booking-old')
    reservation_result = book_twice(lapjeswerk, '/bundles/3', 'storefront')
    print_output(
        f'booking: statuses {booking_result[:2]}, run {booking_result[2]} time(s)'
    )
    print_output(
        f'reservation: statuses {reservation_result[:2]}, run {reservation_result[2]} time(s)'
    )
    step_results = [
        booking_result == (200, 200, 1),
        reservation_result == (200, 200, 1),
        show_gray_server(hafnarvagn, reykjanes, 'documents-1'),
        show_store_outage(hafnarvagn),
        show_planned_stop(lapjeswerk),
    ]
    for load in loads:
        load.stop()
    print_report(hafnarvagn, reykjanes, loads[0])
    print_report(lapjeswerk, vlaanderen, loads[1])
    return all(step_results)


def print_report(fleet: Fleet, node_id: str, load: Load) -> None:
    """Print the results of the load and the report of the fleet."""
    print_step(f'service levels as {node_id} reports them')
    counts = ', '.join(
        f'{name} {request_result}: {count}'
        for (name, request_result), count in sorted(load.counts.items())
    )
    print_output(f'callers saw {counts}')
    print_output(fleet.command(node_id, 'report'))


def main() -> int:
    """Run a session and stop both fleets.

    :returns: exit code.
    """
    hafnarvagn = Fleet(
        plan_nodes(
            ('reykjanes', 'nordurland'),
            {'booking': 1, 'booking-old': 1, 'documents': 2},
        ),
    )
    lapjeswerk = Fleet(
        plan_nodes(('vlaanderen', 'wallonie'), {'storefront': 2, 'archive': 2}),
    )
    with contextlib.ExitStack() as stack:
        stack.callback(hafnarvagn.stop)
        stack.callback(lapjeswerk.stop)
        succeeded = run_session(hafnarvagn, lapjeswerk)
        print_step('everything stops')
        codes = stop_together(hafnarvagn, lapjeswerk)
        print_output(f'exit codes of the nodes: {codes}')
        stack.pop_all()
    return 0 if succeeded and not any(codes) else 1


def stop_together(*fleets: Fleet) -> list[int]:
    """Stop fleets in parallel.

    :returns: exit codes of all nodes.
    """
    with futures.ThreadPoolExecutor() as pool:
        stopped = list(pool.map(Fleet.stop, fleets))
    return list(itertools.chain.from_iterable(stopped))


if __name__ == '__main__':
    sys.exit(main())
