"""Query-of-death detection: requests that crash each server they reach."""

import collections
import threading

import xxhash

from godwitknot.clock import Clock
from godwitknot.control.messages import Clearance, CrashReport

_BLOCK_SECONDS = 600.0
# Crash reports and successes of the same moment cross each other while
# they spread through the fleet.
_RECENT_SUCCESS_SECONDS = 10.0
_CRASHES_NEEDED = 2
_SUSPECTS_KEPT = 4096
_SUCCESSES_KEPT = 8192

_Place = tuple[str, int]


def compute_fingerprint(
    service: str,
    method: str,
    path: str,
    body: bytes,
) -> int:
    """Give the 64-bit fingerprint by which a request is recognized."""
    digest = xxhash.xxh3_64()
    for part in (service.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.intdigest()


class _Suspect:
    """Servers that crashed while they ran one request."""

    def __init__(self) -> None:
        self.servers: set[tuple[str, str]] = set()
        self.last_crash = float(0)

    @property
    def is_fatal(self) -> bool:
        return len(self.servers) >= _CRASHES_NEEDED


class CrashTracker:
    """Refuses requests that crashed two servers without a success.

    Memory is bounded; the suspects and successes seen longest ago are
    forgotten first.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without suspects."""
        self._clock = clock
        self._lock = threading.Lock()
        self._suspects: collections.OrderedDict[_Place, _Suspect] = (
            collections.OrderedDict()
        )
        self._successes: collections.OrderedDict[_Place, float] = (
            collections.OrderedDict()
        )

    def record_crash(self, report: CrashReport) -> tuple[Clearance, ...]:
        """Take in the requests that were in flight at a crash.

        A repeated report changes nothing.

        :returns: clearances to spread, of requests that succeeded lately.
        """
        clearances = []
        with self._lock:
            now = self._clock.now()
            for fingerprint in report.fingerprints:
                place = (report.service, fingerprint)
                if self._succeeded_lately(place, now):
                    clearances.append(Clearance(*place))
                    continue
                suspect = self._suspects.setdefault(place, _Suspect())
                suspect.servers.add((report.node_id, report.server))
                suspect.last_crash = now
                self._suspects.move_to_end(place)
            _trim(self._suspects, _SUSPECTS_KEPT)
        return tuple(clearances)

    def record_success(self, service: str, fingerprint: int) -> bool:
        """Take in a success, here or anywhere in the fleet.

        :returns: whether it cleared a suspect, so that it must be spread.
        """
        place = (service, fingerprint)
        with self._lock:
            self._successes[place] = self._clock.now()
            self._successes.move_to_end(place)
            _trim(self._successes, _SUCCESSES_KEPT)
            return self._suspects.pop(place, None) is not None

    def is_blocked(self, service: str, fingerprint: int) -> bool:
        """Tell whether a request is refused as a query of death."""
        place = (service, fingerprint)
        with self._lock:
            suspect = self._suspects.get(place)
            if suspect is None:
                return False
            if suspect.last_crash + _BLOCK_SECONDS <= self._clock.now():
                self._suspects.pop(place)
                return False
            return suspect.is_fatal

    def list_blocked(self) -> tuple[_Place, ...]:
        """Give service and fingerprint of all requests refused now."""
        with self._lock:
            places = tuple(self._suspects)
        return tuple(place for place in places if self.is_blocked(*place))

    def _succeeded_lately(self, place: _Place, now: float) -> bool:
        at = self._successes.get(place)
        return at is not None and at > now - _RECENT_SUCCESS_SECONDS


def _trim(kept: collections.OrderedDict, most: int) -> None:
    while len(kept) > most:
        kept.popitem(last=False)
