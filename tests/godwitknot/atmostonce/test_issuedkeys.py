import contextlib
import threading

import pytest
from hypothesis import stateful
from hypothesis import strategies as st
from statemachines import run_machine

from godwitknot.atmostonce.issuedkeys import IssuedKeyRegistry, Moved
from godwitknot.atmostonce.runs import (
    LOST_RESPONSE,
    MAX_STORED_BODY_BYTES,
    Permit,
    ResponseRecorder,
    RunLimits,
    RunState,
    StoredResponse,
)
from godwitknot.atmostonce.tickets import Owner, Ticket
from godwitknot.clock import ManualClock
from godwitknot.errors import OperationRefusedError, ProtocolError
from godwitknot.outcomes import Code, Outcome, RefusalError

OWNER = Owner('n1', 1)
HEIR = Owner('n2', 7)
DONE = StoredResponse(201, (('X', 'y'),), b'booked')
ENDS = ('hold', 'answer', 'lose', 'shed', 'unsent', 'move')


class SteppedClock(ManualClock):
    """A clock whose wall time can be set back."""

    step = float(0)

    def wall(self):
        return self.now() + self.step


def ticket(nonce='a', owner=OWNER, expires=2000.0, moved=False):
    return Ticket(owner, 's1', 'booking', 'acme', expires, nonce, moved)


def make_registry(clock=None, **limits):
    return IssuedKeyRegistry(OWNER, clock or ManualClock(), RunLimits(**limits))


def refusal(action):
    with pytest.raises(RefusalError) as caught:
        action()
    return (caught.value.code, caught.value.outcome)


def test_a_resend_gets_the_first_answer():
    registry = make_registry()
    with registry.begin(ticket(), 'd', 0) as permit:
        permit.before_send()
        permit.finish(DONE)
    assert registry.begin(ticket(), 'd', 0) == DONE
    assert refusal(lambda: registry.begin(ticket(), 'other', 0)) == (
        Code.KEY_REUSED,
        Outcome.MAY_HAVE_RUN,
    )


def test_a_resend_joins_the_running_request():
    """Guards against a second run while the first one is in progress."""
    registry = make_registry()
    permit = registry.begin(ticket(), 'd', 0)
    joined = []
    thread = threading.Thread(
        target=lambda: joined.append(registry.begin(ticket(), 'd', 60)),
    )
    thread.start()
    permit.finish(DONE)
    thread.join(20)
    assert joined == [DONE]


def test_a_resend_that_cannot_wait_is_not_told_that_it_did_not_run():
    registry = make_registry()
    registry.begin(ticket(), 'd', 0)
    assert refusal(lambda: registry.begin(ticket(), 'd', 0)) == (
        Code.DEADLINE_PASSED,
        Outcome.MAY_HAVE_RUN,
    )


def test_an_error_after_the_send_is_recorded_as_may_have_run():
    """Guards against a second send after the first lost its connection."""
    registry = make_registry()
    permit = registry.begin(ticket(), 'd', 0)
    permit.before_send()
    permit.__exit__(OSError, OSError(), None)
    assert refusal(lambda: registry.begin(ticket(), 'd', 0)) == (
        Code.CONNECTION_LOST,
        Outcome.MAY_HAVE_RUN,
    )


def test_an_unsent_request_may_be_sent_again():
    registry = make_registry()
    registry.begin(ticket(), 'd', 0).__exit__(None, None, None)
    assert isinstance(registry.begin(ticket(), 'd', 0), Permit)


def test_nothing_is_sent_after_the_key_expired():
    """Guards against a send after the process paused beyond the expiry."""
    clock = ManualClock()
    permit = make_registry(clock).begin(ticket(expires=1060), 'd', 0)
    clock.advance(61)
    assert refusal(permit.before_send) == (
        Code.CLAIM_LAPSED,
        Outcome.MAY_HAVE_RUN,
    )


def test_a_transfer_is_recorded_and_followed():
    registry = make_registry()
    with registry.begin(ticket(), 'd', 0) as permit:
        permit.move('gk1.next')
    assert registry.begin(ticket(), 'd', 0) == Moved('gk1.next')


def test_a_full_book_refuses_and_forgets_nothing():
    registry = make_registry(runs=1)
    registry.begin(ticket('a'), 'd', 0).finish(DONE)
    assert refusal(lambda: registry.begin(ticket('b'), 'd', 0)) == (
        Code.QUEUE_FULL,
        Outcome.NOT_RUN,
    )
    assert registry.begin(ticket('a'), 'd', 0) == DONE


