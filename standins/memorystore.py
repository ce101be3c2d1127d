"""In-memory table service and object store, and faults of the platform."""

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

# The oldest ids are dropped beyond this; their repeats go unrecognised.
_MAX_APPLIED_WRITE_IDS = 200_000


class MemoryTables(TableService):
    """Table service with row versions and transactional conditional writes."""

    def __init__(self) -> None:
        """Create an empty store."""
        self._rows: dict[str, Row] = {}
        self._applied_write_ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()

    def read(self, key: str) -> Row:
        """Read a row; its version is 0 if it is absent."""
        with self._lock:
            return self._rows.get(key, Row(key, ABSENT, {}))

    def scan(self, prefix: str) -> Sequence[Row]:
        """Read all rows whose keys have a prefix, in key order."""
        with self._lock:
            keys = [key for key in self._rows if key.startswith(prefix)]
            return [self._rows[key] for key in sorted(keys)]

    def write(self, writes: Sequence[Write]) -> None:
        """Apply all writes or none; skip writes whose ids were applied before.

        :raises ConflictError: if a row does not have the expected version.
        """
        with self._lock:
            new_writes = [
                write
                for write in writes
                if write.write_id not in self._applied_write_ids
            ]
            for write in new_writes:
                self._check_version(write)
            for checked in new_writes:
                self._apply(checked)

    def _check_version(self, write: Write) -> None:
        row = self._rows.get(write.key)
        version = ABSENT if row is None else row.version
        if version != write.expected:
            raise ConflictError(
                f'{write.key}: version {version}, expected {write.expected}',
            )

    def _apply(self, write: Write) -> None:
        row = Row(write.key, write.expected + 1, dict(write.columns))
        self._rows[write.key] = row
        self._applied_write_ids[write.write_id] = None
        if len(self._applied_write_ids) > _MAX_APPLIED_WRITE_IDS:
            self._applied_write_ids.popitem(last=False)


class MemoryObjects(ObjectStore):
    """Object store that keeps objects by name."""

    def __init__(self) -> None:
        """Create an empty store."""
        self._objects: dict[str, bytes] = {}

    def put(self, name: str, content: bytes) -> None:
        """Store an object."""
        self._objects[name] = content

    def get(self, name: str) -> bytes:
        """Fetch an object.

        :raises MissingObjectError: if there is no object of this name.
        """
        if name not in self._objects:
            raise MissingObjectError(name)
        return self._objects[name]


@attrs.define
class PlatformFaults:
    """Faults of the platform that are switched on.

    The last three count the requests that still have the fault.

    :param down: respond 503 to all requests without applying them.
    :param slow_ms: delay before each request is handled.
    :param lose_writes: writes to apply without sending a response.
    :param truncate_reads: object reads to truncate to half their length.
    :param corrupt_reads: object reads to change a byte of.
    """

    down: bool = False
    slow_ms: int = 0
    lose_writes: int = 0
    truncate_reads: int = 0
    corrupt_reads: int = 0

    def consume(self, name: str) -> bool:
        """Count one request down; return whether it has the fault.

        :param name: name of a counted fault.
        """
        remaining = getattr(self, name)
        if remaining < 1:
            return False
        setattr(self, name, remaining - 1)
        return True
