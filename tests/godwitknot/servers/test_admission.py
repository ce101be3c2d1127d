import contextlib
import threading

import pytest

from godwitknot.clock import ManualClock
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.servers.admission import (
    ConcurrencyLimiter,
    EarliestDeadlineOrder,
    FifoOrder,
    Load,
    SlotRequest,
)


class LimiterCase:
    """Threads that request slots of a limiter, and their results."""

    def __init__(self, order=None, slots=1):
        self.clock = ManualClock()
        self.limiter = ConcurrencyLimiter('s', slots, self.clock, order)
        self.served = []
        self.refused = {}
        self._threads = []
        self._slot_contexts = []

    def request(self, name, *, account='', priority=5, within=100):
        deadline = self.clock.now() + within
        return SlotRequest(name, 'lookup', account, priority, deadline)

    def hold(self, name):
        slot_context = self.limiter.hold_slot(self.request(name))
        slot_context.__enter__()
        self._slot_contexts.append(slot_context)

    def queue(self, name, **options):
        before = self.limiter.load().queued
        options.setdefault('within', 100)
        request = self.request(name, **options)
        thread = threading.Thread(target=self._run, args=(request,))
        thread.start()
        self._threads.append(thread)
        while thread.is_alive() and self.limiter.load().queued == before:
            if self.refused or self.served:
                break

    def finish(self):
        for slot_context in self._slot_contexts:
            slot_context.__exit__(None, None, None)
        for thread in self._threads:
            thread.join()

    def _run(self, request):
        try:
            with self.limiter.hold_slot(request):
                self.served.append(request.request_id)
        except RefusalError as refusal:
            self.refused[request.request_id] = refusal


@pytest.mark.parametrize(
    ('order', 'expected'),
    [(FifoOrder(), ['a', 'b']), (EarliestDeadlineOrder(), ['b', 'a'])],
)
def test_queue_order(order, expected):
    """Guards against slots that are not assigned in the configured order."""
    case = LimiterCase(order)
    case.hold('running')
    case.queue('a', within=90)
    case.queue('b', within=50)
    assert case.limiter.load() == Load(1, 2, 1)
    case.finish()
    assert case.served == expected
    assert case.limiter.load() == Load(0, 0, 1)


def test_lowest_priority_is_shed_first():
    """Guards against refusing payments while listings stay queued."""
    case = LimiterCase()
    case.hold('running')
    case.queue('listing', priority=8)
    case.queue('payment-1', priority=1)
    case.queue('payment-2', priority=1)
    case.finish()
    assert case.refused['listing'].code == Code.SHED
    assert case.refused['listing'].outcome == Outcome.NOT_RUN
    assert sorted(case.served) == ['payment-1', 'payment-2']


def test_largest_account_loses_its_newest_entry():
    """Guards against one account that fills the queue shared by all."""
    case = LimiterCase()
    case.hold('running')
    case.queue('greedy-1', account='greedy')
    case.queue('greedy-2', account='greedy')
    case.queue('small', account='small')
    case.finish()
    assert list(case.refused) == ['greedy-2']
    assert case.served == ['greedy-1', 'small']


def test_full_queue_refuses_the_newcomer_of_equal_rank():
    """Guards against shedding queued requests for an equal newcomer."""
    case = LimiterCase()
    case.hold('running')
    for name in ('a', 'b'):
        case.queue(name, account=name)
    with pytest.raises(RefusalError) as caught:
        with case.limiter.hold_slot(case.request('c', account='c')):
            pytest.fail('got a slot although the queue was full')
    assert caught.value.code == Code.QUEUE_FULL
    case.finish()


def test_refused_at_once_when_the_deadline_cannot_be_met():
    """Guards against queueing work that cannot meet its deadline."""
    case = LimiterCase()
    for number in range(5):
        with case.limiter.hold_slot(case.request(f'r{number}')):
            case.clock.advance(2)
    case.hold('running')
    with pytest.raises(RefusalError) as caught:
        case.limiter.hold_slot(case.request('late', within=3)).__enter__()
    assert caught.value.code == Code.DEADLINE_TOO_SHORT
    assert caught.value.outcome == Outcome.NOT_RUN
    assert case.limiter.load().queued == 0
    case.finish()


def test_slow_reader_does_not_raise_the_service_time():
    """Guards against refusing requests because earlier callers read slowly."""
    case = LimiterCase()
    for number in range(5):
        with case.limiter.hold_slot(case.request(f'r{number}')) as slot:
            slot.record_response_start()
            case.clock.advance(60)
    assert case.limiter.median_service('lookup') == 0
    with case.limiter.hold_slot(case.request('next', within=1)):
        assert case.limiter.load().running == 1


def test_expired_entry_does_not_get_a_slot():
    """Guards against running a request whose deadline has passed."""
    case = LimiterCase()
    case.hold('running')
    case.queue('expires', within=50)
    case.clock.advance(60)
    case.queue('lives')
    case.finish()
    assert case.refused['expires'].code == Code.DEADLINE_PASSED
    assert case.served == ['lives']


def test_cancel_while_queued_frees_the_place():
    """Guards against cancelled requests that stay queued."""
    case = LimiterCase()
    case.hold('running')
    case.queue('gone')
    assert case.limiter.cancel('gone')
    assert not case.limiter.cancel('gone')
    case.finish()
    assert case.refused['gone'].code == Code.CANCELLED


def test_slots_are_never_exceeded():
    """Guards against assigning a slot twice under concurrency."""
    case = LimiterCase(slots=3)
    inside = threading.Semaphore(3)
    overruns = []

    def work(number):
        for turn in range(50):
            request = case.request(f'{number}-{turn}', account=str(number))
            with (
                contextlib.suppress(RefusalError),
                case.limiter.hold_slot(request),
            ):
                if not inside.acquire(blocking=False):
                    overruns.append(request)
                    continue
                inside.release()

    threads = [threading.Thread(target=work, args=(n,)) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert not overruns
    assert case.limiter.load() == Load(0, 0, 3)
