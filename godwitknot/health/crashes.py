"""Query-of-death detection: requests that crash every server they reach."""

import collections
import threading

import xxhash

from godwitknot.clock import Clock
from godwitknot.control.messages import Clearance, CrashReport

_BLOCK_SECONDS = 600.0
# Reports of a crash and of a success at about the same time arrive in any
# order while they propagate through the fleet.
_RECENT_SUCCESS_SECONDS = 10.0
_MIN_CRASHED_SERVERS = 2
_MAX_SUSPECTS = 4096
# Of an entry; 144 and 509 as measured with 5,000 of each.
_SUCCESS_BYTES = 150
_SUSPECT_BYTES = 520
_MAX_SUCCESSES = 8192

_RequestKey = tuple[str, int]


def compute_fingerprint(
    service: str,
    method: str,
    path: str,
    body: bytes,
) -> int:
    """Return the 64-bit fingerprint that identifies equal requests."""
    digest = xxhash.xxh3_64()
    for part in (service.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.intdigest()


class _Suspect:
    """Servers that crashed while they ran the same request."""

    def __init__(self) -> None:
        self.servers: set[tuple[str, str]] = set()
        self.last_crash = float(0)

    @property
    def is_fatal(self) -> bool:
        return len(self.servers) >= _MIN_CRASHED_SERVERS


class CrashTracker:
    """Blocks requests that crashed two servers without a success.

    Memory is bounded; the least recently seen suspects and successes are
    dropped first.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a tracker without suspects."""
        self._clock = clock
        self._lock = threading.Lock()
        self._suspects: collections.OrderedDict[_RequestKey, _Suspect] = (
            collections.OrderedDict()
        )
        self._successes: collections.OrderedDict[_RequestKey, float] = (
            collections.OrderedDict()
        )

    def record_crash(self, report: CrashReport) -> tuple[Clearance, ...]:
        """Record the requests that were in flight at a crash.

        A repeated report has no effect beyond the time of the last crash.

        :returns: clearances to send to the fleet, for the requests that
            succeeded recently.
        """
        clearances = []
        with self._lock:
            now = self._clock.now()
            for fingerprint in report.fingerprints:
                key = (report.service, fingerprint)
                if self._succeeded_recently(key, now):
                    clearances.append(Clearance(*key))
                    continue
                suspect = self._suspects.setdefault(key, _Suspect())
                suspect.servers.add((report.node_id, report.server))
                suspect.last_crash = now
                self._suspects.move_to_end(key)
            _trim(self._suspects, _MAX_SUSPECTS)
        return tuple(clearances)

    def record_success(self, service: str, fingerprint: int) -> bool:
        """Record a success on any server of the fleet.

        :returns: whether it cleared a suspect, so that the fleet must learn
            of it.
        """
        key = (service, fingerprint)
        with self._lock:
            self._successes[key] = self._clock.now()
            self._successes.move_to_end(key)
            _trim(self._successes, _MAX_SUCCESSES)
            return self._suspects.pop(key, None) is not None

    def is_blocked(self, service: str, fingerprint: int) -> bool:
        """Return whether a request is refused as a query of death."""
        key = (service, fingerprint)
        with self._lock:
            suspect = self._suspects.get(key)
            if suspect is None:
                return False
            if suspect.last_crash + _BLOCK_SECONDS <= self._clock.now():
                self._suspects.pop(key)
                return False
            return suspect.is_fatal

    @property
    def table_bytes(self) -> int:
        """Estimated size of what is kept of requests, in bytes."""
        suspects = _SUSPECT_BYTES * len(self._suspects)
        return suspects + _SUCCESS_BYTES * len(self._successes)

    def list_blocked(self) -> tuple[_RequestKey, ...]:
        """Return service and fingerprint of all blocked requests."""
        with self._lock:
            keys = tuple(self._suspects)
        return tuple(key for key in keys if self.is_blocked(*key))

    def _succeeded_recently(self, key: _RequestKey, now: float) -> bool:
        at = self._successes.get(key)
        return at is not None and at > now - _RECENT_SUCCESS_SECONDS


def _trim(entries: collections.OrderedDict, max_entries: int) -> None:
    while len(entries) > max_entries:
        entries.popitem(last=False)
