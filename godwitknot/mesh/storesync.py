"""The active configuration and its synchronization with the store.

The member records of all nodes are synchronized the same way.
"""

import asyncio
import contextlib
import hashlib
from collections.abc import AsyncIterator, Callable

from godwitknot.errors import (
    PlatformFormatError,
    ProtocolError,
    RowChangedError,
    StoreDownError,
    StoreError,
    StoreRestoredError,
)
from godwitknot.mesh import frames
from godwitknot.mesh.backgroundtasks import keep_running
from godwitknot.mesh.contacts import Contacts
from godwitknot.mesh.events import EventLog
from godwitknot.mesh.framedecoder import decode_member
from godwitknot.mesh.interfaces import Dialect, MetadataStore, Page, Row
from godwitknot.mesh.memberdirectory import Directory, Member
from godwitknot.mesh.model import FleetConfiguration
from godwitknot.mesh.rowsweeper import RowSweeper
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.stalerows import StaleRows
from godwitknot.mesh.storedrecord import StoredRecord
from godwitknot.mesh.storeepoch import EpochTracker
from godwitknot.mesh.storefeed import (
    INITIAL_BACKOFF_SECONDS,
    ReadPage,
    StoreConnection,
    StoreFeed,
)
from godwitknot.mesh.transfers import report_abandoned_copy
from godwitknot.mesh.unreadablerows import UnreadableRows

_MEMBER_TABLE = 'members'
# Delay between reads of the member feed, so that one read returns several
# changes: each read is billed, and gossip delivers the changes sooner anyway.
_FEED_INTERVAL_SECONDS = 1.5
# In a large failure domain, the nodes together read the feed as often as this
# number of nodes: what one of them has read, the others get by gossip.
_READERS_PER_DOMAIN = 4
# The store forgets changes after a while, and all rows are read again then.
_MAX_FEED_INTERVAL_SECONDS = 10.0
_FEED_JITTER = 0.25
# The source, what is decoded from it (3 to 5 times its size as measured with
# 100 routes and 5,000 accounts), the index of keys and the compressed copy.
_CONFIGURATION_FORMS = 8


