import socket
import threading

import pytest
from urllib3 import HTTPResponse

from godwitknot.errors import (
    ConflictError,
    LostAnswerError,
    MissingObjectError,
    StoreDownError,
)
from godwitknot.storage.store import ABSENT, Row, TableService, Write
from godwitknot.storage.storeclient import (
    HttpObjectStore,
    HttpTableService,
    _parse,
    make_write,
    write_and_confirm,
)
from godwitknot.units import Address
from standins.rawserver import RawServer
from tests.cutresponses import CUT_RESPONSES


class LosingTables(HttpTableService):
    """Loses every write before it reaches the service."""

    def write(self, writes):
        raise LostAnswerError('lost')


class DelayedTables(TableService):
    """Neither applies nor answers any write while the test runs."""

    def __init__(self):
        self.write_ids = []

    def read(self, key):
        return Row(key, ABSENT, {})

    def scan(self, prefix):
        return []

    def write(self, writes):
        self.write_ids.append(writes[0].write_id)
        raise LostAnswerError('lost')


def test_rows_have_versions_and_prefixes(platform):
    platform.tables.write([Write('a/1', ABSENT, {'x': 'é'}, 'w1')])
    platform.tables.write([Write('a/1', 1, {'x': 2}, 'w2')])
    platform.tables.write([Write('b/1', ABSENT, {}, 'w3')])
    assert platform.tables.read('a/1') == Row('a/1', 2, {'x': 2})
    assert platform.tables.read('absent').version == ABSENT
    assert [row.key for row in platform.tables.scan('a/')] == ['a/1']


def test_a_conflict_undoes_the_whole_transaction(platform):
    """Guards against applying only part of a transaction."""
    platform.tables.write([Write('a', ABSENT, {}, 'w1')])
    with pytest.raises(ConflictError):
        platform.tables.write(
            [Write('b', ABSENT, {}, 'w2'), Write('a', ABSENT, {}, 'w3')],
        )
    assert platform.tables.read('b').version == ABSENT


def test_a_lost_answer_is_settled_by_reading(platform):
    """Guards against treating a lost answer as a failure or a success."""
    platform.application.faults.lose_writes = 2
    with pytest.raises(LostAnswerError):
        platform.tables.write([Write('a', ABSENT, {}, 'w1')])
    write_and_confirm(platform.tables, make_write('b', ABSENT, {'x': 1}))
    assert platform.tables.read('b').version == 1
    assert platform.application.counts['POST /tables/write'] == 2


def test_a_lost_answer_of_a_lost_race_is_a_conflict(platform):
    platform.tables.write([make_write('a', ABSENT, {})])

    losing = LosingTables(platform.address, 1.0)
    with pytest.raises(ConflictError):
        write_and_confirm(losing, make_write('a', ABSENT, {}))


def test_a_write_on_its_way_is_not_taken_for_lost():
    """Guards against reporting failure while the write is in transit."""
    tables = DelayedTables()
    with pytest.raises(LostAnswerError):
        write_and_confirm(tables, make_write('a', ABSENT, {}))
    assert len(set(tables.write_ids)) == 1


def test_down_means_nothing_was_applied(platform):
    platform.application.faults.down = True
    with pytest.raises(StoreDownError):
        platform.tables.write([Write('a', ABSENT, {}, 'w1')])
    with pytest.raises(StoreDownError):
        platform.tables.read('a')
    platform.application.faults.down = False
    assert platform.tables.read('a').version == ABSENT


def test_a_slow_write_may_have_taken_effect(platform):
    client = HttpTableService(platform.address, 0.05)
    platform.application.faults.slow_ms = 200
    with pytest.raises(LostAnswerError):
        client.write([Write('a', ABSENT, {}, 'w1')])
    with pytest.raises(StoreDownError):
        client.read('a')


def test_an_unreachable_store_is_down():
    tables = HttpTableService(Address('127.0.0.1', 1), 0.5)
    with pytest.raises(StoreDownError):
        tables.write([Write('a', ABSENT, {}, 'w1')])


def test_objects_are_whole_or_an_error(platform):
    """Guards against returning a truncated object as complete."""
    platform.objects.put('abc', b'stored text')
    assert platform.objects.get('abc') == b'stored text'
    platform.application.faults.truncate_reads = 1
    with pytest.raises(StoreDownError):
        platform.objects.get('abc')
    platform.application.faults.corrupt_reads = 1
    assert platform.objects.get('abc') != b'stored text'
    with pytest.raises(MissingObjectError):
        platform.objects.get('other')


def test_a_read_survives_a_connection_that_the_service_closed():
    """Guards against reporting an outage when an idle connection closed."""
    listener = socket.create_server(('127.0.0.1', 0))
    row = b'{"key": "a", "version": 1, "columns": {}}'
    response = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b'

    def serve():
        first, _ = listener.accept()
        first.recv(65536)
        first.sendall(response % (len(row), row))
        first.recv(65536)
        first.close()
        second, _ = listener.accept()
        second.recv(65536)
        second.sendall(response % (len(row), row))

    threading.Thread(target=serve, daemon=True).start()
    tables = HttpTableService(Address(*listener.getsockname()), 5.0)
    assert tables.read('a').version == 1
    assert tables.read('a').version == 1
    listener.close()


def test_deeply_nested_response_is_a_store_error():
    """Guards against an error that users of the store do not handle."""
    with pytest.raises(StoreDownError):
        _parse(HTTPResponse(body=b'[' * 100000))


@pytest.mark.parametrize('cut', CUT_RESPONSES)
def test_object_cut_by_the_service_is_an_error(cut):
    """Guards against an empty object where the head was cut off."""
    server = RawServer([cut], [cut])
    with pytest.raises(StoreDownError):
        HttpObjectStore(server.address, 1.0).get('abc')
    server.stop()


@pytest.mark.parametrize('cut', CUT_RESPONSES)
def test_write_with_a_cut_response_may_have_taken_effect(cut):
    """Guards against taking the beginning of a response for all of it."""
    server = RawServer([cut])
    tables = HttpTableService(server.address, 1.0)
    with pytest.raises(LostAnswerError):
        tables.write([Write('a', ABSENT, {}, 'w1')])
    assert server.requests == 1
    server.stop()
