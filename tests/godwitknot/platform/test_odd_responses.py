"""Odd rows and responses of the store raise StoreError or are left out."""

import asyncio
import base64
import contextlib
import json

import pytest
from hypothesis import given, settings, strategies as st

from godwitknot.errors import RowChangedError, StoreError
from godwitknot.mesh.model import HttpResponse
from godwitknot.platform.store import PlatformStore
from godwitknot.units import Address
from test_odd_documents import ANY_JSON, NESTED, ODD_VALUES

GOOD_ROW = {
    'table': 'members',
    'part': '',
    'key': 'a',
    'value': base64.b64encode(b'content').decode(),
    'row_version': 5,
}
ENCODED_ROW = json.dumps(GOOD_ROW)
# Values that are odd in any field of a row. The store itself writes the
# response, so that it is valid JSON.
ODD_FIELDS = {
    name: text
    for name, text in ODD_VALUES.items()
    if not name.startswith(('nested', 'more digits', 'other script', 'long'))
}


class ScriptedClient:
    """Responds with prepared bodies; the last one is repeated."""

    def __init__(self, status, *bodies):
        self.targets = []
        self._status = status
        self._bodies = list(bodies)

    async def call(self, address, request, timeout):
        self.targets.append(request.target)
        body = self._bodies[0]
        if len(self._bodies) > 1:
            self._bodies.pop(0)
        return HttpResponse(self._status, [], body.encode())

    async def fetch(self, address, request, transfer):
        return await self.call(address, request, transfer)


def make_store(*bodies, status=200):
    return PlatformStore(
        ScriptedClient(status, *bodies), Address('10.0.0.9', 1)
    )


def make_page(*rows, version=7, more='false'):
    return (
        f'{{"rows": [{", ".join(rows)}], "row_version": {version},'
        f' "has_more": {more}}}'
    )


def replace_in_row(name, odd):
    changed = json.dumps({**GOOD_ROW, 'key': 'b', name: None})
    return changed.replace(f'"{name}": null', f'"{name}": {odd}')


def read(store):
    return asyncio.run(store.read_table('members'))


@pytest.mark.parametrize('odd', ODD_FIELDS.values(), ids=ODD_FIELDS)
@pytest.mark.parametrize('name', ['key', 'value', 'row_version'])
def test_odd_row_leaves_the_others_of_its_page(name, odd):
    """Guards against a row that hides all others, or ends their reader."""
    if name == 'key' and odd == ODD_VALUES['line end']:
        odd = json.dumps('x' * 201)
    page = read(
        make_store(make_page(replace_in_row(name, odd), ENCODED_ROW, odd))
    )
    contents = {row.key: row.content for row in page.rows}
    assert contents.pop('a') == b'content'
    assert set(contents.values()) == {b''}


@pytest.mark.parametrize('odd', [*ODD_VALUES.values(), 'null', '"7"', '0.5'])
def test_odd_version_of_a_page_is_refused(odd):
    """Guards against an error that ends the task which reads the store."""
    with pytest.raises(StoreError):
        read(make_store(make_page(ENCODED_ROW, version=odd)))


@pytest.mark.parametrize('body', ['', '[]', NESTED, '{}', '{"rows": 5}'])
def test_odd_response_is_refused(body):
    with pytest.raises(StoreError):
        read(make_store(body))


def test_page_that_is_repeated_ends_the_read():
    """Guards against a read that goes on for ever and fills the memory."""
    store = make_store(make_page(ENCODED_ROW, more='true'))
    with pytest.raises(StoreError, match='do not end'):
        read(store)
    assert len(store._client.targets) == 2


def test_read_goes_on_after_a_page_that_ends_with_an_odd_row():
    """Guards against an odd key that hides the rows after it."""
    odd = replace_in_row('key', r'"\ud800"')
    store = make_store(
        make_page(ENCODED_ROW, odd, more='true'),
        make_page(odd, json.dumps({**GOOD_ROW, 'key': 'c'})),
    )
    keys = [row.key for row in read(store).rows]
    assert keys == ['a', '', '', 'c']
    assert store._client.targets[-1].endswith('from=a%00')


@pytest.mark.parametrize('status', [200, 412])
@pytest.mark.parametrize('odd', [NESTED, '{}', '5', '{"rows": [5]}'])
def test_odd_response_to_a_write_is_a_store_error(status, odd):
    """Guards against an error that ends the task which writes the record."""
    store = make_store(odd, status=status)
    with pytest.raises(StoreError):
        asyncio.run(store.write_row('members', 'a', b'x', 5))


def test_conflict_names_the_version_of_the_row():
    body = make_page(replace_in_row('row_version', '9'), '5', ENCODED_ROW)
    store = make_store(body, status=412)
    with pytest.raises(RowChangedError) as raised:
        asyncio.run(store.write_row('members', 'a', b'x', 4))
    assert raised.value.version == 5


@settings(max_examples=200, derandomize=True, deadline=None)
@given(ANY_JSON, ANY_JSON)
def test_any_row_raises_no_other_error(row, odd):
    """Guards against errors that the reader of the store does not handle."""
    fields = {'rows': [row, GOOD_ROW, {**GOOD_ROW, 'key': odd}], 'x': odd}
    body = json.dumps({**fields, 'row_version': odd})
    for status in (200, 412):
        store = make_store(body, status=status)
        with contextlib.suppress(StoreError):
            asyncio.run(store.watch_table('members', 1, 0))
        with contextlib.suppress(StoreError):
            asyncio.run(store.write_row('members', 'a', b'x', 5))


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.binary(max_size=60))
def test_any_bytes_raise_the_project_error(content):
    with pytest.raises(StoreError):
        read(make_store(content.decode('latin-1')))
