"""Malformed messages of the platform are rejected without a crash."""

import json

import pytest

from godwitknot.errors import PlatformFormatError
from godwitknot.mesh.model import Departure, RouteKind, ServerState
from godwitknot.platform.dialect import PlatformDialect

HEARTBEAT_TARGET = '/api/rpc?call=instances.heartbeat&of=i-1'
HEARTBEAT = {
    'service': 'booking',
    'address': '10.0.0.1:80',
    'zone': 'z1',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'cold_left_ms': 1500,
    'seq': 3,
    'born': 1700000000000,
}
CONFIGURATION = {
    'version': 'r12',
    'routes': {
        'a': {
            'host': 'Shop.example',
            'prefix': '/a/',
            'route_type': 'idempotent',
            'timeout_ms': 5000,
            'target_latency_ms': 1500,
            'priority': 2,
            'traffic_split': [
                {'service': 'x', 'weight': 90},
                {'service': 'y', 'weight': 10},
            ],
            'attempts': 2,
        },
        'b': {
            'host': 'shop.example',
            'prefix': '/a/b/',
            'route_type': 'non_idempotent',
            'timeout_ms': 3000,
            'service': 'x',
        },
    },
    'services': {'x': {'health_check': '/h', 'max_connections': 9}},
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 1000,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
}


@pytest.fixture
def dialect():
    return PlatformDialect()


def read_heartbeat(dialect, **changes):
    body = json.dumps({**HEARTBEAT, **changes}).encode()
    return dialect.read_announcement('POST', HEARTBEAT_TARGET, body)


def test_heartbeat_is_decoded(dialect):
    heartbeat = read_heartbeat(dialect)
    assert heartbeat.server_id == 'i-1'
    assert heartbeat.state is ServerState.READY
    assert 1000 * heartbeat.warm_up_seconds == 1500
    assert heartbeat.sequence == 3


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'resting'},
        {'state': 5},
        {'seq': '3'},
        {'seq': None},
        {'slots': True},
        {'address': 'nowhere'},
        {'address': 7},
        {'service': ['booking']},
        {'born': 'yesterday'},
        {'cold_left_ms': 'soon'},
    ],
)
def test_heartbeat_of_another_writer_names_no_server(dialect, changes):
    with pytest.raises(PlatformFormatError):
        read_heartbeat(dialect, **changes)


@pytest.mark.parametrize('body', [b'', b'[1]', b'\xff\xfe', b'{"service"'])
def test_unreadable_heartbeat_names_no_server(dialect, body):
    with pytest.raises(PlatformFormatError):
        dialect.read_announcement('POST', HEARTBEAT_TARGET, body)


def test_departure_needs_no_body(dialect):
    target = '/api/rpc?call=instances.deregister&of=i-1'
    assert dialect.read_announcement('POST', target, b'') == Departure('i-1', 0)


def test_longest_prefix_selects_the_route(dialect):
    source = json.dumps(CONFIGURATION).encode()
    configuration = dialect.read_configuration(source)
    assert configuration.version == 12
    assert configuration.find_route('shop.example', '/a/b/c').name == 'b'
    assert configuration.find_route('shop.example', '/a/c').name == 'a'
    assert configuration.find_route('shop.example', '/a') is None


def test_kind_decides_what_may_be_repeated(dialect):
    source = json.dumps(CONFIGURATION).encode()
    routes = dialect.read_configuration(source).routes['shop.example']
    kinds = {route.name: route.kind for route in routes}
    assert kinds == {
        'a': RouteKind.IDEMPOTENT,
        'b': RouteKind.AT_MOST_ONCE,
    }


def test_own_fields_replace_what_a_caller_sent(dialect):
    """Guards against callers that choose their service, server or deadline."""
    sent = [
        ('godwitknot-caller-service', 'forged'),
        ('Godwitknot-Expect-Instance', 'forged'),
        ('Godwitknot-Deadline-Ms', '999999'),
        ('X-Kept', 'yes'),
    ]
    fields = dialect.build_server_fields(
        sent, seconds_left=1.5, server_id='i-1', caller_service='booking'
    )
    assert fields == [
        ('X-Kept', 'yes'),
        ('Godwitknot-Deadline-Ms', '1500'),
        ('Godwitknot-Expect-Instance', 'i-1'),
        ('Godwitknot-Caller-Service', 'booking'),
    ]
