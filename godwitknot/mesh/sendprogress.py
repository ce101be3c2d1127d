"""Decides if the peer of a connection is gone, from what it acknowledges."""

import enum

import attrs

from godwitknot.clock import Clock

# Without any acknowledgement for this long, the peer is gone or behind a cut.
# Retransmissions and window probes on these links are answered within a second.
SILENT_SECONDS = 4.0
# A peer that answers window probes but takes no data for this long has stopped
# reading. One that reads 10,000 bytes/s over large packets opens its window
# each 6.5 s.
STALLED_SECONDS = 15.0
# Time between two samples counts up to this much, so that a pause of this
# process is no evidence against the peer.
_MAX_STEP_SECONDS = 1.0


class CutReason(enum.StrEnum):
    """Why this process closes a connection."""

    SILENT = 'no acknowledgement'
    STALLED = 'no progress'
    UNANSWERED = 'probes unanswered'


@attrs.frozen
class SentState:
    """What the kernel has of the data written to a connection.

    :param unacknowledged: bytes that the peer has not acknowledged.
    :param in_flight: whether some of them are under way; otherwise the peer
        does not accept more.
    :param silent_seconds: time since the last acknowledgement of any kind, 0
        if the kernel does not report it.
    """

    unacknowledged: int
    in_flight: bool
    silent_seconds: float


class SendProgress:
    """The progress of a peer since data is waiting for it."""

    def __init__(self, clock: Clock) -> None:
        """Create the state of a connection without waiting data."""
        self._clock = clock
        self._sampled_at = float(0)
        self._acknowledged = 0
        # Seconds with waiting data, and those since the latest progress.
        self._waiting_seconds = float(0)
        self._stalled_seconds = float(0)
        self._silence_reported = False

    def begin(self) -> None:
        """Record that data begins to wait."""
        self._sampled_at = self._clock.now()
        self._waiting_seconds = 0
        self._stalled_seconds = 0
        self._silence_reported = False

    def record(self, written: int, state: SentState) -> CutReason | None:
        """Record a sample; return why the connection is to be closed.

        :param written: bytes passed to the kernel since the connection began.
        """
        now = self._clock.now()
        step = min(now - self._sampled_at, _MAX_STEP_SECONDS)
        self._sampled_at = now
        self._waiting_seconds += step
        self._stalled_seconds += step
        acknowledged = written - state.unacknowledged
        if acknowledged != self._acknowledged:
            self._acknowledged = acknowledged
            self._stalled_seconds = 0
            self._silence_reported = False
        if state.silent_seconds:
            self._silence_reported = True
        if self._find_silence(state) >= SILENT_SECONDS:
            return CutReason.SILENT
        if self._stalled_seconds >= STALLED_SECONDS:
            return CutReason.STALLED
        return None

    def _find_silence(self, state: SentState) -> float:
        """Return the seconds without an acknowledgement.

        The kernel counts from the last one, which may be older than the data.
        Some kernels have the field and always report 0.
        """
        if self._silence_reported:
            return min(state.silent_seconds, self._waiting_seconds)
        return self._stalled_seconds
