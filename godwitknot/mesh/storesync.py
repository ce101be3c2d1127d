"""The configuration in force on this node, and how it is kept current."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from godwitknot.errors import (
    HistoryLostError,
    PlatformFormatError,
    ProtocolError,
    RowChangedError,
    StoreError,
)
from godwitknot.mesh import frames
from godwitknot.mesh.events import EventLog
from godwitknot.mesh.interfaces import Dialect, MetadataStore, Page
from godwitknot.mesh.memberdirectory import Directory, Member
from godwitknot.mesh.model import FleetConfiguration
from godwitknot.mesh.runtime import Runtime

_MEMBER_TABLE = 'members'
# A feed without changes answers after this long; the store allows 30 s.
_FEED_SECONDS = 25.0
# Changes of members also arrive as news of other nodes, so that the feed
# may gather them; each answer is a priced call.
_GATHER_SECONDS = 1.5
_FIRST_RETRY_SECONDS = 0.3
_MOST_RETRY_SECONDS = 1.5


class ConfigurationHolder:
    """The newest configuration that this process has seen.

    Versions only go up within a process.
    """

    def __init__(self, dialect: Dialect, log: EventLog) -> None:
        """Start without a configuration."""
        self._dialect = dialect
        self._log = log
        self.current: FleetConfiguration | None = None
        self.listeners: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return 0 if self.current is None else self.current.version

    def adopt(self, source: bytes, origin: str) -> bool:
        """Take in an encoded configuration if it is newer.

        :param origin: where it came from, for the log.
        :returns: whether it is now in force.
        """
        try:
            offered = self._dialect.read_configuration(source)
        except PlatformFormatError as error:
            self._log.write('configuration unreadable', detail=str(error))
            return False
        if offered.version <= self.version:
            return False
        self._log.write(
            'configuration adopted',
            version=offered.version,
            before=self.version,
            origin=origin,
        )
        self.current = offered
        for listener in self.listeners:
            listener()
        return True


class StoreSync:
    """Keeps configuration, members and the own record in step with the
    store.
    """

    def __init__(
        self,
        store: MetadataStore,
        holder: ConfigurationHolder,
        directory: Directory,
        take_members: Callable[[list[Member], str], None],
        runtime: Runtime,
    ) -> None:
        """Take the collaborators.

        :param take_members: takes in records of members.
        """
        self._store = store
        self._holder = holder
        self._directory = directory
        self._take_members = take_members
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self._rng = runtime.rng
        self._stored_versions: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._connected = True
        self.members_read = False

    def start(self) -> list[asyncio.Task]:
        """Start the tasks."""
        return [
            asyncio.ensure_future(self._follow_configuration()),
            asyncio.ensure_future(self._follow_members()),
            asyncio.ensure_future(self._write_own()),
        ]

    def note_own_changed(self) -> None:
        """Write the own record soon."""
        self._changed.set()

    async def _follow_configuration(self) -> None:
        async def read(after: int | None) -> Page:
            if after is None:
                return await self._store.read_configuration()
            return await self._store.watch_configuration(after, _FEED_SECONDS)

        async for page in self._follow('configuration', read):
            for row in page.rows:
                if row.content is not None:
                    self._holder.adopt(row.content, 'store')

    async def _follow_members(self) -> None:
        async def read(after: int | None) -> Page:
            if after is None:
                return await self._store.read_table(_MEMBER_TABLE)
            return await self._store.watch_table(
                _MEMBER_TABLE, after, _FEED_SECONDS
            )

        async for page in self._follow(_MEMBER_TABLE, read):
            self._take_page(page)
            self.members_read = True
            await asyncio.sleep(_GATHER_SECONDS)

    async def _follow(
        self,
        table: str,
        read: Callable[[int | None], Awaitable[Page]],
    ) -> AsyncIterator[Page]:
        """Give the pages of a feed, and all rows again after a gap.

        :param read: gives what changed after a version, or all rows.
        """
        after: int | None = None
        pause = _FIRST_RETRY_SECONDS
        while True:
            try:
                page = await read(after)
            except HistoryLostError:
                self._log.write('feed history lost', table=table)
                after = None
                continue
            except StoreError as error:
                pause = await self._wait_out(error, pause)
                continue
            pause = self._note_connected()
            after = page.version
            yield page

    def _take_page(self, page: Page) -> None:
        members: list[Member] = []
        for row in page.rows:
            self._stored_versions[row.key] = row.version
            if row.content is None:
                continue
            try:
                members.append(frames.decode_member(row.content))
            except ProtocolError as error:
                self._log.write(
                    'row unreadable', key=row.key, detail=str(error)
                )
        self._take_members(members, 'store')

    async def _write_own(self) -> None:
        written: Member | None = None
        pause = _FIRST_RETRY_SECONDS
        while True:
            await self._changed.wait()
            self._changed.clear()
            own = self._directory.local_member
            if own == written or not own.server_id:
                continue
            key = str(own.address)
            try:
                version = await self._store.write_row(
                    _MEMBER_TABLE,
                    key,
                    frames.encode_member(own),
                    self._stored_versions.get(key, 0),
                )
            except RowChangedError as error:
                self._stored_versions[key] = error.version
                self._changed.set()
                continue
            except StoreError as error:
                self._changed.set()
                pause = await self._wait_out(error, pause)
                continue
            pause = self._note_connected()
            self._stored_versions[key] = version
            written = own

    async def _wait_out(self, error: StoreError, pause: float) -> float:
        """Wait after a failed call; give the next pause."""
        self._telemetry.count('store_failures')
        if self._connected:
            self._connected = False
            self._log.write('store lost', detail=str(error))
        await asyncio.sleep(pause * (0.5 + self._rng.random()))
        return min(_MOST_RETRY_SECONDS, 2 * pause)

    def _note_connected(self) -> float:
        if not self._connected:
            self._connected = True
            self._log.write('store regained')
        return _FIRST_RETRY_SECONDS
