"""The stand-in of the metadata store is restored as the platform's is."""

import base64
import json
import threading
import time
from http.client import HTTPConnection, HTTPException

import pytest

from standins.metadatastore import MetadataStore, start_store


@pytest.fixture
def store():
    return MetadataStore()


@pytest.fixture
def get(store):
    server = start_store(store)

    def call(target, timeout=3):
        connection = HTTPConnection(*server.server_address, timeout=timeout)
        connection.request('GET', target)
        response = connection.getresponse()
        content = response.read()
        connection.close()
        return response, json.loads(content)

    yield call
    server.shutdown()
    server.server_close()


def write_and_restore(store):
    """Write two versions and go back to the first; return the second."""
    store.put('op', 'config', b'old')
    time.sleep(0.05)
    lost = store.put('op', 'config', b'lost')
    store.restore(0.03)
    return lost


def test_restore_loses_later_writes(store):
    write_and_restore(store)
    assert store.read_value('op', 'config') == b'old'


def test_versions_are_given_out_again(store):
    lost = write_and_restore(store)
    assert store.put('op', 'config', b'new') == lost
    feed = {'table': 'op', 'after': lost - 1, 'wait_ms': 0}
    rows = store.read_feed(feed)[1]['rows']
    assert [base64.b64decode(row['value']) for row in rows] == [b'new']


def test_feed_after_a_version_that_was_lost_is_gone(store):
    lost = write_and_restore(store)
    feed = {'table': 'op', 'after': lost, 'wait_ms': 0}
    assert store.read_feed(feed)[0] == 410


def test_restore_ends_open_feeds(store, get):
    """Guards against a stand-in whose feeds outlast a restore unnoticed."""
    store.put('op', 'config', b'old')
    threading.Timer(0.2, store.restore, (0,)).start()
    with pytest.raises((OSError, HTTPException)):
        get('/api/rows-feed?table=op&after=1&wait_ms=2000')


def test_restore_raises_the_epoch_of_all_responses(store, get):
    store.restore(0)
    store.restore(0)
    targets = (
        '/api/rows-get?table=op',
        '/api/rows-feed?table=op&after=9&wait_ms=0',
        '/none',
    )
    responses = [get(target)[0] for target in targets]
    assert [each.status for each in responses] == [200, 410, 404]
    assert {each.headers['Store-Era'] for each in responses} == {'3'}
    store.faults.down = True
    assert get(targets[0])[0].headers['Store-Era'] == '3'
