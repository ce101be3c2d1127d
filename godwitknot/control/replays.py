"""Which datagrams of a sender are new, by incarnation and sequence."""

import enum

import attrs

# Datagrams that overtake each other by more than this are dropped.
_WINDOW = 1024
_MASK = (1 << _WINDOW) - 1


class Freshness(enum.StrEnum):
    """Verdict on a datagram; the value names the drop counter."""

    FRESH = 'fresh'
    REPLAYED = 'replayed'
    OLD_INCARNATION = 'old-incarnation'


@attrs.define
class _Sender:
    incarnation: int
    highest: int
    seen: int
    heard_at: float


class ReplayGuard:
    """Remembers the incarnation and latest sequences of each sender."""

    def __init__(self, hold: float) -> None:
        """Start empty.

        :param hold: seconds after which a silent sender is forgotten.
        """
        self._hold = hold
        self._senders: dict[str, _Sender] = {}

    def check(
        self,
        sender: str,
        incarnation: int,
        sequence: int,
        now: float,
    ) -> Freshness:
        """Judge a verified datagram and remember it.

        :param now: monotonic seconds.
        """
        known = self._senders.get(sender)
        if known is None or incarnation > known.incarnation:
            self._forget(now)
            self._senders[sender] = _Sender(incarnation, sequence, 1, now)
            return Freshness.FRESH
        if incarnation < known.incarnation:
            return Freshness.OLD_INCARNATION
        known.heard_at = now
        return self._check_sequence(known, sequence)

    def incarnation(self, sender: str) -> int:
        """Give the latest incarnation seen from a sender, 0 if none."""
        known = self._senders.get(sender)
        return known.incarnation if known else 0

    def _check_sequence(self, known: _Sender, sequence: int) -> Freshness:
        ahead = sequence - known.highest
        if ahead > 0:
            shift = min(ahead, _WINDOW)
            known.seen = (known.seen << shift | 1) & _MASK
            known.highest = sequence
            return Freshness.FRESH
        bit = 1 << -ahead if -ahead < _WINDOW else 0
        if not bit or known.seen & bit:
            return Freshness.REPLAYED
        known.seen |= bit
        return Freshness.FRESH

    def _forget(self, now: float) -> None:
        silent = [
            sender
            for sender, known in self._senders.items()
            if now - known.heard_at > self._hold
        ]
        for sender in silent:
            self._senders.pop(sender)
