"""The platform's table service and object store, as interfaces."""

import abc
from collections.abc import Mapping, Sequence

import attrs

ABSENT = 0


@attrs.frozen
class Row:
    """A row of the table service.

    :param key: primary key.
    :param version: grows by one with each write; 0 means absent.
    :param columns: JSON object.
    """

    key: str
    version: int
    columns: Mapping[str, object]


@attrs.frozen
class Write:
    """A conditional write.

    :param key: primary key.
    :param expected: version the row must have, :data:`ABSENT` to insert.
    :param columns: new content.
    :param write_id: unique id; a repeated id is applied once.
    """

    key: str
    expected: int
    columns: Mapping[str, object]
    write_id: str


class TableService(abc.ABC):
    """Transactional rows with conditional writes."""

    @abc.abstractmethod
    def read(self, key: str) -> Row:
        """Read a row; an absent one has version :data:`ABSENT`.

        :raises StoreDownError: if the service does not answer.
        """

    @abc.abstractmethod
    def scan(self, prefix: str) -> Sequence[Row]:
        """Read all rows whose key begins with a prefix, in key order.

        :raises StoreDownError: if the service does not answer.
        """

    @abc.abstractmethod
    def write(self, writes: Sequence[Write]) -> None:
        """Apply all writes in one transaction, or none.

        :raises ConflictError: if a row has another version than expected.
        :raises StoreDownError: if nothing was sent or applied.
        :raises LostAnswerError: if it may have taken effect.
        """


class ObjectStore(abc.ABC):
    """Immutable objects by name."""

    @abc.abstractmethod
    def put(self, name: str, content: bytes) -> None:
        """Store an object; the same name and content may be put again.

        :raises StoreDownError: if it was not stored.
        :raises LostAnswerError: if it may have been stored.
        """

    @abc.abstractmethod
    def get(self, name: str) -> bytes:
        """Fetch an object.

        :raises MissingObjectError: if there is none of this name.
        :raises StoreDownError: if the store does not answer.
        """
