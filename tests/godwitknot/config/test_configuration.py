import attrs
import pytest
from fake_platform import FakeObjects, FakeTables
from hypothesis import Phase, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from statemachines import run_machine

from godwitknot.clock import ManualClock
from godwitknot.config.configstore import HEAD_KEY
from godwitknot.config.configuration import ConfigurationManager
from godwitknot.declarations.fleetchecks import ServerCounter, ServiceCount
from godwitknot.errors import (
    ConfigurationConflictError,
    CorruptObjectError,
    LostAnswerError,
    MissingObjectError,
    OperationRefusedError,
    ProtocolError,
    StoreDownError,
)
from godwitknot.keys import FleetKeys
from godwitknot.metrics import Metrics

KEYS = FleetKeys('k1', {'k1': b'0' * 16})
TEXT = """
[fleet]
owner = lapjeswerk

[service storefront]
floor = 2

[class browse]
service = storefront
match = GET /*
success = 99%
latency = 95% within {latency}ms
"""


class FixedServerCounter(ServerCounter):
    def __init__(self, known=5, serving=5):
        self.counts = ServiceCount(known, serving)

    def count(self, service):
        return self.counts


class Platform:
    def __init__(self):
        self.tables = FakeTables()
        self.objects = FakeObjects()

    def manager(self, kind=ConfigurationManager):
        clock = ManualClock()
        return kind(self.tables, self.objects, KEYS, clock, Metrics())


def write_text(latency):
    return TEXT.format(latency=latency)


def apply(
    manager, latency, expected, apply_id='a', author='mies', server_counter=None
):
    text = write_text(latency)
    return manager.accept(
        text, expected, apply_id, author, server_counter or FixedServerCounter()
    )


@pytest.fixture
def platform():
    return Platform()


def test_accepted_text_is_in_force_here_and_elsewhere(platform):
    first, second = platform.manager(), platform.manager()
    assert not second.load_initial(list)
    assert apply(first, 100, 0).version == 1
    assert second.poll()
    assert second.current.declaration.text == write_text(100)
    assert not second.poll()


@pytest.mark.parametrize('fault', ['before', 'after'])
def test_lost_answer_is_settled_by_reading_back(platform, fault):
    """Guards against applying a change twice or reporting it as failed."""
    manager = platform.manager()
    platform.tables.write_faults = [fault]
    assert apply(manager, 100, 0).version == 1
    assert platform.tables.rows[HEAD_KEY].version == 1


def test_lost_answer_before_an_outage_is_settled_by_the_retry(platform):
    """Guards against committing a retried apply a second time."""
    manager = platform.manager()
    platform.tables.write_faults = ['after']
    read = platform.tables.read
    calls = iter([read, read, None])

    def read_until_outage(key):
        call = next(calls)
        if call is None:
            raise StoreDownError('down')
        return call(key)

    platform.tables.read = read_until_outage
    with pytest.raises(LostAnswerError):
        apply(manager, 100, 0)
    platform.tables.read = read
    assert apply(manager, 100, 0).version == 1
    assert manager.version == 1


def test_retry_after_a_later_change_gives_the_first_acceptance(platform):
    """Guards against a retried apply that reverts a later change."""
    manager = platform.manager()
    apply(manager, 100, 0, 'a')
    apply(manager, 200, 1, 'b')
    assert apply(manager, 100, 0, 'a').version == 1
    assert manager.current.declaration.text == write_text(200)
    with pytest.raises(OperationRefusedError, match='another text'):
        apply(manager, 300, 0, 'a')


def test_conflict_shows_what_the_other_changed(platform):
    """Guards against an operator who overwrites an unseen change."""
    editor, other = platform.manager(), platform.manager()
    apply(editor, 100, 0, 'a')
    platform.tables.before_write = lambda: apply(other, 250, 1, 'b', 'jan')
    with pytest.raises(ConfigurationConflictError) as caught:
        apply(editor, 300, 1, 'c', 'mies')
    assert caught.value.version == 2
    assert 'jan' in caught.value.message
    assert caught.value.changes == (
        '~ [class browse] latency: 95% within 100ms -> 95% within 250ms',
    )


