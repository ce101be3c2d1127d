"""The client of the metadata store shows the epoch of each response."""

import asyncio

import pytest

from godwitknot.errors import HistoryLostError, RowChangedError, StoreDownError
from godwitknot.mesh.httpclient import HttpClient
from godwitknot.mesh.model import HttpResponse
from godwitknot.platform.store import PlatformStore
from godwitknot.units import Address
from standins.metadatastore import MetadataStore, start_store


@pytest.fixture
def store():
    return MetadataStore()


@pytest.fixture
def client(store):
    server = start_store(store)
    address = Address(*server.server_address)
    yield PlatformStore(HttpClient(5), address)
    server.shutdown()
    server.server_close()


class ScriptedClient:
    """Returns prepared responses."""

    def __init__(self, *responses):
        self._responses = list(responses)

    async def fetch(self, address, http_request, transfer):
        return self._responses.pop(0)


def make_response(epoch, **fields):
    body = (
        b'{"rows": [{"key": "a", "value": "", "row_version": 1}],'
        b' "row_version": 1, "has_more": %s}' % fields.get('more', b'false')
    )
    return HttpResponse(200, [('store-era', epoch)], body)


def test_pages_and_receipts_have_the_epoch(store, client):
    store.restore(0)

    async def scenario():
        receipt = await client.write_row('members', 'a', b'content', 0)
        table = await client.read_table('members')
        feed = await client.watch_table('members', 0, 1)
        configuration = await client.read_configuration()
        return receipt, table, feed, configuration

    answers = asyncio.run(scenario())
    assert [each.epoch for each in answers] == [2, 2, 2, 2]


def test_listeners_get_the_epoch_of_failures_too(store, client):
    """Guards against a restore that shows only in a refusal."""
    epochs = []
    client.epoch_listeners.append(epochs.append)

    async def scenario():
        store.restore(0)
        with pytest.raises(HistoryLostError):
            await client.watch_table('members', 99, 1)
        store.restore(0)
        with pytest.raises(RowChangedError):
            await client.write_row('members', 'a', b'content', 7)
        store.restore(0)
        store.faults.down = True
        with pytest.raises(StoreDownError):
            await client.read_table('members')

    asyncio.run(scenario())
    assert epochs == [2, 3, 4]


def test_restore_between_two_pages_shows(client):
    """Guards against a table that mixes rows of before and after a restore."""
    scripted = ScriptedClient(
        make_response('1', more=b'true'), make_response('2')
    )
    mixed = PlatformStore(scripted, Address('127.0.0.1', 1))
    assert asyncio.run(mixed.read_table('members')).epoch == 1


@pytest.mark.parametrize('text', ['', '-1', 'two', '1.5', '9' * 5000])
def test_malformed_epoch_counts_as_unknown(text):
    scripted = ScriptedClient(make_response(text))
    malformed = PlatformStore(scripted, Address('127.0.0.1', 1))
    assert asyncio.run(malformed.read_table('members')).epoch == 0
