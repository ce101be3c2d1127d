"""The log keeps failures, is bounded and never blocks on its reader."""

import os

import pytest

from godwitknot.mesh.events import EventLog


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
