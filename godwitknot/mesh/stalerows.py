"""Rows of nodes that have stopped for good.

``docs/design/stale-rows.md`` gives the rule by which they are deleted.
"""

import collections
import heapq
import math
import random
from collections.abc import Sequence

import attrs

from godwitknot.clock import Clock
from godwitknot.errors import ProtocolError
from godwitknot.mesh.contacts import Contacts
from godwitknot.mesh.framedecoder import decode_member
from godwitknot.mesh.interfaces import Page, Row
from godwitknot.mesh.memberdirectory import Directory, Member

# A row that a stopped node wrote must be unchanged this long. Announcements of
# servers and frames of nodes are given up within 30 s, so none is that late.
RETENTION_SECONDS = 600.0
# Rows of the latest stops that a full read keeps, so that nodes which restart
# now are known. The largest deployments have 109 nodes.
_RECENT_ROWS = 256
# Candidates take about 150 bytes each.
_MAX_CANDIDATES = 1000
# The store allows 100 entries in a transaction. A deletion takes two, one for
# the expected version.
BATCH_ROWS = 50
# Each deletion ends a long poll of every node. A smaller batch waits this long
# for more rows.
_MAX_BATCH_WAIT_SECONDS = 3600.0
_CHECKPOINT_SECONDS = 60.0
# A node of the failure domain of a lost one must have answered this lately;
# otherwise the whole domain may be cut off.
_CONTACT_SECONDS = 60.0


@attrs.frozen
class _Checkpoint:
    """A version that the store had.

    :param at: on the node's clock.
    """

    at: float
    version: int


def _decode(row: Row) -> Member | None:
    """Return the member of a row, ``None`` if it cannot be read."""
    try:
        return decode_member(row.content or b'')
    except ProtocolError:
        return None


class StaleRows:
    """Finds rows of nodes that stopped long ago.

    Row versions rise with each change, so a row whose version is not above
    one that the store had ten minutes ago is unchanged since then. Nothing has
    to be remembered for each row.
    """

    def __init__(
        self,
        directory: Directory,
        contacts: Contacts,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create an object that knows of no rows.

        :param contacts: shows which nodes have long been unreachable.
        """
        self._directory = directory
        self._local_key = str(directory.local_member.address)
        self._contacts = contacts
        self._clock = clock
        self._rng = rng
        self._checkpoints: collections.deque[_Checkpoint] = collections.deque()
        self._candidates: dict[str, int] = {}
        # Rows of serving nodes: version of the row and of its record.
        self._serving: dict[str, tuple[int, tuple[int, int]]] = {}
        # Rows of the read that is in progress.
        self._sample: list[tuple[str, int]] = []
        self._recent: list[tuple[int, str, Row]] = []
        self._stopped_count = 0
        self._batch_since: float | None = None
        self.has_more = False

    def forget(self) -> None:
        """Drop all row versions, since the store was restored from a copy."""
        self._checkpoints.clear()
        self._candidates.clear()
        self._serving.clear()
        self.has_more = False

    def begin_read(self) -> None:
        """Start a read of the whole table."""
        self._serving.clear()
        self._drop_read()

    def _drop_read(self) -> None:
        self._sample = []
        self._recent = []
        self._stopped_count = 0

    def is_needed(self, row: Row) -> bool:
        """Return whether a row of the whole table is kept.

        Rows of stopped nodes are not; a random sample of their keys is, so
        that nodes choose different rows to delete.
        """
        member = _decode(row)
        if member is None or member.serving or row.key == self._local_key:
            self._note_serving(row, member)
            return True
        entry = (row.version, row.key, row)
        if len(self._recent) < _RECENT_ROWS:
            heapq.heappush(self._recent, entry)
        else:
            heapq.heappushpop(self._recent, entry)
        self._stopped_count += 1
        if len(self._sample) < _MAX_CANDIDATES:
            self._sample.append((row.key, row.version))
            return False
        place = self._rng.randrange(self._stopped_count)
        if place < _MAX_CANDIDATES:
            self._sample[place] = (row.key, row.version)
        return False

    def complete_read(self, page: Page) -> Page:
        """Return the page of the whole table with the latest stopped nodes."""
        self._candidates = dict(self._sample)
        self.has_more = self._stopped_count > _MAX_CANDIDATES
        recent = tuple(row for *_, row in self._recent)
        self._drop_read()
        return attrs.evolve(page, rows=page.rows + recent)

    def add_page(self, page: Page) -> None:
        """Apply rows that were read after the whole table."""
        now = self._clock.now()
        points = self._checkpoints
        if not points or now - points[-1].at >= _CHECKPOINT_SECONDS:
            points.append(_Checkpoint(now, page.version))
        self.add_candidates(page.rows)

    def add_candidates(self, rows: Sequence[Row]) -> None:
        """Replace what is known of some rows."""
        for row in rows:
            self._candidates.pop(row.key, None)
            member = None if row.content is None else _decode(row)
            self._note_serving(row, member)
            if member is None or member.serving or row.key == self._local_key:
                continue
            if len(self._candidates) < _MAX_CANDIDATES:
                self._candidates[row.key] = row.version

    def draw_batch(self) -> Sequence[tuple[str, int]]:
        """Return keys and versions of rows to delete now, at random."""
        settled = self._find_settled_version()
        serving = {
            str(member.address)
            for member in self._directory.members
            if member.serving
        }
        # A node that cannot reach the store may serve beside its old row.
        stale = [
            (key, version)
            for key, version in self._candidates.items()
            if version <= settled and key not in serving
        ]
        if not stale:
            self._batch_since = None
            return ()
        if len(stale) >= BATCH_ROWS:
            return self._rng.sample(stale, BATCH_ROWS)
        now = self._clock.now()
        if self._batch_since is None:
            self._batch_since = now
        if now - self._batch_since < _MAX_BATCH_WAIT_SECONDS:
            return ()
        return stale

    def find_lost(self) -> tuple[Member, int] | None:
        """Return a node that ended without a stop, and its row's version."""
        settled = self._find_settled_version()
        latest = self._clock.now() - RETENTION_SECONDS
        for address, since in self._contacts.unreachable.items():
            member = self._directory.find(address)
            known = self._serving.get(str(address))
            if since > latest or member is None or known is None:
                continue
            version, record_version = known
            is_newest = record_version == member.record_version
            if version <= settled and is_newest and self._can_judge(member):
                return member, version
        return None

    @property
    def lacks_candidates(self) -> bool:
        """Whether the table may have more stopped nodes than are known."""
        return self.has_more and len(self._candidates) < BATCH_ROWS

    def remove(self, keys: Sequence[str]) -> None:
        """Record that rows were deleted."""
        for key in keys:
            self._candidates.pop(key, None)

    def _note_serving(self, row: Row, member: Member | None) -> None:
        self._serving.pop(row.key, None)
        if member is not None and member.serving:
            self._serving[row.key] = (row.version, member.record_version)

    def _can_judge(self, lost: Member) -> bool:
        """Return whether another node of the failure domain answered lately."""
        earliest = self._clock.now() - _CONTACT_SECONDS
        reached = self._contacts.reached
        return any(
            reached.get(member.address, -math.inf) >= earliest
            for member in self._directory.members
            if member.zone == lost.zone and member.address != lost.address
        )

    def _find_settled_version(self) -> int:
        """Return the newest version that is old enough, -1 if none is."""
        points = self._checkpoints
        latest = self._clock.now() - RETENTION_SECONDS
        while len(points) > 1 and points[1].at <= latest:
            points.popleft()
        if points and points[0].at <= latest:
            return points[0].version
        return -1
