"""Storage of the configuration in the table service and object store."""

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
_DIGEST_PREFIX_LENGTH = 12


class ConfigurationStore:
    """Reads and writes the head row and the declaration texts."""

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        metrics: Metrics,
    ) -> None:
        """Create a store over the platform's services.

        :param tables: holds the head row.
        :param objects: holds the declaration texts by digest.
        """
        self._tables = tables
        self._objects = objects
        self._metrics = metrics
        self._logged_corrupt_digests: set[str] = set()

    def read_head(self) -> Head:
        """Read the head row.

        :returns: the head; it has no changes if the row does not exist.
        :raises StoreDownError: if the table service does not answer.
        :raises CorruptObjectError: if the row is malformed.
        """
        row = self._tables.read(HEAD_KEY)
        if row.version == ABSENT:
            return Head()
        head = parse_head(dict(row.columns))
        if head.version != row.version:
            raise CorruptObjectError(
                'the content of the head row has a different version'
            )
        return head

    def put_text(self, declaration: Declaration) -> None:
        """Store the text of a declaration and read it back.

        :raises StoreDownError: if the object store does not answer.
        :raises MissingObjectError: if the store did not keep the text.
        :raises CorruptObjectError: if the store returns a different text.
        """
        text = declaration.text.encode()
        failure: StoreError = StoreDownError('the text was not stored')
        for _ in range(_PUT_ATTEMPTS):
            with contextlib.suppress(LostAnswerError):
                self._objects.put(declaration.digest, text)
            # Verify the text before the head row refers to it. If the object
            # were truncated, no copy of the text would remain once this node
            # has stopped.
            try:
                self.get_text(declaration.digest)
            except StoreError as error:
                failure = error
            else:
                return
        raise failure

    def get_text(self, digest: str) -> str:
        """Fetch a declaration text.

        :param digest: SHA-256 of the text, hexadecimal.
        :raises CorruptObjectError: if the text does not match its digest.
        :raises MissingObjectError: if the text does not exist.
        :raises StoreDownError: if the object store does not answer.
        """
        text = self._objects.get(digest)
        if hashlib.sha256(text).hexdigest() == digest:
            return text.decode()
        self._metrics.count('configuration.corrupt')
        if digest not in self._logged_corrupt_digests:
            self._logged_corrupt_digests.add(digest)
            log_event('configuration text corrupt', digest=digest)
        raise CorruptObjectError(
            f'text {digest[:_DIGEST_PREFIX_LENGTH]} is corrupt'
        )

    def commit(self, head: Head) -> None:
        """Write a head that has one more change than the stored row.

        :raises ConfigurationConflictError: if another change was committed
            first.
        :raises LostAnswerError: if it is unknown whether the write took
            effect.
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
        may_have_applied = False
        for _ in range(_COMMIT_ATTEMPTS):
            try:
                self._tables.write([write])
            except (LostAnswerError, ConflictError):
                may_have_applied = True
            except StoreDownError:
                if may_have_applied:
                    break
                raise
            else:
                return
            if self._was_committed(change):
                return
        raise _make_lost_answer_error()

    def _was_committed(self, change: Change) -> bool:
        """Return whether a write with an unknown result took effect.

        :raises ConfigurationConflictError: if another change was committed
            instead.
        :raises LostAnswerError: if the head row cannot be read.
        """
        try:
            head = self.read_head()
        except StoreDownError as error:
            raise _make_lost_answer_error() from error
        found = head.find_apply(change.apply_id)
        if found is not None:
            require_same_text(found, change.digest)
            return True
        expected = change.version - 1
        if head.version != expected:
            raise self.describe_conflict(head, expected)
        return False

    def _get_version_text(self, head: Head, version: int) -> str:
        change = head.find_version(version)
        return self.get_text(change.digest) if change else ''

    def describe_conflict(
        self,
        head: Head,
        expected: int,
    ) -> ConfigurationConflictError:
        """Build an error that lists the changes after a version.

        :param expected: version that the operator expected to be in force.
        :returns: the error, with authors and differences.
        """
        newer = [
            f'version {change.version} by {change.author}'
            for change in reversed(head.changes)
            if change.version > expected
        ]
        authors = ', '.join(newer) or 'nothing changed since'
        message = (
            f'version {expected} was expected but version {head.version} is '
            f'in force ({authors})'
        )
        changes: tuple = ()
        with contextlib.suppress(StoreError):
            old = self._get_version_text(head, expected)
            changes = compare_texts(
                old, self._get_version_text(head, head.version)
            )
        return ConfigurationConflictError(
            message, head.version, [str(change) for change in changes]
        )


def require_same_text(accepted: Change, digest: str) -> None:
    """Check that a repeated apply id comes with the same text.

    :param accepted: change that was committed under the apply id.
    :param digest: digest of the text that comes with the apply id now.
    :raises OperationRefusedError: if the texts differ.
    """
    if accepted.digest != digest:
        raise OperationRefusedError(
            'this apply id was accepted with another text',
        )


def _make_lost_answer_error() -> LostAnswerError:
    return LostAnswerError(
        'the change may have been accepted; repeat it with the same apply id',
    )
