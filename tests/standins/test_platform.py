import json
import subprocess
import sys

import urllib3

from godwitknot.storage.store import ABSENT, Write
from godwitknot.storage.storeclient import HttpTableService
from standins.ports import reserve_addresses


def test_the_platform_runs_as_a_process():
    """Guards against a platform command that does not start or stop."""
    address = reserve_addresses(1)[0]
    host_and_port = str(address)
    command = (sys.executable, '-m', 'standins.commands', 'platform')
    process = subprocess.Popen((*command, '--address', host_and_port))
    try:
        stats = urllib3.request(
            'GET',
            f'http://{host_and_port}/stats',
            retries=urllib3.Retry(8, backoff_factor=0.1),
        )
        tables = HttpTableService(address, 2.0)
        tables.write([Write('a', ABSENT, {}, 'w1')])
        faults = urllib3.request(
            'POST', f'http://{host_and_port}/faults', json={'slow_ms': 1}
        )
    finally:
        process.terminate()
    assert process.wait(20) == 0
    assert json.loads(stats.data) == {}
    assert faults.json()['slow_ms'] == 1


def test_faults_and_counters_over_http(platform):
    """Guards against accepted misspelt faults and uncounted requests."""
    base = f'http://{platform.address.host}:{platform.address.port}'
    platform.tables.read('a')
    rejected = urllib3.request('POST', f'{base}/faults', json={'typo': 1})
    assert rejected.status == 400
    counts = urllib3.request('GET', f'{base}/stats').json()
    assert counts == {'GET /tables/row': 1}
