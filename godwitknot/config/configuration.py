"""The configuration in force: conditional commits and adoption.

The head row in the table service names the declaration in force, whose text
is stored in the object store under its SHA-256 digest. A node adopts only
higher versions, from the store or from a peer, and only after verifying the
digest.
"""

import contextlib
import threading
from collections.abc import Callable, Iterable

from godwitknot.clock import Clock
from godwitknot.config.configstore import ConfigurationStore, require_same_text
from godwitknot.declarations.configversions import (
    Change,
    Configuration,
    PeerCopy,
    check_copy,
    parse_copy,
    serialize_copy,
)
from godwitknot.declarations.declaration import Declaration, parse_declaration
from godwitknot.declarations.declarationdiff import compare_texts
from godwitknot.declarations.fleetchecks import (
    ServerCounter,
    find_fleet_problems,
)
from godwitknot.errors import (
    CorruptObjectError,
    OperationRefusedError,
    ProtocolError,
    StoreError,
)
from godwitknot.keys import FleetKeys
from godwitknot.logs import log_event
from godwitknot.metrics import Metrics
from godwitknot.operators.operations import Plan
from godwitknot.storage.store import ABSENT, ObjectStore, TableService

_DIGEST_PREFIX_LENGTH = 12


class ConfigurationManager:
    """Manages the configuration in force at one node.

    The version in force never decreases. Instances are thread-safe.
    """

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        keys: FleetKeys,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create a manager that has no configuration yet."""
        self._store = ConfigurationStore(tables, objects, metrics)
        self._keys = keys
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.RLock()
        self._current: Configuration | None = None
        self._callbacks: list[Callable[[Configuration], None]] = []

    @property
    def current(self) -> Configuration | None:
        """The configuration in force, ``None`` before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        current = self._current
        return current.version if current else ABSENT

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        """Register a callback that runs after each adoption.

        Callbacks receive the configurations in order of version.
        """
        self._callbacks.append(callback)

    def accept(
        self,
        text: str,
        expected_version: int,
        apply_id: str,
        author: str,
        server_counter: ServerCounter,
    ) -> Change:
        """Commit a declaration and adopt it.

        :param text: INI text.
        :param expected_version: version that the operator based the change
            on, 0 for none.
        :param apply_id: idempotency key; repeated ids are committed once.
        :param author: operator who applies the declaration.
        :param server_counter: counts the servers that the declaration must
            fit.
        :returns: the accepted change, also for a repeated apply id.
        :raises DeclarationError: if the text is invalid.
        :raises OperationRefusedError: if it does not fit the fleet, or the
            apply id was used for another text.
        :raises ConfigurationConflictError: if another version is in force.
        :raises StoreError: ``LostAnswerError`` if the change may have been
            accepted; the caller has to retry with the same apply id.
        """
        declaration = parse_declaration(text)
        local_version = self.version
        head = self._store.read_head()
        if head.version < local_version:
            # The store has lost the head row. Nodes would not adopt the
            # change, because its version would not exceed theirs.
            raise CorruptObjectError(
                f'the store has version {head.version}, but {local_version} '
                'is in force'
            )
        accepted = head.find_apply(apply_id)
        if accepted is not None:
            return self._confirm_accepted(accepted, declaration)
        if head.version != expected_version:
            raise self._store.describe_conflict(head, expected_version)
        problems = find_fleet_problems(declaration, server_counter)
        if problems:
            raise OperationRefusedError('\n'.join(map(str, problems)))
        self._store.put_text(declaration)
        change = Change(
            version=expected_version + 1,
            digest=declaration.digest,
            apply_id=apply_id,
            author=author,
            time=self._clock.wall(),
            previous=head.changes[0].digest if head.changes else '',
        )
        self._store.commit(head.extend(change))
        log_event(
            'configuration accepted',
            version=change.version,
            author=author,
            apply_id=apply_id,
        )
        self._adopt(Configuration(head.extend(change), declaration), 'apply')
        return change

    def plan(self, text: str, server_counter: ServerCounter) -> Plan:
        """Compare a declaration with the one in force.

        Polls the store first, so that the plan is not based on a version
        that another node has replaced.

        :param text: INI text.
        :param server_counter: counts the servers that the declaration must
            fit.
        :raises DeclarationError: if the text is invalid.
        """
        declaration = parse_declaration(text)
        with contextlib.suppress(StoreError):
            self.poll()
        current = self._current
        old = current.declaration.text if current else ''
        return Plan(
            version=self.version,
            digest=declaration.digest,
            unchanged=old == text,
            differences=compare_texts(old, text),
            misfits=tuple(find_fleet_problems(declaration, server_counter)),
        )

    def poll(self) -> bool:
        """Adopt the version in the store if it is higher.

        :returns: whether a higher version was adopted.
        :raises StoreDownError: if the store does not answer.
        :raises CorruptObjectError: if the head row or the text is corrupt;
            nothing is adopted.
        :raises MissingObjectError: if the store does not have the text.
        """
        head = self._store.read_head()
        if head.version <= self.version:
            return False
        digest = head.changes[0].digest
        text = self._store.get_text(digest)
        return self._adopt(check_copy(PeerCopy(head, text)), 'store')

    def load_initial(
        self, fetch_from_peers: Callable[[], Iterable[bytes]]
    ) -> bool:
        """Load the first configuration, from the store or from peers.

        If the store does not provide one, the highest version among the
        peers is adopted.

        :param fetch_from_peers: returns the result of :meth:`serialize` of
            each peer that answers.
        :returns: whether a configuration is in force.
        """
        with contextlib.suppress(StoreError):
            self.poll()
        if self._current is None:
            valid = self._parse_valid_payloads(fetch_from_peers())
            if valid:
                highest = max(valid, key=lambda copy: copy.version)
                self._adopt(highest, 'peer')
        return self._current is not None

    def serialize(self) -> bytes:
        """Return the configuration in force for a peer, with a MAC.

        :returns: JSON; empty if there is no configuration.
        """
        current = self._current
        if current is None:
            return b''
        copy = PeerCopy(current.head, current.declaration.text)
        return serialize_copy(copy, self._keys)

    def adopt_serialized(self, payload: bytes) -> bool:
        """Adopt the configuration of a peer if its version is higher.

        :param payload: result of :meth:`serialize` at the peer.
        :returns: whether a higher version was adopted.
        :raises ProtocolError: if the payload is malformed or not signed.
        :raises CorruptObjectError: if the text does not match its digest.
        """
        if not payload:
            return False
        return self._adopt(self._parse_payload(payload), 'peer')

    def _parse_payload(self, payload: bytes) -> Configuration:
        try:
            return parse_copy(payload, self._keys)
        except (ProtocolError, CorruptObjectError):
            self._metrics.count('configuration.peer-invalid')
            raise

    def _parse_valid_payloads(
        self,
        payloads: Iterable[bytes],
    ) -> list[Configuration]:
        valid = []
        for payload in filter(None, payloads):
            with contextlib.suppress(ProtocolError, CorruptObjectError):
                valid.append(self._parse_payload(payload))
        return valid

    def _adopt(self, configuration: Configuration, source: str) -> bool:
        with self._lock:
            if not self._supersedes(configuration):
                return False
            self._current = configuration
            self._metrics.gauge('configuration.version', configuration.version)
            log_event(
                'configuration adopted',
                version=configuration.version,
                digest=configuration.change.digest[:_DIGEST_PREFIX_LENGTH],
                author=configuration.change.author,
                source=source,
            )
            for callback in self._callbacks:
                callback(configuration)
        return True

    def _supersedes(self, configuration: Configuration) -> bool:
        return configuration.version > self.version

    def _confirm_accepted(
        self, accepted: Change, declaration: Declaration
    ) -> Change:
        require_same_text(accepted, declaration.digest)
        with contextlib.suppress(StoreError):
            self.poll()
        return accepted
