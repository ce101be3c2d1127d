import json
import subprocess
import sys

import urllib3

from godwitknot.storage.store import ABSENT, Write
from godwitknot.storage.storeclient import HttpTableService
from standins.ports import reserve_addresses


def test_the_platform_runs_as_a_process():
    """Guards against a command that does not start or does not stop."""
    address = reserve_addresses(1)[0]
    place = str(address)
    command = (sys.executable, '-m', 'standins.commands', 'platform')
    process = subprocess.Popen((*command, '--address', place))
    try:
        stats = urllib3.request(
            'GET',
            f'http://{place}/stats',
            retries=urllib3.Retry(8, backoff_factor=0.1),
        )
        tables = HttpTableService(address, 2.0)
        tables.write([Write('a', ABSENT, {}, 'w1')])
        faults = urllib3.request(
            'POST', f'http://{place}/faults', json={'slow_ms': 1}
        )
    finally:
        process.terminate()
    assert process.wait(20) == 0
    assert json.loads(stats.data) == {}
    assert faults.json()['slow_ms'] == 1


def test_faults_and_counters_over_http(platform):
    base = f'http://{platform.address.host}:{platform.address.port}'
    platform.tables.read('a')
    refused = urllib3.request('POST', f'{base}/faults', json={'typo': 1})
    assert refused.status == 400
    counted = urllib3.request('GET', f'{base}/stats').json()
    assert counted == {'GET /tables/row': 1}
