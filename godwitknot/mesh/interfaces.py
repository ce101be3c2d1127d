"""Abstract classes that decouple a mesh node from the platform."""

import abc
from collections.abc import Callable, Mapping

import attrs

from godwitknot.mesh.model import (
    Departure,
    Fields,
    FleetConfiguration,
    Heartbeat,
    RequestMetadata,
    ResponseMetadata,
)


class Dialect(abc.ABC):
    """Decodes and encodes messages in the platform's formats."""

    @abc.abstractmethod
    def read_request(self, fields: Fields) -> RequestMetadata:
        """Decode the header fields of a caller's request.

        :raises PlatformFormatError: if a field is malformed.
        """

    @abc.abstractmethod
    def read_response(self, fields: Fields) -> ResponseMetadata:
        """Decode the header fields of a server's response."""

    @abc.abstractmethod
    def build_server_fields(
        self,
        fields: Fields,
        *,
        seconds_left: float,
        server_id: str,
        caller_service: str,
        account: str = '',
    ) -> Fields:
        """Build the header fields of a request to a server.

        :param fields: end-to-end fields sent by the caller.
        :param seconds_left: time until the caller's deadline.
        :param server_id: id of the server that the request is meant for.
        :param caller_service: service of the instance that sent the request.
        :param account: name of the caller's client account, may be empty.
        """

    @abc.abstractmethod
    def remove_account_fields(self, fields: Fields) -> Fields:
        """Remove the key and name of a client account that a caller sent."""

    @abc.abstractmethod
    def is_readiness_check(self, target: str) -> bool:
        """Return whether a request target is that of the readiness check."""

    @abc.abstractmethod
    def read_announcement(
        self,
        method: str,
        target: str,
        body: bytes,
    ) -> Heartbeat | Departure | None:
        """Decode an announcement of the local server.

        :returns: ``None`` if the request is not an announcement.
        :raises PlatformFormatError: if the announcement is malformed.
        """

    @abc.abstractmethod
    def read_configuration(self, source: bytes) -> FleetConfiguration:
        """Decode the operator's configuration.

        :raises PlatformFormatError: if the configuration is malformed.
        """


@attrs.frozen
class Row:
    """One row of the store; ``content`` is ``None`` if it was deleted."""

    key: str
    content: bytes | None
    version: int


@attrs.frozen
class Page:
    """Rows read at one version of the store.

    :param version: newest version of the store; feeds continue after it.
    :param epoch: of the store when the rows were read, 0 if unknown.
    """

    rows: tuple[Row, ...]
    version: int
    epoch: int = 0


@attrs.frozen
class WriteReceipt:
    """An acknowledged write.

    :param version: of the written row.
    :param epoch: of the store when the row was written, 0 if unknown.
    """

    version: int
    epoch: int = 0


class MetadataStore(abc.ABC):
    """The platform's store: versioned rows and change feeds.

    The store may be restored from an older copy. It then loses the latest
    rows and assigns their versions again, so that a version identifies a row
    only within one epoch. Each restore raises the epoch.

    :ivar epoch_listeners: called with the epoch of each response.
    """

    def __init__(self) -> None:
        """Create a store without listeners."""
        self.epoch_listeners: list[Callable[[int], None]] = []

    @abc.abstractmethod
    async def read_table(
        self, table: str, is_needed: Callable[[Row], bool] | None = None
    ) -> Page:
        """Return the rows of a table, read in pages.

        :param is_needed: returns whether a row is kept; called as the rows
            arrive, so that the others take no memory. All are by default.
        :raises StoreError: if the read failed.
        """

    @abc.abstractmethod
    async def read_page(self, table: str, start: str) -> tuple[Page, str]:
        """Return some rows of a table, in the order of their keys.

        :param start: smallest key, empty for the first page.
        :returns: the page, and the start of the next one; empty at the end.
        :raises StoreError: if the read failed.
        """

    @abc.abstractmethod
    async def read_configuration(self) -> Page:
        """Return a page with the operator's configuration, if there is one.

        :raises StoreError: if the read failed.
        """

    @abc.abstractmethod
    async def watch_table(self, table: str, after: int, wait: float) -> Page:
        """Wait for changes of a table.

        :param after: version whose later changes are returned.
        :param wait: seconds after which an empty page is returned.
        :raises HistoryLostError: if the store no longer has all changes
            since ``after``.
        :raises StoreError: if the read failed.
        """

    @abc.abstractmethod
    async def watch_configuration(self, after: int, wait: float) -> Page:
        """Wait for a change of the operator's configuration.

        :param after: version whose later changes are returned.
        :param wait: seconds after which an empty page is returned.
        :raises HistoryLostError: if the store no longer has all changes
            since ``after``.
        :raises StoreError: if the read failed.
        """

    @abc.abstractmethod
    async def write_row(
        self,
        table: str,
        key: str,
        content: bytes,
        expected: int,
    ) -> WriteReceipt:
        """Write a row if it still has the expected version.

        :param expected: version of the row, 0 if the row must not exist.
        :returns: the new version and its epoch.
        :raises RowChangedError: if the row has another version.
        :raises StoreDownError: if the row was not written.
        :raises LostAnswerError: if the row may have been written.
        """

    @abc.abstractmethod
    async def delete_rows(
        self, table: str, versions: Mapping[str, int]
    ) -> None:
        """Delete rows if all of them still have their expected versions.

        :param versions: expected version by key, at most 50.
        :raises RowChangedError: if a row has another version or is absent;
            none is deleted.
        :raises StoreDownError: if no row was deleted.
        :raises LostAnswerError: if the rows may have been deleted.
        """