class ConfigurationHolder:
    """The newest configuration that this process has received.

    The version never decreases within a process.
    """

    def __init__(self, dialect: Dialect, log: EventLog) -> None:
        """Create a holder without a configuration."""
        self._dialect = dialect
        self._log = log
        # Digest of the unreadable configuration that was logged last; the
        # store and each peer may send it. It may contain keys.
        self._unreadable = b''
        self.current: FleetConfiguration | None = None
        self.listeners: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Version of the active configuration, 0 if there is none."""
        return 0 if self.current is None else self.current.version

    @property
    def table_bytes(self) -> int:
        """Estimated size of the configuration in all its forms, in bytes."""
        if self.current is None:
            return 0
        return _CONFIGURATION_FORMS * len(self.current.source)

    def adopt(self, source: bytes, origin: str) -> bool:
        """Activate an encoded configuration if it is newer.

        :param origin: source of the configuration, for the log.
        :returns: whether it was activated.
        """
        received = self.read(source)
        return received is not None and self.activate(received, origin)

    def read(self, source: bytes) -> FleetConfiguration | None:
        """Decode a configuration, ``None`` if it is malformed."""
        try:
            return self._dialect.read_configuration(source)
        except PlatformFormatError as error:
            digest = hashlib.sha256(source).digest()
            if digest != self._unreadable:
                self._unreadable = digest
                self._log.write('configuration unreadable', detail=str(error))
        return None

    def activate(self, received: FleetConfiguration, origin: str) -> bool:
        """Activate a configuration if it is newer.

        :param origin: source of the configuration, for the log.
        :returns: whether it was activated.
        """
        if received.version <= self.version:
            return False
        self._log.write(
            'configuration adopted',
            version=received.version,
            before=self.version,
            origin=origin,
        )
        self.current = received
        for listener in self.listeners:
            listener()
        return True


class StoreSync:
    """Synchronizes configuration and member records with the store."""

    def __init__(
        self,
        store: MetadataStore,
        holder: ConfigurationHolder,
        directory: Directory,
        merge_members: Callable[[list[Member], str], None],
        runtime: Runtime,
        contacts: Contacts | None = None,
    ) -> None:
        """Set up the synchronization without starting it.

        :param merge_members: merges member records and logs their origin.
        :param contacts: of this node with the others, none by default.
        """
        self._store = store
        self._holder = holder
        self._directory = directory
        self._merge_members = merge_members
        self._runtime = runtime
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self._rng = runtime.rng
        self._epoch = EpochTracker(runtime)
        self._connection = StoreConnection(self._epoch, runtime)
        # Called after each call with whether the store responded.
        self.connection_listeners = self._connection.listeners
        self._record = StoredRecord(str(directory.local_member.address))
        self._stale_rows = StaleRows(
            directory, contacts or Contacts(), runtime.clock, runtime.rng
        )
        self._sweeper = RowSweeper(
            _MEMBER_TABLE,
            store,
            self._stale_rows,
            self._connection,
            directory,
            runtime,
        )
        self._epoch.listeners.append(self._record.forget)
        self._epoch.listeners.append(self._stale_rows.forget)
        store.epoch_listeners.append(self._epoch.observe)
        # Epoch in which an outdated configuration was logged last.
        self._outdated_epoch = -1
        self._unreadable = UnreadableRows(runtime.log)
        self._write_requested = asyncio.Event()
        # Called with each record of this node that the store acknowledged.
        self.stored_listeners: list[Callable[[Member], None]] = []
        self.members_loaded = False

    def start(self) -> list[asyncio.Task]:
        """Start the background tasks.

        :returns: the tasks, which run until they are cancelled.
        """
        return [
            asyncio.ensure_future(
                keep_running(self._follow_configuration, self._runtime)
            ),
            asyncio.ensure_future(
                keep_running(self._follow_members, self._runtime)
            ),
            asyncio.ensure_future(
                keep_running(self._write_local_member, self._runtime)
            ),
            asyncio.ensure_future(
                keep_running(self._sweeper.run, self._runtime)
            ),
        ]

    def request_write(self) -> None:
        """Schedule a write of this node's record."""
        self._write_requested.set()

    async def _follow_configuration(self) -> None:
        async def read(after: int | None, wait: float) -> Page:
            try:
                if after is None:
                    return await self._store.read_configuration()
                return await self._store.watch_configuration(after, wait)
            except StoreDownError as error:
                self._report_abandoned_copy(error)
                raise

        async for page, _ in self._open_feed('configuration', read):
            for row in page.rows:
                if row.content is not None:
                    self._apply_configuration(row.content)

    def _apply_configuration(self, source: bytes) -> None:
        """Activate the configuration of the store, unless it is outdated."""
        self._telemetry.count('configuration_copies_from_store')
        self._telemetry.count('configuration_bytes_from_store', len(source))
        received = self._holder.read(source)
        if received is None:
            return
        is_outdated = received.version < self._holder.version
        if is_outdated and self._outdated_epoch != self._epoch.current:
            self._outdated_epoch = self._epoch.current
            self._log.write(
                'stored configuration outdated',
                version=received.version,
                active=self._holder.version,
                epoch=self._epoch.current,
            )
        self._holder.activate(received, 'store')

    def _report_abandoned_copy(self, error: StoreDownError) -> None:
        # Each failed poll of a store that is down would be a line otherwise.
        if error.received_bytes:
            report_abandoned_copy(
                self._runtime,
                'store',
                error.received_bytes,
                detail=str(error),
            )

    async def _follow_members(self) -> None:
        async def read(after: int | None, wait: float) -> Page:
            if after is None:
                self._stale_rows.begin_read()
                table = await self._store.read_table(
                    _MEMBER_TABLE, self._stale_rows.is_needed
                )
                return self._stale_rows.complete_read(table)
            return await self._store.watch_table(_MEMBER_TABLE, after, wait)

        async for page, is_complete in self._open_feed(_MEMBER_TABLE, read):
            self._merge_page(page, is_complete=is_complete)
            self.members_loaded = True
            with contextlib.suppress(StoreRestoredError):
                await self._epoch.interrupt_on_restore(
                    asyncio.sleep(self._draw_feed_interval())
                )

    def _draw_feed_interval(self) -> float:
        """Return the delay until the next read of the member feed."""
        zone = self._directory.local_member.zone
        nodes = sum(
            member.serving and member.zone == zone
            for member in self._directory.members
        )
        seconds = min(
            _FEED_INTERVAL_SECONDS * max(1, nodes / _READERS_PER_DOMAIN),
            _MAX_FEED_INTERVAL_SECONDS,
        )
        return seconds * self._rng.uniform(1 - _FEED_JITTER, 1 + _FEED_JITTER)

    def _open_feed(
        self, table: str, read: ReadPage
    ) -> AsyncIterator[tuple[Page, bool]]:
        feed = StoreFeed(
            table, read, self._connection, self._epoch, self._runtime
        )
        return feed.follow()

    def _merge_page(self, page: Page, *, is_complete: bool) -> None:
        members: list[Member] = []
        stored_member: Member | None = None
        self._stale_rows.add_page(page)
        deleted = {row.key for row in page.rows if row.content is None}
        if not is_complete:
            self._sweeper.note_changes(len(page.rows) - len(deleted))
        if deleted:
            self._directory.remove_stopped(deleted)
        for row in page.rows:
            member = self._decode_row(row)
            if member is not None:
                members.append(member)
            if row.key == self._record.key:
                stored_member = member
        self._merge_members(members, 'store')
        self._record.apply_page(page, stored_member, is_complete=is_complete)
        self._rewrite_lost_record()

    def _decode_row(self, row: Row) -> Member | None:
        if row.content is None:
            return None
        try:
            member = decode_member(row.content)
        except ProtocolError as error:
            self._unreadable.report(row.key, str(error))
            return None
        self._unreadable.clear(row.key)
        return member

    def _rewrite_lost_record(self) -> None:
        """Schedule a write if the store lost the record of this node."""
        local_member = self._directory.local_member
        if self._record.acknowledged != local_member:
            # A write is pending anyway.
            return
        if self._record.member == local_member:
            return
        self._log.write(
            'stored record outdated',
            version=self._record.version,
            epoch=self._epoch.current,
        )
        self.request_write()

    async def _write_local_member(self) -> None:
        # After an error it is unknown which record the store has.
        self._write_requested.set()
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            await self._write_requested.wait()
            self._write_requested.clear()
            member = self._directory.local_member
            if member == self._record.member or not member.server_id:
                continue
            try:
                receipt = await self._store.write_row(
                    _MEMBER_TABLE,
                    self._record.key,
                    frames.encode_member(member),
                    self._record.version,
                )
            except RowChangedError as error:
                repeated = error.version == self._record.version
                self._record.version = error.version
                self._write_requested.set()
                if repeated:
                    backoff = await self._connection.back_off(error, backoff)
                continue
            except StoreError as error:
                self._write_requested.set()
                backoff = await self._connection.back_off(error, backoff)
                continue
            backoff = self._connection.mark_connected()
            if 0 < receipt.epoch < self._epoch.current:
                # The restore may have dropped the write.
                self._write_requested.set()
                continue
            self._record.confirm(receipt, member)
            for listener in self.stored_listeners:
                listener(member)
