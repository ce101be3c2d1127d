import json

import pytest

from godwitknot.clock import ManualClock
from godwitknot.declarations.declaration import parse_declaration
from godwitknot.errors import ProtocolError
from godwitknot.operators.budgetreport import format_report, make_report
from godwitknot.operators.requestcounts import (
    RequestCounter,
    merge_snapshots,
    snapshot_from_json,
    snapshot_to_json,
)
from godwitknot.outcomes import Code

TEXT = """
[fleet]
owner = hafnarvagn

[service booking]
floor = 1

[class slot-booking]
service = booking
match = POST /bookings
success = 99%
latency = 90% within 400ms
"""
DECLARATION = parse_declaration(TEXT)
WORK = DECLARATION.classes['slot-booking']


def merge_and_report(clock, *counters):
    raw = [snapshot_to_json(counter.snapshot()) for counter in counters]
    copies = [snapshot_from_json(json.loads(json.dumps(one))) for one in raw]
    merged = merge_snapshots(copies)
    return make_report(DECLARATION, 3, merged, ('lost-1',), clock.wall())


def record_requests(counter, good=0, slow=0, failed=0, refused=()):
    for _ in range(good):
        counter.record_request(WORK, 200, 0.1, None)
    for _ in range(slow):
        counter.record_request(WORK, 404, 0.8, None)
    for _ in range(failed):
        counter.record_request(WORK, 500, 0.1, None)
    for code in refused:
        counter.record_request(WORK, 503, 0, code)


def test_budget_is_computed_over_all_nodes():
    """Guards against a report that counts the requests of one node only."""
    clock = ManualClock(600000)
    first, second = RequestCounter('n1', clock), RequestCounter('n2', clock)
    record_requests(first, good=900, slow=95, failed=2)
    record_requests(
        second, good=1000, refused=(Code.QUEUE_FULL for _ in range(3))
    )
    whole = merge_and_report(clock, first, second)
    success, latency = whole.classes[0].objectives
    assert whole.nodes == ('n1', 'n2')
    assert success.requests == 2000
    assert success.budget_left == pytest.approx(0.75)
    assert [(one.cause, one.count) for one in success.consumers] == [
        ('refused queue-full', 3),
        ('failed', 2),
    ]
    assert latency.achieved == pytest.approx(1 - 95 / 1995)
    assert whole.classes[0].median == pytest.approx(0.1, rel=0.02)
    assert whole.classes[0].high == pytest.approx(0.8, rel=0.02)


def test_burn_rates_of_both_windows_and_expiry():
    """Guards against an old incident that hides or looks like a new one."""
    clock = ManualClock(600000)
    counter = RequestCounter('n1', clock)
    record_requests(counter, good=90, failed=10)
    clock.advance(600)
    record_requests(counter, good=100)
    success = merge_and_report(clock, counter).classes[0].objectives[0]
    assert success.burn_short == 0
    assert success.burn_long == pytest.approx(5)
    assert success.budget_left == pytest.approx(-4)
    clock.advance(3600)
    success = merge_and_report(clock, counter).classes[0].objectives[0]
    assert (success.requests, success.achieved) == (0, None)


def test_faults_of_callers_consume_no_budget():
    """Guards against a caller's bad requests consuming the error budget."""
    clock = ManualClock(600000)
    counter = RequestCounter('n1', clock)
    record_requests(counter, good=1, refused=[Code.BAD_REQUEST, Code.CANCELLED])
    work = merge_and_report(clock, counter).classes[0]
    assert work.excluded == 2
    assert work.objectives[0].budget_left == 1


def test_memory_is_bounded_when_the_wall_clock_jumps():
    """Guards against counts that never expire once the clock is set back."""
    clock = ManualClock(600000)
    counter = RequestCounter('n1', clock)
    for step in range(300):
        record_requests(counter, good=1)
        clock.advance(60 if step != 200 else -9000)
    counts = counter.snapshot().classes['slot-booking']
    assert len(counts.minutes) <= 65
    assert len(counts.latencies) <= 2


def test_malformed_counts_of_a_peer_are_refused():
    with pytest.raises(ProtocolError):
        snapshot_from_json({'nodes': 3, 'classes': []})


def test_report_as_text(snapshot):
    clock = ManualClock(600000)
    counter = RequestCounter('n1', clock)
    record_requests(
        counter, good=1900, slow=95, refused=(Code.SHED for _ in range(5))
    )
    assert format_report(merge_and_report(clock, counter)) == snapshot
