"""Log of rows and records that cannot be decoded."""

from godwitknot.mesh.events import EventLog


class UnreadableRows:
    """Logs each unreadable row once, however often it is read.

    A row is logged again if it was readable in between.
    """

    def __init__(self, log: EventLog) -> None:
        """Create an empty list."""
        self._log = log
        self._keys: set[str] = set()

    def report(self, key: str, detail: str) -> None:
        """Log an unreadable row unless it is known.

        :param key: of the row, or name of its origin.
        """
        if key in self._keys:
            return
        self._keys.add(key)
        self._log.write('row unreadable', key=key, detail=detail)

    def clear(self, key: str) -> None:
        """Record that a row is readable."""
        self._keys.discard(key)
