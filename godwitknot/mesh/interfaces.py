"""Interfaces through which a mesh node meets the platform."""

import abc

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
    """Header fields and announcements in the platform's own form."""

    @abc.abstractmethod
    def read_request(self, fields: Fields) -> RequestMetadata:
        """Give what a caller's header fields say.

        :raises PlatformFormatError: if a field is malformed.
        """

    @abc.abstractmethod
    def read_response(self, fields: Fields) -> ResponseMetadata:
        """Give what a server's header fields say."""

    @abc.abstractmethod
    def build_server_fields(
        self,
        fields: Fields,
        *,
        seconds_left: float,
        server_id: str,
        caller_service: str,
    ) -> Fields:
        """Give the header fields for a server.

        :param fields: end-to-end fields of the caller.
        """

    @abc.abstractmethod
    def is_readiness_check(self, target: str) -> bool:
        """Tell whether a request asks for the node's readiness."""

    @abc.abstractmethod
    def read_announcement(
        self,
        method: str,
        target: str,
        body: bytes,
    ) -> Heartbeat | Departure | None:
        """Decode a call of the local server, ``None`` if it is no such call.

        :raises PlatformFormatError: if it names no server to use.
        """

    @abc.abstractmethod
    def read_configuration(self, source: bytes) -> FleetConfiguration:
        """Decode the operator's configuration.

        :raises PlatformFormatError: if it cannot be read.
        """


@attrs.frozen
class Row:
    """One row of the store; ``content`` is ``None`` if it was dropped."""

    key: str
    content: bytes | None
    version: int


@attrs.frozen
class Page:
    """Rows as of one moment.

    :param version: newest version of the store; feeds go on from it.
    """

    rows: tuple[Row, ...]
    version: int


class MetadataStore(abc.ABC):
    """The platform's store: rows with versions, and feeds of changes."""

    @abc.abstractmethod
    async def read_table(self, table: str) -> Page:
        """Give all rows of a table.

        :raises StoreError: if the store did not answer.
        """

    @abc.abstractmethod
    async def read_configuration(self) -> Page:
        """Give the row of the operator's configuration, if there is one.

        :raises StoreError: if the store did not answer.
        """

    @abc.abstractmethod
    async def watch_table(self, table: str, after: int, wait: float) -> Page:
        """Wait for changes of a table.

        :param after: version up to which changes are known.
        :param wait: seconds after which an empty page is given.
        :raises HistoryLostError: if changes since ``after`` are forgotten.
        :raises StoreError: if the store did not answer.
        """

    @abc.abstractmethod
    async def watch_configuration(self, after: int, wait: float) -> Page:
        """Wait for a change of the operator's configuration.

        :raises HistoryLostError: if changes since ``after`` are forgotten.
        :raises StoreError: if the store did not answer.
        """

    @abc.abstractmethod
    async def write_row(
        self,
        table: str,
        key: str,
        content: bytes,
        expected: int,
    ) -> int:
        """Write a row if it still has the expected version.

        :param expected: 0 if the row must not exist.
        :returns: the new version.
        :raises RowChangedError: if it has another version.
        :raises StoreDownError: if nothing was written.
        :raises LostAnswerError: if it may have been written.
        """
