# flake8: noqa
"""A server comes back under its id while the time of day is set back."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    TROUBLE,
    BackendServer,
    Client,
    main,
    make_route,
    wait_until,
)

# clock_step: x ms (2000), back.
_STEP_SECONDS = 2.0
# srv_flap of the site: down and up by turns with this period.
_FLAP_SECONDS = 1.0
_FLAPS = 4
# contact_ms, after which all machines are in touch again, and more.
_CALM_SECONDS = 8
_DRAIN_SECONDS = 2.5
# Servers serve for drain_ms after the acknowledgement and a little longer.
_SERVES_ON_SECONDS = 6
_CLIENTS = 8


def run(fleet, record):
    # One of seven servers flaps, and one of eight clocks is set back.
    zones = ('vl-gent', 'vl-gent', 'vl-gent', 'vl-leuven', 'vl-leuven')
    flapping = fleet.add('lapjesmarkt', 'vl-gent', 0.05)
    for zone in (*zones, 'wa-namur'):
        fleet.add('lapjesmarkt', zone, 0.05)
    fleet.add('patroonkast', 'vl-leuven', 0.05)
    fleet.configure(
        {'reserve': make_route('/reserve/', 'non_idempotent', 'lapjesmarkt')},
        ('lapjesmarkt', 'patroonkast'),
    )
    fleet.start()
    warm_up = Client(record, fleet.machines[7], 'warm-up')
    wait_until(
        lambda: warm_up.send('POST', '/reserve/w', b'w')['status'] == 200
    )
    ended = threading.Event()
    clients = [
        Client(record, fleet.machines[number], f'client-{number}')
        for number in range(_CLIENTS)
    ]

    def reserve(client):
        while not ended.is_set():
            entry = client.send('POST', '/reserve/b', b'x' * 4000)
            time.sleep(0.05 + entry['retry_after'])

    threads = [
        threading.Thread(target=reserve, args=(client,)) for client in clients
    ]
    for thread in threads:
        thread.start()
    time.sleep(2)
    # Seconds by which the time of day of this machine is off.
    offset = 0.0
    for number in range(_FLAPS):
        old = flapping.server
        old.crash()
        record.write('server down', server=old.server_id)
        time.sleep(_FLAP_SECONDS / 2)
        if TROUBLE and number == _FLAPS - 1:
            offset = -_STEP_SECONDS
            record.write('time of day set back', seconds=_STEP_SECONDS)
        flapping.server = BackendServer(
            record, old.server_id, old.service, old.host, 0.05, old.zone
        )
        flapping.server.born = int((time.time() + offset) * 1000)
        record.write(
            'server up',
            server=old.server_id,
            born=flapping.server.born,
            earlier=old.born,
        )
        wait_until(flapping.server.send_heartbeat)
        flapping.server.start_heartbeats()
        time.sleep(_FLAP_SECONDS / 2)
    # The time of day is right again; it shows in no field of a heartbeat.
    record.write('calm')
    time.sleep(_CALM_SECONDS)
    server = flapping.server
    server.state = 'draining'
    wait_until(server.send_heartbeat)
    acknowledged = record.now()
    record.write('draining acknowledged', server=server.server_id)
    time.sleep(_SERVES_ON_SECONDS)
    wait_until(server.deregister)
    record.write('departure acknowledged', server=server.server_id)
    server.crash()
    record.write('server ended', server=server.server_id)
    time.sleep(1)
    ended.set()
    for thread in threads:
        thread.join()
    late = [
        each
        for each in server.runs
        if each['at'] > acknowledged + _DRAIN_SECONDS
    ]
    for each in late:
        record.write(
            'reached the server after drain_ms',
            request=each['request'],
            seconds=round(each['at'] - acknowledged, 3),
        )
    record.write('requests after drain_ms', count=len(late), allowed=0)
    cut = [
        entry['request']
        for client in clients
        for entry in client.requests
        if entry['sent'] > acknowledged and entry['status'] != 200
    ]
    record.write(
        'requests not served since the acknowledgement', count=len(cut)
    )
    return bool(late)


main(run, FOLDER)
