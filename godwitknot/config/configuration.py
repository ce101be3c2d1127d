"""The configuration in force: conditional commit and adoption.

The head row in the table service says which declaration is in force; its
text lies in the object store under its SHA-256. A node adopts only higher
versions, from the store or from a peer, and only after the digest matched.
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

_DIGEST_SHOWN = 12


class ConfigurationManager:
    """Holds the configuration in force at one node.

    The version that a keeper holds only grows. Callers may use one keeper
    from several threads.
    """

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        keys: FleetKeys,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Start without a configuration."""
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
        """Call back after each adoption, in the order of versions."""
        self._callbacks.append(callback)

    def accept(
        self,
        text: str,
        expected_version: int,
        apply_id: str,
        author: str,
        server_counter: ServerCounter,
    ) -> Change:
        """Bring a declaration into force.

        :param text: INI text.
        :param expected_version: version that the operator saw, 0 for none.
        :param apply_id: unique id; a repeated one is accepted once.
        :param author: who applies.
        :param server_counter: servers that the declaration must fit.
        :returns: the accepted change, also for a repeated apply id.
        :raises DeclarationError: if the text has faults.
        :raises OperationRefusedError: if it does not fit the fleet, or the
            apply id was used for another text.
        :raises ConfigurationConflictError: if another version is in force.
        :raises StoreError: ``LostAnswerError`` if it may be accepted and
            the caller has to repeat it with the same apply id.
        """
        declaration = parse_declaration(text)
        held = self.version
        head = self._store.read_head()
        if head.version < held:
            # No node would adopt the next version of a head that was lost.
            raise CorruptObjectError(
                f'the store has version {head.version}, but {held} is in force'
            )
        settled = head.find_apply(apply_id)
        if settled is not None:
            return self._settle(settled, declaration)
        if head.version != expected_version:
            raise self._store.describe_conflict(head, expected_version)
        misfits = find_fleet_problems(declaration, server_counter)
        if misfits:
            raise OperationRefusedError('\n'.join(map(str, misfits)))
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

        The store is asked for a higher version first, so that the plan is
        not based on one that another node has replaced.

        :param text: INI text.
        :raises DeclarationError: if the text has faults.
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
        """Adopt a higher version from the store.

        :returns: whether the version grew.
        :raises StoreDownError: if the store does not answer.
        :raises CorruptObjectError: if the head row or the text is not
            what was written; nothing is adopted.
        :raises MissingObjectError: if the text is not there.
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
        """Get a first configuration.

        The store is asked first. If that fails, the highest version among
        the peers is taken.

        :param fetch_from_peers: gives what :meth:`serialize` gave at each
            peer that answers.
        :returns: whether there is a configuration in force.
        """
        with contextlib.suppress(StoreError):
            self.poll()
        if self._current is None:
            found = self._check_payloads(fetch_from_peers())
            if found:
                highest = max(found, key=lambda copy: copy.version)
                self._adopt(highest, 'peer')
        return self._current is not None

    def serialize(self) -> bytes:
        """Give the configuration in force for a peer, with a MAC.

        :returns: JSON; empty if there is no configuration.
        """
        current = self._current
        if current is None:
            return b''
        copy = PeerCopy(current.head, current.declaration.text)
        return serialize_copy(copy, self._keys)

    def adopt_serialized(self, payload: bytes) -> bool:
        """Adopt a higher version that a peer gave.

        :param payload: what :meth:`serialize` gave at the peer.
        :returns: whether the version grew.
        :raises ProtocolError: if the payload is malformed or not signed.
        :raises CorruptObjectError: if the text does not match its digest.
        """
        if not payload:
            return False
        return self._adopt(self._read_payload(payload), 'peer')

    def _read_payload(self, payload: bytes) -> Configuration:
        try:
            return parse_copy(payload, self._keys)
        except (ProtocolError, CorruptObjectError):
            self._metrics.count('configuration.peer-invalid')
            raise

    def _check_payloads(
        self,
        payloads: Iterable[bytes],
    ) -> list[Configuration]:
        found = []
        for payload in filter(None, payloads):
            with contextlib.suppress(ProtocolError, CorruptObjectError):
                found.append(self._read_payload(payload))
        return found

    def _adopt(self, configuration: Configuration, source: str) -> bool:
        with self._lock:
            if not self._supersedes(configuration):
                return False
            self._current = configuration
            self._metrics.gauge('configuration.version', configuration.version)
            log_event(
                'configuration adopted',
                version=configuration.version,
                digest=configuration.change.digest[:_DIGEST_SHOWN],
                author=configuration.change.author,
                source=source,
            )
            for callback in self._callbacks:
                callback(configuration)
        return True

    def _supersedes(self, configuration: Configuration) -> bool:
        return configuration.version > self.version

    def _settle(self, settled: Change, declaration: Declaration) -> Change:
        require_same_text(settled, declaration.digest)
        with contextlib.suppress(StoreError):
            self.poll()
        return settled
