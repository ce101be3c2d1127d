"""Copies of the configuration between nodes are counted."""

import json
import random
import zlib

import pytest

from bench.meshfleet import make_route
from godwitknot.control.compression import compress
from godwitknot.mesh.configurationcopies import ConfigurationCopies
from godwitknot.mesh.messages import Digest, DigestReply
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.mesh.transfers import Transfer
from godwitknot.platform.dialect import PlatformDialect
from godwitknot.units import Address
from test_storesync import NumberDialect

PEER = Address('10.0.1.1', 1)


@pytest.fixture
def runtime(clock, log):
    return Runtime(clock, log, Telemetry(), random.Random(1))


@pytest.fixture
def copies(runtime):
    return ConfigurationCopies(
        ConfigurationHolder(NumberDialect(), runtime.log), runtime
    )


def make_digest(**fields):
    return Digest(PEER, (), 0, **fields)


def adopt(copies, copy, **fields):
    copies.adopt_copy(DigestReply((), (), copy, **fields))


def test_copies_to_and_from_nodes_are_counted(copies, runtime):
    """Guards against traffic between nodes that no metric explains."""
    adopt(copies, b'0009')
    copies.take_copy(make_digest())
    text = runtime.telemetry.render().decode()
    for direction in ('sent', 'received'):
        name = f'godwitknot_configuration_{{}}_{direction}_total'
        assert f'{name.format("copies")} 1.0' in text
        assert f'{name.format("bytes")} 4.0' in text


def test_partial_copy_of_a_node_is_logged(copies, logged):
    """Guards against wasted traffic between nodes that no line shows."""
    transfer = Transfer(1)
    copies.report_failed_transfer(PEER, transfer)
    assert not logged()
    transfer.received_bytes = 5000
    copies.report_failed_transfer(PEER, transfer)
    line = logged()
    assert '"configuration copy given up","origin":"peer"' in line
    assert '"received_bytes":5000,"peer":"10.0.1.1:1"' in line


def make_large_source():
    """Return a configuration of 1,400 routes, as the operator writes it."""
    rng = random.Random(1)
    routes = {
        f'r-{rng.randbytes(4).hex()}': make_route(
            f'/{rng.randbytes(5).hex()}/', 'idempotent', 'booking'
        )
        for _ in range(1400)
    }
    document = {
        'version': 'r9',
        'routes': routes,
        'services': {'booking': {'health_check': '/health'}},
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1000000,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }
    return json.dumps(document).encode()


def build_platform_copies(runtime):
    holder = ConfigurationHolder(PlatformDialect(), runtime.log)
    return holder, ConfigurationCopies(holder, runtime)


def test_large_configuration_takes_little_of_a_link(runtime):
    """Guards against copies that fill the links of a region for seconds.

    47 nodes behind 12 Mbit/s each had to receive 0.36 MB.
    """
    source = make_large_source()
    sender_holder, sender = build_platform_copies(runtime)
    sender_holder.adopt(source, 'store')
    copy, compressed = sender.take_copy(make_digest(accept_compressed=True))
    assert compressed
    assert len(copy) < len(source) / 4
    receiver_holder, receiver = build_platform_copies(runtime)
    adopt(receiver, copy, compressed=True)
    assert receiver_holder.current.source == source


def test_version_is_compressed_once(runtime, monkeypatch):
    """Guards against an event loop that compresses for each peer."""
    calls = []

    def count_and_compress(body):
        calls.append(len(body))
        return compress(body)

    monkeypatch.setattr(
        f'{ConfigurationCopies.__module__}.compress', count_and_compress
    )
    holder, copies = build_platform_copies(runtime)
    holder.adopt(make_large_source(), 'store')
    for _ in range(3):
        assert copies.take_copy(make_digest(accept_compressed=True))[1]
    assert len(calls) == 1
    newer = make_large_source().replace(b'"r9"', b'"r10"')
    holder.adopt(newer, 'store')
    copy, _ = copies.take_copy(make_digest(accept_compressed=True))
    assert zlib.decompress(copy) == newer


def test_older_node_gets_a_plain_copy(copies):
    """Guards against copies that nodes of an earlier release cannot read."""
    source = b'9'.rjust(400)
    adopt(copies, source)
    assert copies.take_copy(make_digest()) == (source, False)


@pytest.mark.parametrize(
    'content',
    [
        b'not compressed',
        zlib.compress(b'0009' * 100)[:-3],
        zlib.compress(b'0' * 100_000_000),
    ],
    ids=['malformed', 'truncated', 'too-large'],
)
def test_unreadable_compressed_copy_is_logged(copies, runtime, logged, content):
    """Guards against a copy that ends the node or fills its memory."""
    adopt(copies, content, compressed=True)
    assert '"event":"configuration unreadable"' in logged()
