import contextlib
import threading

import pytest
from hypothesis import stateful
from hypothesis import strategies as st
from statemachines import run_machine

from godwitknot.atmostonce.claimrows import ClaimRequest, ClaimState
from godwitknot.atmostonce.claims import ClaimManager, ClaimPermit
from godwitknot.atmostonce.runs import LOST_RESPONSE, StoredResponse
from godwitknot.atmostonce.tickets import Owner
from godwitknot.clock import ManualClock
from godwitknot.errors import ConflictError, LostAnswerError, StoreDownError
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.storage.store import TableService
from godwitknot.storage.storeclient import make_write
from godwitknot.storage.writebudget import WriteBudget
from standins.memorystore import MemoryTables

DONE = StoredResponse(201, (('X', 'y'),), b'booked')
STORE_DOWN = (Code.STORE_DOWN, Outcome.MAY_HAVE_RUN)


class FaultyTables(TableService):
    """In-memory table service; each call consumes one scripted fault."""

    def __init__(self):
        self.rows = MemoryTables()
        self.scripted_faults = []
        self.delayed_writes = []
        self.writes = 0

    def next_fault(self):
        return self.scripted_faults.pop(0) if self.scripted_faults else 'ok'

    def read(self, key):
        if self.next_fault() == 'down':
            raise StoreDownError('down')
        return self.rows.read(key)

    def scan(self, prefix):
        return self.rows.scan(prefix)

    def write(self, writes):
        self.writes += 1
        fault = self.next_fault()
        if fault == 'down':
            raise StoreDownError('down')
        if fault == 'late':
            self.delayed_writes.append(writes)
        else:
            self.rows.write(writes)
        if fault != 'ok':
            raise LostAnswerError(fault)


def request(key='k', digest='d', max_wait=0, service='old-booking'):
    return ClaimRequest('acme', key, service, digest, max_wait)


def make_manager(
    tables, name='n1', clock=None, rate=1000.0, manager_class=ClaimManager
):
    clock = clock or ManualClock()
    return manager_class(
        Owner(name, 1), tables, clock, WriteBudget(rate, clock)
    )


def refusal(action):
    with pytest.raises(RefusalError) as caught:
        action()
    return (caught.value.code, caught.value.outcome)


def run(permit):
    permit.before_send()
    permit.finish(DONE)
    permit.manager.flush()


def test_another_sidecar_replays_the_first_answer(platform):
    """Guards against a second run after a migration or a node failure."""
    run(make_manager(platform.tables).begin(request()))
    other = make_manager(platform.tables, 'n2')
    assert other.begin(request(service='new-booking')) == DONE
    assert platform.application.counts['POST /tables/write'] == 3
    assert refusal(lambda: other.begin(request(digest='e'))) == (
        Code.KEY_REUSED,
        Outcome.MAY_HAVE_RUN,
    )


def test_another_sidecar_waits_for_the_first_answer(platform):
    permit = make_manager(platform.tables).begin(request())
    other = make_manager(platform.tables, 'n2')
    assert refusal(lambda: other.begin(request())) == (
        Code.DEADLINE_PASSED,
        Outcome.MAY_HAVE_RUN,
    )
    timer = threading.Timer(0.2, run, [permit])
    timer.start()
    assert other.begin(request(max_wait=60)) == DONE
    timer.join()


def test_the_local_book_answers_while_the_store_is_down():
    tables = FaultyTables()
    manager = make_manager(tables)
    run(manager.begin(request()))
    tables.scripted_faults = ['down', 'down']
    assert manager.begin(request()) == DONE
    assert refusal(lambda: manager.begin(request('other'))) == STORE_DOWN


def test_an_answer_is_written_when_the_store_is_back():
    tables = FaultyTables()
    manager = make_manager(tables)
    permit = manager.begin(request())
    tables.scripted_faults = ['down']
    run(permit)
    manager.flush()
    assert make_manager(tables, 'n2').begin(request()) == DONE


def test_an_unsent_claim_is_released():
    tables = FaultyTables()
    make_manager(tables).begin(request()).release()
    assert isinstance(make_manager(tables, 'n2').begin(request()), ClaimPermit)


def test_a_release_that_failed_is_made_up_for_by_its_owner_alone():
    """Guards against a takeover of a claim whose request may have been sent."""
    tables = FaultyTables()
    manager = make_manager(tables)
    permit = manager.begin(request())
    tables.scripted_faults = ['down']
    permit.release()
    other = make_manager(tables, 'n2')
    assert refusal(lambda: other.begin(request()))[1] is Outcome.MAY_HAVE_RUN
    run(manager.begin(request()))
    assert other.begin(request()) == DONE


def test_a_lost_claim_answer_is_settled_by_reading():
    tables = FaultyTables()
    tables.scripted_faults = ['lost']
    assert isinstance(make_manager(tables).begin(request()), ClaimPermit)


def test_nothing_is_sent_after_the_lease():
    """Guards against a send after the process paused beyond the lease."""
    clock = ManualClock()
    permit = make_manager(FaultyTables(), clock=clock).begin(request())
    clock.advance(10)
    assert refusal(permit.before_send) == (
        Code.CLAIM_LAPSED,
        Outcome.MAY_HAVE_RUN,
    )


