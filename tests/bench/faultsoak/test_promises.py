"""Guards against fault soak checks that miss a kind of violation."""

import attrs
import pytest

from bench.faultsoak.callers import Call, Probe
from bench.faultsoak.fleet import Departure, Exit
from bench.faultsoak.promises import History, check_history
from bench.faultsoak.script import Span
from standins.meshserver import Run

BOOKING_CALL = Call(
    attempt_id='a',
    method='POST',
    target='/book/a',
    body=b'a',
    node='side-1',
    process=1,
    start=10,
    end=10.1,
    status=200,
    answered_id='a',
    sealed=True,
    content=b'i-1 ran /book/a',
)
RUN = Run(10.05, 'i-1', 'a', 'POST', '/book/a', b'a', 'booking', 3000)


def find_violations(calls=(BOOKING_CALL,), runs=(RUN,), **changes):
    history = History(
        calls=list(calls),
        probes=[],
        runs=list(runs),
        spans=[],
        departures=[],
        exits=[],
        versions={},
        planned=(0, 0),
    )
    for name, value in changes.items():
        setattr(history, name, value)
    return {violation.promise for violation in check_history(history)}


def test_kept_promises_give_no_violation():
    assert find_violations() == set()


def test_second_run_of_a_booking_is_found():
    assert find_violations(runs=[RUN, RUN]) == {'at most once'}


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_false_not_run_is_found(status):
    call = attrs.evolve(BOOKING_CALL, status=status)
    assert find_violations(calls=[call]) == {'true not run'}


def test_unknown_outcome_is_allowed():
    assert (
        find_violations(calls=[attrs.evolve(BOOKING_CALL, status=502)]) == set()
    )


def test_answer_to_another_request_is_found():
    call = attrs.evolve(BOOKING_CALL, answered_id='b')
    assert find_violations(calls=[call]) == {'own answer'}


def test_short_answer_is_found():
    call = attrs.evolve(BOOKING_CALL, content=b'i-1 ran')
    assert find_violations(calls=[call]) == {'whole answer'}


def test_run_that_nobody_asked_for_is_found():
    assert find_violations(calls=[]) == {'nobody asked'}


def test_changed_body_is_found():
    run = attrs.evolve(RUN, body=b'b')
    assert find_violations(runs=[run]) == {'changed request'}


def test_work_for_a_leaving_server_is_found():
    departures = [Departure(7, 'i-1')]
    assert find_violations(departures=departures) == {'drain'}
    # A relay may have delayed the request.
    spans = [Span('hold_up', 5, 9)]
    assert find_violations(departures=departures, spans=spans) == set()


def test_request_cut_by_planned_work_is_found():
    call = attrs.evolve(BOOKING_CALL, status=0)
    assert find_violations(calls=[call]) == set()
    expected = {'planned work cuts nothing'}
    assert find_violations(calls=[call], planned=(9, 12)) == expected


def test_step_back_to_an_older_version_is_found():
    newer = Probe(1, 6, 10, 10.1, 200)
    older = Probe(1, 5, 11, 11.1, 200)
    assert find_violations(probes=[newer, older]) == {'never back'}
    assert (
        find_violations(probes=[newer, attrs.evolve(older, process=2)]) == set()
    )


def test_route_that_is_lost_again_is_found():
    newer = Probe(1, 6, 10, 10.1, 200)
    lost = Probe(1, 6, 11, 11.1, 404)
    assert find_violations(probes=[newer, lost]) == {'never back'}
    assert find_violations(probes=[newer, lost], versions={7: 10.5}) == set()


def test_process_that_ends_by_itself_is_found():
    assert find_violations(exits=[Exit('side-1', 1)]) == {'exit'}
    stopped = Exit('side-1', 0, frozenset((0,)))
    assert find_violations(exits=[stopped]) == set()
