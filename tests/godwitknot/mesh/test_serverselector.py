"""Servers that report little doubt are offered requests before others."""

import random

import attrs
import pytest
from test_dispatcher import LOCAL_MEMBER

from godwitknot.mesh.memberdirectory import Directory
from godwitknot.mesh.messages import Load
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverselector import Reach, ServerSelector
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.units import Address

SERVERS = ('s2', 's3', 's4')
LITTLE, USUAL, MUCH = 0.01, 0.2, 0.6


@pytest.fixture
def selector(placement, clock, log):
    """Return a selector whose servers have each reported the usual doubt."""
    directory = Directory(LOCAL_MEMBER)
    directory.merge(
        attrs.evolve(
            LOCAL_MEMBER,
            node=f'node-{server}',
            address=Address(f'10.0.0.{server[1:]}', 1),
            service='booking',
            server_id=server,
        )
        for server in SERVERS
    )
    runtime = Runtime(clock, log, Telemetry(), random.Random(1))
    selector = ServerSelector(placement, directory, None, runtime)
    report(selector, dict.fromkeys(SERVERS, USUAL))
    return selector


def report(selector, doubts):
    """Let servers answer a request with their doubt."""
    for server, doubt in doubts.items():
        address = Address(f'10.0.0.{server[1:]}', 1)
        target = selector.find('booking', address)
        selector.record_sent(target)
        selector.record_ended(target, Load(0, 0, 4, doubt))


def choose(selector):
    target = selector.choose(
        'booking', set(), avoided=False, reach=Reach.OWN_REGION
    )
    return target.member.server_id


def test_server_with_the_freshest_answer_comes_first(selector, clock):
    """Guards against orders for servers that may hang beside a proven one."""
    clock.advance(0.1)
    report(selector, {'s3': LITTLE, 's4': MUCH})
    assert {choose(selector) for _ in range(20)} == {'s3'}


def test_old_report_does_not_keep_requests_away(selector, clock):
    """Guards against servers that are never asked again after a hang."""
    report(selector, {'s2': MUCH})
    assert 's2' not in {choose(selector) for _ in range(20)}
    clock.advance(12)
    assert {choose(selector) for _ in range(60)} == set(SERVERS)