def test_corrupt_text_is_noticed_and_not_applied(platform):
    """Guards against adopting a truncated object."""
    first, second = platform.manager(), platform.manager()
    apply(first, 100, 0)
    name, content = next(iter(platform.objects.objects.items()))
    platform.objects.objects[name] = content[:-20]
    with pytest.raises(CorruptObjectError):
        second.poll()
    assert second.current is None
    assert second.adopt_serialized(first.serialize())
    del platform.objects.objects[name]
    with pytest.raises(MissingObjectError):
        platform.manager().poll()


def test_truncated_write_is_not_committed(platform):
    """Guards against a head row that refers to an unreadable text."""
    platform.objects.truncate = 30
    with pytest.raises(CorruptObjectError):
        apply(platform.manager(), 100, 0)
    assert HEAD_KEY not in platform.tables.rows


def test_apply_on_a_lost_head_row_is_refused(platform):
    """Guards against an accepted version that no node adopts."""
    manager = platform.manager()
    apply(manager, 100, 0)
    platform.tables.rows.clear()
    with pytest.raises(CorruptObjectError, match='but 1 is in force'):
        apply(manager, 200, 0, 'b')
    assert not platform.tables.rows


def test_one_apply_id_stands_for_one_text(platform):
    """Guards against accepting two texts under one apply id."""
    manager, other = platform.manager(), platform.manager()
    platform.tables.before_write = lambda: apply(other, 100, 0, 'a')
    with pytest.raises(OperationRefusedError, match='another text'):
        apply(manager, 200, 0, 'a')
    assert manager.version == 0


def test_start_without_store_takes_the_highest_of_the_peers(platform):
    """Guards against a node that starts with an outdated configuration."""
    old, new = platform.manager(), platform.manager()
    apply(old, 100, 0, 'a')
    new.poll()
    apply(new, 200, 1, 'b')
    platform.tables.down = True
    third = platform.manager()
    adopted_versions = []
    third.subscribe(lambda adopted: adopted_versions.append(adopted.version))
    assert not third.load_initial(lambda: [b'', b'{"garbage": 1}'])
    assert third.load_initial(lambda: [old.serialize(), new.serialize(), b'x'])
    assert adopted_versions == [2]
    assert not third.adopt_serialized(old.serialize())


def test_unsigned_or_changed_copy_is_refused(platform):
    """Guards against adopting a configuration from outside the fleet."""
    first, second = platform.manager(), platform.manager()
    apply(first, 100, 0)
    for payload in (
        first.serialize().replace(b'100ms', b'900ms'),
        first.serialize().replace(b'"k1"', b'"k2"'),
        b'[]',
    ):
        with pytest.raises(ProtocolError):
            second.adopt_serialized(payload)
    assert second.current is None


@pytest.mark.parametrize(
    ('census', 'reason'),
    [
        (FixedServerCounter(0, 0), 'announced'),
        (FixedServerCounter(1, 1), 'at most 1'),
        (FixedServerCounter(5, 0), r'\[class browse\] service'),
    ],
)
def test_misfit_is_refused_with_the_reason(platform, census, reason):
    """Guards against accepting a declaration that the fleet cannot meet."""
    with pytest.raises(OperationRefusedError, match=reason):
        apply(platform.manager(), 100, 0, server_counter=census)
    assert HEAD_KEY not in platform.tables.rows


@attrs.define
class Attempt:
    """An apply of one operator, with what a retry has to repeat."""

    latency: int
    expected: int
    apply_id: str
    confirmed: bool = False


