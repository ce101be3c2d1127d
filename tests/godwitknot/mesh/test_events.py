"""The log keeps failures, is bounded and never blocks on its reader."""

import os
import re

import pytest

from godwitknot.memory.ledger import Ledger
from godwitknot.mesh.events import EventLog
from godwitknot.mesh.telemetry import Telemetry


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_reader_that_does_not_read_costs_lines_not_time(clock, pipe):
    """Guards against a blocked write, which would stall every request."""
    _, writer = pipe
    log = EventLog('node-1', clock, writer)
    log.prepare()
    for _ in range(20):
        for number in range(1000):
            log.write('request refused', request=f'a-{number}', pad='x' * 50)
        log.flush()
    assert len(log._buffered) <= 2000
    assert log._dropped > 0


def test_backlog_is_bounded_and_charged(clock, pipe):
    """Guards against long lines that take a node over its memory limit."""
    reader, writer = pipe
    ledger = Ledger()
    telemetry = Telemetry()
    log = EventLog('node-1', clock, writer, ledger.log, telemetry)
    log.prepare()
    for number in range(200):
        log.write('unexpected error', detail='x' * 20000)
        if not number % 10:
            log.flush()
    assert 900000 < ledger.held <= 1048576
    metrics = telemetry.render().decode()
    dropped = int(float(metrics.rpartition('dropped_total ')[2].split()[0]))
    text = b''
    while ledger.held:
        text += os.read(reader, 65536)
        log.flush()
    text += os.read(reader, 65536)
    assert text.count(b'unexpected error') + dropped == 200
    counts = re.findall(rb'"lines":(\d+)', text)
    assert sum(map(int, counts)) == dropped


def test_dropped_lines_are_counted_in_a_line(clock, pipe):
    reader, writer = pipe
    log = EventLog('node-1', clock, writer)
    log.prepare()
    for _ in range(3000):
        log.write('request refused')
    text = b''
    while b'lines dropped' not in text:
        log.flush()
        text += os.read(reader, 65536)
    assert b'"lines":1000' in text


def test_good_requests_are_sampled_and_failures_are_not(clock, pipe):
    reader, writer = pipe
    log = EventLog('node-1', clock, writer)
    for number in range(100):
        log.write_good('request answered', request=f'good-{number}')
        log.write('request refused', request=f'bad-{number}')
    log.flush()
    text = os.read(reader, 65536)
    assert text.count(b'good-') == 20
    assert text.count(b'bad-') == 100
