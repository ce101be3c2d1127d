"""The configuration in the platform's table service and object store."""

import contextlib
import hashlib

from godwitknot.declarations.configversions import (
    Change,
    Head,
    parse_head,
    serialize_head,
)
from godwitknot.declarations.declaration import Declaration
from godwitknot.declarations.declarationdiff import compare_texts
from godwitknot.errors import (
    ConfigurationConflictError,
    ConflictError,
    CorruptObjectError,
    LostAnswerError,
    OperationRefusedError,
    StoreDownError,
    StoreError,
)
from godwitknot.logs import log_event
from godwitknot.metrics import Metrics
from godwitknot.storage.store import ABSENT, ObjectStore, TableService, Write

HEAD_KEY = 'configuration/head'
_COMMIT_ATTEMPTS = 3
_PUT_ATTEMPTS = 3
_DIGEST_SHOWN = 12


class ConfigurationStore:
    """Reads and writes the head row and the texts."""

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        metrics: Metrics,
    ) -> None:
        """Take the clients of the platform."""
        self._tables = tables
        self._objects = objects
        self._metrics = metrics
        self._corrupt: set[str] = set()

    def read_head(self) -> Head:
        """Read the head; one without changes if there is no row.

        :raises StoreDownError: if the table service does not answer.
        :raises CorruptObjectError: if the row is malformed.
        """
        row = self._tables.read(HEAD_KEY)
        if row.version == ABSENT:
            return Head()
        head = parse_head(dict(row.columns))
        if head.version != row.version:
            raise CorruptObjectError('the head row has another version')
        return head

    def put_text(self, declaration: Declaration) -> None:
        """Store the text of a declaration and check that it can be read.

        :raises StoreDownError: if the object store does not answer.
        :raises MissingObjectError: if the store did not keep it.
        :raises CorruptObjectError: if the store gives back another text.
        """
        text = declaration.text.encode()
        failure: StoreError = StoreDownError('the text was not stored')
        for _ in range(_PUT_ATTEMPTS):
            with contextlib.suppress(LostAnswerError):
                self._objects.put(declaration.digest, text)
            # Read back before the head names it: a truncated object would
            # leave the fleet without the text once this node is gone.
            try:
                self.get_text(declaration.digest)
            except StoreError as error:
                failure = error
            else:
                return
        raise failure

    def get_text(self, digest: str) -> str:
        """Fetch a text.

        :raises CorruptObjectError: if it does not match its digest.
        :raises MissingObjectError: if there is none.
        :raises StoreDownError: if the object store does not answer.
        """
        text = self._objects.get(digest)
        if hashlib.sha256(text).hexdigest() == digest:
            return text.decode()
        self._metrics.count('configuration.corrupt')
        if digest not in self._corrupt:
            self._corrupt.add(digest)
            log_event('configuration text corrupt', digest=digest)
        raise CorruptObjectError(f'text {digest[:_DIGEST_SHOWN]} is corrupt')

    def commit(self, head: Head) -> None:
        """Write a head that has one change more than the row.

        :raises ConfigurationConflictError: if another change came first.
        :raises LostAnswerError: if it is unknown whether it took effect.
        :raises StoreDownError: if nothing was written.
        """
        change = head.changes[0]
        expected = head.version - 1
        write = Write(
            key=HEAD_KEY,
            expected=expected,
            columns=serialize_head(head),
            write_id=f'{change.apply_id}-{expected}-{change.digest}',
        )
        uncertain = False
        for _ in range(_COMMIT_ATTEMPTS):
            try:
                self._tables.write([write])
            except (LostAnswerError, ConflictError):
                uncertain = True
            except StoreDownError:
                if uncertain:
                    break
                raise
            else:
                return
            if self._read_back(change):
                return
        raise _answer_lost()

    def _read_back(self, change: Change) -> bool:
        """Tell whether a write whose answer is unknown took effect."""
        try:
            head = self.read_head()
        except StoreDownError as error:
            raise _answer_lost() from error
        found = head.find_apply(change.apply_id)
        if found is not None:
            require_same_text(found, change.digest)
            return True
        expected = change.version - 1
        if head.version != expected:
            raise self.describe_conflict(head, expected)
        return False

    def _get_version(self, head: Head, version: int) -> str:
        change = head.find_version(version)
        return self.get_text(change.digest) if change else ''

    def describe_conflict(
        self,
        head: Head,
        expected: int,
    ) -> ConfigurationConflictError:
        """Describe who changed what since the version expected."""
        others = [
            f'version {change.version} by {change.author}'
            for change in reversed(head.changes)
            if change.version > expected
        ]
        authors = ', '.join(others) or 'nothing changed since'
        message = (
            f'version {expected} was expected but version {head.version} is '
            f'in force ({authors})'
        )
        changes: tuple = ()
        with contextlib.suppress(StoreError):
            old = self._get_version(head, expected)
            changes = compare_texts(old, self._get_version(head, head.version))
        return ConfigurationConflictError(
            message, head.version, [str(change) for change in changes]
        )


def require_same_text(settled: Change, digest: str) -> None:
    """Check that an apply id stands for one text.

    :param settled: the change that the apply id made.
    :raises OperationRefusedError: if its text is another one.
    """
    if settled.digest != digest:
        raise OperationRefusedError(
            'this apply id was accepted with another text',
        )


def _answer_lost() -> LostAnswerError:
    return LostAnswerError(
        'the change may have been accepted; repeat it with the same apply id',
    )
