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


class Crowd:
    """Threads that wait at a gate with one slot, and what became of them."""

    def __init__(self, order=None, slots=1):
        self.clock = ManualClock()
        self.gate = ConcurrencyLimiter('s', slots, self.clock, order)
        self.served = []
        self.refused = {}
        self._threads = []
        self._holders = []

    def request(self, name, *, account='', priority=5, within=100):
        deadline = self.clock.now() + within
        return SlotRequest(name, 'lookup', account, priority, deadline)

    def hold(self, name):
        holder = self.gate.hold_slot(self.request(name))
        holder.__enter__()
        self._holders.append(holder)

    def queue(self, name, **options):
        before = self.gate.load().queued
        options.setdefault('within', 100)
        request = self.request(name, **options)
        thread = threading.Thread(target=self._enter, args=(request,))
        thread.start()
        self._threads.append(thread)
        while thread.is_alive() and self.gate.load().queued == before:
            if self.refused or self.served:
                break

    def finish(self):
        for holder in self._holders:
            holder.__exit__(None, None, None)
        for thread in self._threads:
            thread.join()

    def _enter(self, request):
        try:
            with self.gate.hold_slot(request):
                self.served.append(request.request_id)
        except RefusalError as refusal:
            self.refused[request.request_id] = refusal


@pytest.mark.parametrize(
    ('order', 'expected'),
    [(FifoOrder(), ['a', 'b']), (EarliestDeadlineOrder(), ['b', 'a'])],
)
def test_queue_order(order, expected):
    crowd = Crowd(order)
    crowd.hold('running')
    crowd.queue('a', within=90)
    crowd.queue('b', within=50)
    assert crowd.gate.load() == Load(1, 2, 1)
    crowd.finish()
    assert crowd.served == expected
    assert crowd.gate.load() == Load(0, 0, 1)


def test_lowest_priority_is_shed_first():
    """Guards against payments refused while listings keep their place."""
    crowd = Crowd()
    crowd.hold('running')
    crowd.queue('listing', priority=8)
    crowd.queue('payment-1', priority=1)
    crowd.queue('payment-2', priority=1)
    crowd.finish()
    assert crowd.refused['listing'].code == Code.SHED
    assert crowd.refused['listing'].outcome == Outcome.NOT_RUN
    assert sorted(crowd.served) == ['payment-1', 'payment-2']


def test_largest_account_loses_its_newest_entry():
    """Guards against one account that fills the queue of all others."""
    crowd = Crowd()
    crowd.hold('running')
    crowd.queue('greedy-1', account='greedy')
    crowd.queue('greedy-2', account='greedy')
    crowd.queue('small', account='small')
    crowd.finish()
    assert list(crowd.refused) == ['greedy-2']
    assert crowd.served == ['greedy-1', 'small']


def test_full_queue_refuses_the_newcomer_of_equal_rank():
    crowd = Crowd()
    crowd.hold('running')
    for name in ('a', 'b'):
        crowd.queue(name, account=name)
    with pytest.raises(RefusalError) as caught:
        with crowd.gate.hold_slot(crowd.request('c', account='c')):
            pytest.fail('entered a full gate')
    assert caught.value.code == Code.QUEUE_FULL
    crowd.finish()


def test_refused_at_once_when_the_deadline_cannot_be_met():
    """Guards against work that is late before it starts."""
    crowd = Crowd()
    for number in range(5):
        with crowd.gate.hold_slot(crowd.request(f'r{number}')):
            crowd.clock.advance(2)
    crowd.hold('running')
    with pytest.raises(RefusalError) as caught:
        crowd.gate.hold_slot(crowd.request('late', within=3)).__enter__()
    assert caught.value.code == Code.DEADLINE_TOO_SHORT
    assert caught.value.outcome == Outcome.NOT_RUN
    assert crowd.gate.load().queued == 0
    crowd.finish()


def test_slow_reader_does_not_raise_the_service_time():
    """Guards against refusals because earlier callers read slowly."""
    crowd = Crowd()
    for number in range(5):
        with crowd.gate.hold_slot(crowd.request(f'r{number}')) as slot:
            slot.note_answered()
            crowd.clock.advance(60)
    assert crowd.gate.median_service('lookup') == 0
    with crowd.gate.hold_slot(crowd.request('next', within=1)):
        assert crowd.gate.load().running == 1


def test_expired_entry_does_not_get_a_slot():
    """Guards against running a request whose caller gave up."""
    crowd = Crowd()
    crowd.hold('running')
    crowd.queue('expires', within=50)
    crowd.clock.advance(60)
    crowd.queue('lives')
    crowd.finish()
    assert crowd.refused['expires'].code == Code.DEADLINE_PASSED
    assert crowd.served == ['lives']


def test_cancel_while_queued_frees_the_place():
    crowd = Crowd()
    crowd.hold('running')
    crowd.queue('gone')
    assert crowd.gate.cancel('gone')
    assert not crowd.gate.cancel('gone')
    crowd.finish()
    assert crowd.refused['gone'].code == Code.CANCELLED


def test_slots_are_never_exceeded():
    """Guards against a slot handed over twice under concurrency."""
    crowd = Crowd(slots=3)
    inside = threading.Semaphore(3)
    overruns = []

    def work(number):
        for turn in range(50):
            request = crowd.request(f'{number}-{turn}', account=str(number))
            with (
                contextlib.suppress(RefusalError),
                crowd.gate.hold_slot(request),
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
    assert crowd.gate.load() == Load(0, 0, 3)
