"""Deletes the rows of stopped nodes, at a low rate for the whole fleet."""

import asyncio

import attrs

from godwitknot.errors import RowChangedError, StoreError
from godwitknot.mesh import frames
from godwitknot.mesh.interfaces import MetadataStore
from godwitknot.mesh.memberdirectory import Directory, Member
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.stalerows import StaleRows
from godwitknot.mesh.storefeed import StoreConnection

# Time between two deletions by any node of the fleet.
_FLEET_INTERVAL_SECONDS = 60.0
_JITTER = 0.5
# A failed call may mean that the store's quota is used up.
_FAILURE_PAUSE_SECONDS = 120.0
# A release or an outage changes many rows; calls for these come first.
_CHANGE_WINDOW_SECONDS = 60.0
_MAX_CHANGES = 5


class RowSweeper:
    """Deletes stale rows while the store is little used.

    Each node draws its own times, so that the nodes together delete about
    once a minute. Nothing is sent if there are no stale rows.
    """

    def __init__(
        self,
        table: str,
        store: MetadataStore,
        stale_rows: StaleRows,
        connection: StoreConnection,
        directory: Directory,
        runtime: Runtime,
    ) -> None:
        """Create a sweeper that has deleted nothing."""
        self._table = table
        self._store = store
        self._stale_rows = stale_rows
        self._connection = connection
        self._directory = directory
        self._clock = runtime.clock
        self._rng = runtime.rng
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        # Start of the next page if more candidates are to be read.
        self._start = ''
        # How often the table's end was reached since the last deletion.
        self._ends = 0
        self._changes: list[float] = []

    def note_changes(self, count: int) -> None:
        """Record that rows of other nodes have changed.

        :param count: number of the rows.
        """
        now = self._clock.now()
        self._changes = [
            at for at in self._changes if now - at < _CHANGE_WINDOW_SECONDS
        ]
        self._changes.extend(now for _ in range(min(count, _MAX_CHANGES)))

    async def run(self) -> None:
        """Delete rows from time to time until cancelled."""
        while True:
            await asyncio.sleep(self.draw_interval())
            if self.is_calm():
                await self.sweep()

    def draw_interval(self) -> float:
        """Return the delay until the next turn of this node, in seconds."""
        nodes = sum(member.serving for member in self._directory.members)
        factor = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
        return _FLEET_INTERVAL_SECONDS * max(1, nodes) * factor

    def is_calm(self) -> bool:
        """Return whether the store has capacity to spare, as far as known."""
        now = self._clock.now()
        recent = [
            at for at in self._changes if now - at < _CHANGE_WINDOW_SECONDS
        ]
        if len(recent) >= _MAX_CHANGES:
            return False
        failed_at = self._connection.failed_at
        return failed_at is None or now - failed_at >= _FAILURE_PAUSE_SECONDS

    async def sweep(self) -> None:
        """Delete a batch, mark a lost node or read candidates: one call."""
        batch = self._stale_rows.draw_batch()
        lost = self._stale_rows.find_lost()
        try:
            if batch:
                await self._delete(dict(batch))
            elif lost is not None:
                await self._mark_stopped(*lost)
            elif self._stale_rows.lacks_candidates:
                await self._read_page()
        except RowChangedError:
            # The feed shows which rows changed, or were deleted by others.
            self._telemetry.count('stale_rows_changed')
        except StoreError:
            self._connection.note_failure()

    async def _delete(self, versions: dict[str, int]) -> None:
        await self._store.delete_rows(self._table, versions)
        self._start = max(versions)
        self._ends = 0
        self._stale_rows.remove(tuple(versions))
        self._telemetry.count('stale_rows_deleted', len(versions))
        self._log.write('stale rows deleted', count=len(versions))

    async def _mark_stopped(self, lost: Member, version: int) -> None:
        """Write the stop that a lost node did not write.

        If it lives, it reads this record, raises its incarnation above it, and
        serves again.
        """
        stopped = attrs.evolve(lost, serving=False, revision=lost.revision + 1)
        await self._store.write_row(
            self._table,
            str(lost.address),
            frames.encode_member(stopped),
            version,
        )
        self._telemetry.count('lost_nodes_marked')
        self._log.write('lost node marked as stopped', peer=lost.node)

    async def _read_page(self) -> None:
        page, self._start = await self._store.read_page(
            self._table, self._start
        )
        self._stale_rows.add_candidates(page.rows)
        if self._start:
            return
        self._ends += 1
        if self._ends > 1:
            # The whole table was read and has no more rows to delete.
            self._ends = 0
            self._stale_rows.has_more = False
