"""Data of the platform stand-in, in memory."""

import collections
import threading
from collections.abc import Sequence

import attrs

from godwitknot.errors import ConflictError, MissingObjectError
from godwitknot.storage.store import (
    ABSENT,
    ObjectStore,
    Row,
    TableService,
    Write,
)

# Ids beyond this many are forgotten, oldest first.
_REMEMBERED_WRITE_IDS = 200_000


class MemoryTables(TableService):
    """Rows with versions and transactional conditional writes."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[str, Row] = {}
        self._applied: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()

    def read(self, key: str) -> Row:
        """Read a row, version 0 if absent."""
        with self._lock:
            return self._rows.get(key, Row(key, ABSENT, {}))

    def scan(self, prefix: str) -> Sequence[Row]:
        """Read all rows of a prefix, in key order."""
        with self._lock:
            found = [key for key in self._rows if key.startswith(prefix)]
            return [self._rows[key] for key in sorted(found)]

    def write(self, writes: Sequence[Write]) -> None:
        """Apply all writes or none; a repeated id is applied once.

        :raises ConflictError: if a row has another version than expected.
        """
        with self._lock:
            fresh = [
                write for write in writes if write.write_id not in self._applied
            ]
            for write in fresh:
                self._check(write)
            for valid in fresh:
                self._apply(valid)

    def _check(self, write: Write) -> None:
        row = self._rows.get(write.key)
        version = ABSENT if row is None else row.version
        if version != write.expected:
            raise ConflictError(
                f'{write.key}: version {version}, expected {write.expected}',
            )

    def _apply(self, write: Write) -> None:
        row = Row(write.key, write.expected + 1, dict(write.columns))
        self._rows[write.key] = row
        self._applied[write.write_id] = None
        if len(self._applied) > _REMEMBERED_WRITE_IDS:
            self._applied.popitem(last=False)


class MemoryObjects(ObjectStore):
    """Objects by name."""

    def __init__(self) -> None:
        """Start empty."""
        self._objects: dict[str, bytes] = {}

    def put(self, name: str, content: bytes) -> None:
        """Store an object."""
        self._objects[name] = content

    def get(self, name: str) -> bytes:
        """Fetch an object.

        :raises MissingObjectError: if there is none of this name.
        """
        if name not in self._objects:
            raise MissingObjectError(name)
        return self._objects[name]


@attrs.define
class PlatformFaults:
    """Faults that are switched on; counters are used up one by one.

    :param down: answer 503 to everything, applying nothing.
    :param slow_ms: delay before each request is handled.
    :param lose_writes: apply the next writes and send no answer.
    :param truncate_reads: cut the next object reads in half.
    :param corrupt_reads: change a byte of the next object reads.
    """

    down: bool = False
    slow_ms: int = 0
    lose_writes: int = 0
    truncate_reads: int = 0
    corrupt_reads: int = 0

    def consume(self, name: str) -> bool:
        """Take one from a counter; true if the fault strikes."""
        left = getattr(self, name)
        if left < 1:
            return False
        setattr(self, name, left - 1)
        return True