def test_large_answers_are_not_kept():
    registry = make_registry(body_bytes=8)
    registry.begin(ticket('a'), 'd', 0).finish(DONE)
    registry.begin(ticket('b'), 'd', 0).finish(DONE)
    assert registry.begin(ticket('a'), 'd', 0) == DONE
    expected = (Code.ANSWER_NOT_KEPT, Outcome.RAN)
    assert refusal(lambda: registry.begin(ticket('b'), 'd', 0)) == expected
    recorder = ResponseRecorder(200, [])
    recorder.feed(b'x')
    assert recorder.complete().body == b'x'
    recorder.feed(b'x' * MAX_STORED_BODY_BYTES)
    assert recorder.complete().code is Code.ANSWER_NOT_KEPT


def test_a_forgotten_key_is_never_new_again():
    """Guards against a second run after the wall clock was set back."""
    clock = SteppedClock()
    registry = make_registry(clock)
    registry.begin(ticket('a', expires=1060), 'd', 0).finish(DONE)
    clock.advance(100)
    registry.begin(ticket('b'), 'd', 0)
    clock.step = -100.0
    assert refusal(
        lambda: registry.begin(ticket('a', expires=1060), 'd', 0)
    ) == (
        Code.KEY_INVALID,
        Outcome.MAY_HAVE_RUN,
    )


def test_an_heir_answers_for_the_ended_process():
    registry = make_registry()
    registry.begin(ticket('a'), 'd', 0).finish(DONE)
    registry.begin(ticket('b'), 'd', 0)
    heir = IssuedKeyRegistry(HEIR, ManualClock())
    content = registry.export(HEIR)
    heir.adopt(content)
    heir.adopt(content)
    gone = (Code.KEY_OWNER_GONE, Outcome.MAY_HAVE_RUN)
    response_lost = (Code.CONNECTION_LOST, Outcome.MAY_HAVE_RUN)
    assert refusal(lambda: registry.begin(ticket('c'), 'd', 0)) == gone
    assert heir.begin(ticket('a'), 'd', 0) == DONE
    assert refusal(lambda: heir.begin(ticket('b'), 'd', 0)) == response_lost
    assert isinstance(heir.begin(ticket('c'), 'd', 0), Permit)


def test_there_is_one_heir():
    """Guards against two heirs that run the same key.

    The state machine below found this case.
    """
    registry = make_registry()
    other = Owner('n3', 1)
    content = registry.export(HEIR)
    with pytest.raises(OperationRefusedError):
        registry.export(other)
    stranger = IssuedKeyRegistry(other, ManualClock())
    assert refusal(lambda: stranger.adopt(content))[0] is Code.WRONG_INCARNATION
    registry.clear_heir()
    stranger.adopt(registry.export(other))


def test_deeply_nested_handover_is_refused():
    """Guards against an error that the peer port does not handle."""
    with pytest.raises(ProtocolError):
        make_registry().adopt(b'[' * 100000)


def test_only_a_whole_handover_makes_an_heir():
    registry = make_registry()
    registry.begin(ticket('a'), 'd', 0).finish(DONE)
    heir = IssuedKeyRegistry(HEIR, ManualClock(), RunLimits(runs=0))
    content = registry.export(HEIR)
    with pytest.raises(ProtocolError):
        heir.adopt(content[:-9])
    assert refusal(lambda: heir.adopt(content))[0] is Code.QUEUE_FULL
    assert refusal(lambda: heir.begin(ticket('a'), 'd', 0)) == (
        Code.KEY_OWNER_GONE,
        Outcome.MAY_HAVE_RUN,
    )


