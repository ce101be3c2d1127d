"""Reads of the store over narrow and silent links."""

import asyncio
import threading
import time

import pytest

from godwitknot.errors import StoreDownError
from godwitknot.mesh.httpclient import HttpClient
from godwitknot.platform.store import PlatformStore
from godwitknot.units import Address
from standins.faultylink import FaultyLink
from standins.metadatastore import MetadataStore, start_store
from standins.ports import reserve_addresses

# A configuration of 1,400 routes has this size.
CONFIGURATION = b'x' * 360_000
# Carries the configuration, with its encoding, in 5 s.
BYTES_PER_SECOND = 100_000


@pytest.fixture
def link():
    """A narrow link to a store that holds a large configuration."""
    store = MetadataStore()
    store.put('op', 'config', CONFIGURATION)
    server = start_store(store)
    address = reserve_addresses(1)[0]
    link = FaultyLink(address, Address('127.0.0.1', server.server_address[1]))
    link.bytes_per_second = BYTES_PER_SECOND
    link.start()
    yield link
    server.shutdown()


def read_configuration(link):
    store = PlatformStore(HttpClient(1), link.address)
    return asyncio.run(store.read_configuration())


def cut_after(link, seconds):
    def cut():
        time.sleep(seconds)
        link.cut_backward = True

    threading.Thread(target=cut, daemon=True).start()


def test_read_that_falls_silent_reports_what_arrived(link):
    """Guards against outages whose wasted traffic is not known."""
    cut_after(link, 1)
    with pytest.raises(StoreDownError) as failure:
        read_configuration(link)
    assert 0 < failure.value.received_bytes < len(CONFIGURATION)


def test_configuration_arrives_over_a_narrow_link(link):
    """Guards against reads that are given up although data arrives.

    On a shared link each of them began again, and none ended.
    """
    page = read_configuration(link)
    assert [row.content for row in page.rows] == [CONFIGURATION]


def test_change_arrives_over_a_narrow_link(link):
    """Guards against the same in the change feed."""
    store = PlatformStore(HttpClient(1), link.address)
    page = asyncio.run(store.watch_configuration(0, 0.5))
    assert [row.content for row in page.rows] == [CONFIGURATION]


def test_silent_store_is_given_up(link):
    """Guards against a node that waits for a store that never responds."""
    link.cut_backward = True
    started = time.monotonic()
    with pytest.raises(StoreDownError):
        read_configuration(link)
    assert 2 <= time.monotonic() - started < 4