def test_claims_stay_within_the_write_budget():
    """Guards against more writes than the table service can handle."""
    tables = FaultyTables()
    clock = ManualClock()
    manager = make_manager(tables, clock=clock, rate=4.0)
    run(manager.begin(request('a')))
    run(manager.begin(request('b')))
    over_budget = refusal(lambda: manager.begin(request('c')))
    assert over_budget == (Code.SHED, Outcome.NOT_RUN)
    assert tables.writes == 4
    other = make_manager(tables, 'n2', clock, rate=float(0))
    assert other.begin(request('a')) == DONE
    clock.advance(1)
    run(manager.begin(request('c')))


def test_long_keys_are_refused_and_odd_ones_kept_apart():
    manager = make_manager(FaultyTables())
    too_long = refusal(lambda: manager.begin(request('x' * 256)))
    assert too_long == (Code.KEY_INVALID, Outcome.NOT_RUN)
    assert (
        request('a/b').row_key
        != ClaimRequest('acme/a', 'b', 's', 'd', 0).row_key
    )


FAULT = st.sampled_from(('ok', 'down', 'lost', 'late'))
FAULTS = st.just([]) | st.just([]) | st.lists(FAULT, max_size=8)


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Two sidecars, one faulty store, and callers that resend."""

    claims_class = ClaimManager

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.tables = FaultyTables()
        self.managers = [self.start(name) for name in ('n0', 'n1')]
        self.permits = []
        self.ran = {}

    def start(self, name):
        return make_manager(
            self.tables, name, self.clock, 1e9, self.claims_class
        )

    @stateful.rule(
        node_index=st.integers(0, 1),
        key=st.sampled_from(('a', 'b')),
        faults=FAULTS,
        how=st.sampled_from(('hold', 'answer', 'lose', 'shed')),
    )
    def resend(self, node_index, key, faults, how):
        before = self.ran.get(key, 0)
        self.tables.scripted_faults = list(faults)
        try:
            found = self.managers[node_index].begin(request(key))
        except RefusalError as refused:
            if refused.outcome is Outcome.NOT_RUN:
                assert not before, 'false "not run"'
            return
        if isinstance(found, StoredResponse):
            assert self.ran.get(key) == 1, 'response without a run'
            return
        self.permits.append((found, key, node_index, self.clock.now()))
        if how != 'hold':
            self.proceed(how, len(self.permits) - 1, [])

    @stateful.rule(
        how=st.sampled_from(('answer', 'lose', 'shed')),
        pick=st.integers(0, 3),
        faults=FAULTS,
    )
    def proceed(self, how, pick, faults):
        if not self.permits:
            return
        self.tables.scripted_faults = list(faults)
        permit, key, _, claimed_at = self.permits.pop(pick % len(self.permits))
        try:
            permit.before_send()
        except RefusalError:
            permit.release()
            return
        if how == 'shed':
            permit.release()
            return
        assert self.clock.now() < claimed_at + 10, 'sent after the lease'
        self.ran[key] = self.ran.get(key, 0) + 1
        assert self.ran[key] == 1, 'ran twice'
        permit.finish(DONE if how == 'answer' else LOST_RESPONSE)

    @stateful.rule()
    def deliver_late_writes(self):
        for writes in self.tables.delayed_writes:
            with contextlib.suppress(ConflictError):
                self.tables.rows.write(writes)
        self.tables.delayed_writes = []

    @stateful.rule(
        node_index=st.integers(0, 1), seconds=st.sampled_from((1, 11))
    )
    def pass_time(self, node_index, seconds):
        self.clock.advance(seconds)
        self.managers[node_index].flush()

    @stateful.rule(node_index=st.integers(0, 1))
    def crash(self, node_index):
        self.permits = [
            entry for entry in self.permits if entry[2] != node_index
        ]
        self.managers[node_index] = self.start(f'n{node_index}')


class EagerDesk(ClaimManager):
    """Broken: takes over the claim of another sidecar."""

    def _is_free(self, row):
        return row.columns.get('state') != ClaimState.ANSWERED


class AssumingDesk(ClaimManager):
    """Broken: treats a claim with a lost response as made."""

    def _try_claim(self, claim_request, permit, expected):
        try:
            return super()._try_claim(claim_request, permit, expected)
        except RefusalError:
            write = make_write(claim_request.row_key, expected, {})
            return ClaimPermit(self, permit, write)


class TimelessDesk(ClaimManager):
    """Broken: sends a request after the lease of its claim."""

    lease = float('inf')


class ForgettingDesk(ClaimManager):
    """Broken: releases a claim although its request was sent."""

    def queue_write(self, write):
        released = {**write.columns, 'state': ClaimState.RELEASED}
        super().queue_write(make_write(write.key, write.expected, released))


def search(claims_class, examples=400):
    machine = type('Machine', (ClaimMachine,), {'claims_class': claims_class})
    run_machine(machine, examples, steps=20, report_multiple_bugs=False)


def test_no_interleaving_runs_a_chosen_key_twice():
    search(ClaimManager)


@pytest.mark.parametrize(
    'broken', [EagerDesk, AssumingDesk, TimelessDesk, ForgettingDesk]
)
def test_the_interleavings_find_a_broken_claim(broken):
    """Guards against a state machine that cannot detect a second run."""
    with pytest.raises(AssertionError):
        # The search ends at the first violation. How many examples this takes
        # depends on the modules that Hypothesis finds loaded.
        search(broken, examples=10000)
