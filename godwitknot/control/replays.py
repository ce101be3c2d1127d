"""Replay protection by the incarnation and sequence of each datagram."""

import enum

import attrs

# Datagrams that are reordered by this many sequence numbers are dropped.
_WINDOW_SIZE = 1024
_WINDOW_MASK = (1 << _WINDOW_SIZE) - 1


class DatagramStatus(enum.StrEnum):
    """Result of a replay check; the value names the counter of drops."""

    FRESH = 'fresh'
    REPLAYED = 'replayed'
    OLD_INCARNATION = 'old-incarnation'


@attrs.define
class _SenderState:
    incarnation: int
    highest: int
    received_bits: int
    received_at: float


class ReplayGuard:
    """Sliding windows of the sequence numbers received from each sender."""

    def __init__(self, retention: float) -> None:
        """Create a guard that has received nothing.

        :param retention: seconds after which an idle sender is removed.
        """
        self._retention = retention
        self._senders: dict[str, _SenderState] = {}

    def check(
        self,
        sender: str,
        incarnation: int,
        sequence: int,
        now: float,
    ) -> DatagramStatus:
        """Check a verified datagram and record it as received.

        :param now: monotonic seconds.
        """
        state = self._senders.get(sender)
        if state is None or incarnation > state.incarnation:
            self._remove_expired(now)
            self._senders[sender] = _SenderState(incarnation, sequence, 1, now)
            return DatagramStatus.FRESH
        if incarnation < state.incarnation:
            return DatagramStatus.OLD_INCARNATION
        state.received_at = now
        return self._check_sequence(state, sequence)

    def incarnation(self, sender: str) -> int:
        """Return the latest incarnation of a sender, 0 if there is none."""
        state = self._senders.get(sender)
        return state.incarnation if state else 0

    def _check_sequence(
        self, state: _SenderState, sequence: int
    ) -> DatagramStatus:
        ahead = sequence - state.highest
        if ahead > 0:
            shift = min(ahead, _WINDOW_SIZE)
            state.received_bits = (
                state.received_bits << shift | 1
            ) & _WINDOW_MASK
            state.highest = sequence
            return DatagramStatus.FRESH
        bit = 1 << -ahead if -ahead < _WINDOW_SIZE else 0
        if not bit or state.received_bits & bit:
            return DatagramStatus.REPLAYED
        state.received_bits |= bit
        return DatagramStatus.FRESH

    def _remove_expired(self, now: float) -> None:
        expired = [
            sender
            for sender, state in self._senders.items()
            if now - state.received_at > self._retention
        ]
        for sender in expired:
            self._senders.pop(sender)