class OperatorsAndNodes(RuleBasedStateMachine):
    """Two operators and three nodes with store faults and restarts.

    :ivar seen: version that each operator knows to be in force.
    :ivar accepted: version by apply id.
    :ivar texts: declaration text by version.
    :ivar reached: highest version that each node has adopted.
    """

    manager_class = ConfigurationManager
    nodes = strategies.integers(0, 2)
    operators = strategies.integers(0, 1)

    @initialize()
    def begin(self):
        self.platform = Platform()
        self.managers = [self._make() for _ in range(3)]
        self.seen = [0, 0]
        self.attempts = [None, None]
        self.count = 0
        self.accepted = {}
        self.texts = {}
        self.reached = [0, 0, 0]

    def _make(self):
        return self.platform.manager(self.manager_class)

    @rule(
        operator=operators,
        node=nodes,
        faults=strategies.lists(
            strategies.sampled_from(['', 'before', 'after']), max_size=3
        ),
    )
    def apply_new(self, operator, node, faults):
        self.count += 1
        latency = 100 + self.count
        self.attempts[operator] = Attempt(
            latency, self.seen[operator], f'id{self.count}'
        )
        self.platform.tables.write_faults = faults
        self._send(operator, node)
        self.platform.tables.write_faults = []

    @rule(operator=operators, node=nodes)
    def repeat_last_apply(self, operator, node):
        if self.attempts[operator] is not None:
            self._send(operator, node)

    def _send(self, operator, node):
        attempt = self.attempts[operator]
        manager = self.managers[node]
        try:
            change = apply(
                manager, attempt.latency, attempt.expected, attempt.apply_id
            )
        except (StoreDownError, LostAnswerError, CorruptObjectError):
            return
        except ConfigurationConflictError as error:
            assert not attempt.confirmed, 'accepted, then a conflict'
            self.seen[operator] = error.version
            return
        attempt.confirmed = True
        self.seen[operator] = max(self.seen[operator], change.version)
        known_version = self.accepted.setdefault(
            attempt.apply_id, change.version
        )
        assert known_version == change.version, 'accepted twice'

    @rule(length=strategies.sampled_from([None, None, 40]))
    def truncate_texts(self, length):
        self.platform.objects.truncate = length

    @rule(node=nodes)
    def poll(self, node):
        try:
            self.managers[node].poll()
        except StoreDownError:
            assert self.platform.tables.down or self.platform.objects.down

    @rule(node=nodes, peer=nodes)
    def fetch_from_peer(self, node, peer):
        payload = self.managers[peer].serialize()
        self.managers[node].adopt_serialized(payload)
        assert self.managers[node].version >= self.managers[peer].version

    @rule(node=nodes)
    def restart(self, node):
        peers = [self.managers[index] for index in range(3) if index != node]
        self.managers[node] = self._make()
        self.reached[node] = 0
        ready = self.managers[node].load_initial(
            lambda: [peer.serialize() for peer in peers]
        )
        highest = max(peer.version for peer in peers)
        assert not (highest and self.platform.tables.down) or ready
        if ready and self.platform.tables.down:
            assert self.managers[node].version == highest

    @rule(down=strategies.sampled_from(['', '', 'tables', 'objects', 'both']))
    def change_store(self, down):
        self.platform.tables.down = down in {'tables', 'both'}
        self.platform.objects.down = down in {'objects', 'both'}

    @invariant()
    def versions_never_revert(self):
        if not hasattr(self, 'managers'):
            return
        for index, manager in enumerate(self.managers):
            assert manager.version >= self.reached[index], 'reverted'
            self.reached[index] = manager.version
            if manager.current is None:
                continue
            text = manager.current.declaration.text
            known = self.texts.setdefault(manager.version, text)
            assert known == text, 'one version with two texts'

    @invariant()
    def each_version_has_one_author(self):
        if hasattr(self, 'accepted'):
            versions = list(self.accepted.values())
            assert len(versions) == len(set(versions)), 'shared version'


class RevertingManager(ConfigurationManager):
    """Broken variant that adopts lower versions too."""

    def _supersedes(self, configuration):
        return configuration.version != self.version


class ForgetfulManager(ConfigurationManager):
    """Broken variant that treats a retried apply as a new one."""

    def accept(self, text, expected_version, apply_id, author, server_counter):
        head = self._store.read_head()
        new_id = f'{apply_id}-{head.version}'
        return super().accept(
            text, head.version, new_id, author, server_counter
        )


def test_configuration_never_reverts():
    """Guards against faults that revert a version or apply a change twice."""
    run_machine(OperatorsAndNodes, examples=200, steps=30)


class RevertingMachine(OperatorsAndNodes):
    manager_class = RevertingManager


class ForgetfulMachine(OperatorsAndNodes):
    manager_class = ForgetfulManager


@pytest.mark.parametrize(
    ('machine', 'reason'),
    [(RevertingMachine, 'reverted'), (ForgetfulMachine, 'accepted twice')],
)
def test_machine_catches_a_broken_keeper(machine, reason):
    """Guards against a state machine that cannot detect these faults."""
    # The sequences that Hypothesis tries depend on the modules loaded, so the
    # number of examples is high enough to find the fault in any case.
    with pytest.raises(AssertionError, match=reason):
        run_machine(machine, 2000, steps=30, phases=[Phase.generate])
