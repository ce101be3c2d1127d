"""Interfaces of the platform's table service and object store."""

import abc
from collections.abc import Mapping, Sequence

import attrs

# Version of a row that does not exist.
ABSENT = 0


@attrs.frozen
class Row:
    """A row of the table service.

    :param key: primary key.
    :param version: incremented by each write; :data:`ABSENT` if the row does
        not exist.
    :param columns: JSON object.
    """

    key: str
    version: int
    columns: Mapping[str, object]


@attrs.frozen
class Write:
    """A conditional write of one row.

    :param key: primary key.
    :param expected: version that the row must have, :data:`ABSENT` to insert.
    :param columns: new content.
    :param write_id: idempotency key; writes with the same id are applied
        once.
    """

    key: str
    expected: int
    columns: Mapping[str, object]
    write_id: str


class TableService(abc.ABC):
    """Table of versioned rows with transactional, conditional writes."""

    @abc.abstractmethod
    def read(self, key: str) -> Row:
        """Read a row.

        :returns: the row; its version is :data:`ABSENT` if it does not
            exist.
        :raises StoreDownError: if the service does not answer.
        """

    @abc.abstractmethod
    def scan(self, prefix: str) -> Sequence[Row]:
        """Read all rows whose key starts with a prefix, in key order.

        :raises StoreDownError: if the service does not answer.
        """

    @abc.abstractmethod
    def write(self, writes: Sequence[Write]) -> None:
        """Apply all writes in one transaction, or none of them.

        :raises ConflictError: if a row does not have the expected version.
        :raises StoreDownError: if nothing was sent or applied.
        :raises LostAnswerError: if the transaction may have taken effect.
        """


class ObjectStore(abc.ABC):
    """Store of immutable objects by name."""

    @abc.abstractmethod
    def put(self, name: str, content: bytes) -> None:
        """Store an object; repeating a put with the same content is allowed.

        :raises StoreDownError: if the object was not stored.
        :raises LostAnswerError: if the object may have been stored.
        """

    @abc.abstractmethod
    def get(self, name: str) -> bytes:
        """Fetch an object.

        :raises MissingObjectError: if no object has this name.
        :raises StoreDownError: if the store does not answer.
        """