class RegistryMachine(stateful.RuleBasedStateMachine):
    """Processes with a registry each, one server, and callers that resend."""

    registry_class = IssuedKeyRegistry

    def __init__(self):
        super().__init__()
        self.clock = SteppedClock()
        self.owners = [Owner('n0', 1), Owner('n1', 1)]
        self.registries = {owner: self.start(owner) for owner in self.owners}
        self.tickets = [
            ticket(f't{n}', self.owners[n % 2], 3000.0 if n else 1040.0)
            for n in range(2)
        ]
        self.permits = []
        self.ran = {}

    def start(self, owner):
        return self.registry_class(owner, self.clock)

    def present_key(self, presented, process):
        """Present a key like an ingress, following transfers."""
        if presented.expires <= self.clock.wall():
            return
        try:
            found = self.registries[process].begin(presented, 'd', 0)
        except RefusalError as refused:
            if refused.outcome is Outcome.NOT_RUN:
                assert not self.ran.get(presented.nonce), 'false "not run"'
            return
        if isinstance(found, Permit):
            self.permits.append((found, presented, process))
        elif isinstance(found, Moved):
            nonce, node_id, incarnation = found.key.split('@')
            owner = Owner(node_id, int(incarnation))
            moved = ticket(nonce, owner, presented.expires, moved=True)
            if owner in self.registries:
                self.present_key(moved, owner)
        else:
            assert self.ran.get(presented.nonce) == 1, 'response without a run'

    @stateful.rule(
        which=st.integers(0, 1),
        process=st.integers(0, 1),
        how=st.sampled_from(ENDS),
    )
    def resend(self, which, process, how):
        permit_count = len(self.permits)
        self.present_key(self.tickets[which], self.owners[process])
        if len(self.permits) > permit_count:
            self.proceed(how, permit_count)

    @stateful.rule(
        how=st.sampled_from(ENDS),
        pick=st.integers(0, 3),
    )
    def proceed(self, how, pick):
        if how == 'hold' or not self.permits:
            return
        permit, presented, process = self.permits.pop(pick % len(self.permits))
        other = 1 - self.owners.index(process)
        if how == 'move' and not presented.moved:
            # The key names the incarnation, so that a restarted process of
            # the same node may not redeem it.
            sibling = self.owners[other]
            permit.move(
                f'{presented.nonce}@{sibling.node_id}@{sibling.incarnation}'
            )
            return
        if how in {'unsent', 'move'}:
            permit.release()
            return
        try:
            permit.before_send()
        except RefusalError:
            permit.release()
            return
        if how == 'shed':
            permit.release()
            return
        self.ran[presented.nonce] = self.ran.get(presented.nonce, 0) + 1
        assert self.ran[presented.nonce] == 1, 'ran twice'
        permit.finish(DONE if how == 'answer' else LOST_RESPONSE)

    @stateful.rule(which=st.integers(0, 1), kind=st.integers(0, 3))
    def end_process(self, which, kind):
        """End a process.

        Only some kinds do so, since otherwise most keys would lose their
        owner early in an example.
        """
        if kind == 1:
            self.hand_over(which)
        elif kind == 2:
            self.crash(which)

    def hand_over(self, which):
        process, heir = self.owners[which], self.owners[1 - which]
        with contextlib.suppress(RefusalError, OperationRefusedError):
            content = self.registries[process].export(heir)
            self.registries[heir].adopt(content)

    def crash(self, which):
        process = self.owners[which]
        self.permits = [
            entry for entry in self.permits if entry[2] is not process
        ]
        # No process may redeem a key that names the crashed one.
        self.registries.pop(process)
        restarted = Owner(process.node_id, process.incarnation + 1)
        self.owners[which] = restarted
        self.registries[restarted] = self.start(restarted)

    @stateful.rule(seconds=st.sampled_from((5, 45)))
    def pass_time(self, seconds):
        self.clock.advance(seconds)

    @stateful.rule()
    def set_clock_back(self):
        self.clock.step = -200.0


class ForgetfulBook(IssuedKeyRegistry):
    """Broken: loses stored responses, like a cache with eviction."""

    def begin(self, presented, digest, max_wait):
        table = self._table
        table.runs = {
            name: run
            for name, run in table.runs.items()
            if run.state is RunState.RUNNING
        }
        table._expiries = []
        return super().begin(presented, digest, max_wait)


class OpenBook(IssuedKeyRegistry):
    """Broken: continues to run keys after their handover."""

    def export(self, heir):
        content = super().export(heir)
        self._table.closed = False
        return content


class TrustingBook(IssuedKeyRegistry):
    """Broken: runs keys of any process."""

    def begin(self, presented, digest, max_wait):
        self._owners.add(presented.owner)
        return super().begin(presented, digest, max_wait)


def search(registry_class, examples=1000):
    machine = type(
        'Machine', (RegistryMachine,), {'registry_class': registry_class}
    )
    run_machine(machine, examples, steps=20, report_multiple_bugs=False)


def test_no_interleaving_runs_a_key_twice():
    search(IssuedKeyRegistry)


@pytest.mark.parametrize('broken', [ForgetfulBook, OpenBook, TrustingBook])
def test_the_interleavings_find_a_broken_book(broken):
    """Guards against a state machine that cannot detect a second run."""
    with pytest.raises(AssertionError):
        # The search ends at the first violation. How many examples this takes
        # depends on the modules that Hypothesis finds loaded.
        search(broken, examples=10000)
