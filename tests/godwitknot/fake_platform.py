"""In-memory table service and object store with injected faults."""

from godwitknot.errors import (
    ConflictError,
    LostAnswerError,
    MissingObjectError,
    StoreDownError,
)
from godwitknot.storage.store import ObjectStore, Row, TableService


class FakeTables(TableService):
    """Table service in memory.

    :ivar down: whether every call fails.
    :ivar write_faults: faults of the next writes: ``before`` loses the
        request, ``after`` loses the answer of a write that takes effect, an
        empty text lets a write succeed.
    :ivar before_write: called once, before the next write.
    """

    def __init__(self):
        self.rows = {}
        self.down = False
        self.write_faults = []
        self.before_write = None

    def read(self, key):
        self._require_up()
        return self.rows.get(key, Row(key, 0, {}))

    def scan(self, prefix):
        self._require_up()
        return [self.rows[key] for key in sorted(self.rows) if key in prefix]

    def write(self, writes):
        self._require_up()
        if self.before_write is not None:
            callback = self.before_write
            self.before_write = None
            callback()
        fault = self.write_faults.pop(0) if self.write_faults else ''
        if fault == 'before':
            raise LostAnswerError('lost')
        for item in writes:
            if self.read(item.key).version != item.expected:
                raise ConflictError(item.key)
        for item in writes:
            row = Row(item.key, item.expected + 1, item.columns)
            self.rows[item.key] = row
        if fault == 'after':
            raise LostAnswerError('lost')

    def _require_up(self):
        if self.down:
            raise StoreDownError('down')


class FakeObjects(ObjectStore):
    """Object store in memory.

    :ivar down: whether every call fails.
    :ivar truncate: number of bytes to keep of each object, all by default.
    """

    def __init__(self):
        self.objects = {}
        self.down = False
        self.truncate = None

    def put(self, name, content):
        if self.down:
            raise StoreDownError('down')
        self.objects[name] = content[: self.truncate]

    def get(self, name):
        if self.down:
            raise StoreDownError('down')
        if name not in self.objects:
            raise MissingObjectError(name)
        return self.objects[name]
