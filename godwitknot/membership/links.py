"""State of the control link to a peer, by heartbeats in both directions."""

import threading

import attrs

from godwitknot.clock import Clock
from godwitknot.control.messages import Heartbeat

# Three heartbeats lost.
SILENCE_SECONDS = 3.0
# Links that no heartbeat used for this long are dropped.
_UNUSED_SECONDS = 60


@attrs.frozen
class LinkState:
    """Which directions of a link work.

    :param hears: whether the peer was heard within 3 s.
    :param is_heard: whether the peer confirmed a heartbeat within 3 s.
    """

    hears: bool
    is_heard: bool

    @property
    def is_whole(self) -> bool:
        """Whether both directions work."""
        return self.hears and self.is_heard


@attrs.define
class _Link:
    incarnation: int
    heard_at: float
    confirmed_at: float
    sent: int = 0
    heard: int = 0
    confirmed: int = 0
    complained_at: float = 0


class LinkTable:
    """Links to all peers that heartbeats were sent to or received from."""

    def __init__(self, clock: Clock) -> None:
        """Start with no link."""
        self._clock = clock
        self._links: dict[str, _Link] = {}
        self._lock = threading.Lock()

    def next_counters(self, peer: str) -> tuple[int, int]:
        """Count a heartbeat to a peer.

        :returns: its sequence and the last sequence heard from the peer.
        """
        with self._lock:
            link = self._find(peer)
            link.sent += 1
            return link.sent, link.heard

    def note(self, peer: str, incarnation: int, message: Heartbeat) -> bool:
        """Note a heartbeat of a peer.

        :returns: whether it was later than all before.
        """
        now = self._clock.now()
        with self._lock:
            link = self._find(peer)
            if link.incarnation != incarnation:
                link.incarnation = incarnation
                link.heard = 0
            if message.sequence <= link.heard:
                return False
            link.heard = message.sequence
            link.heard_at = now
            if link.confirmed < message.last_heard <= link.sent:
                link.confirmed = message.last_heard
                link.confirmed_at = now
        return True

    def state(self, peer: str) -> LinkState:
        """Give the state of the link to a peer; a new link is whole."""
        earliest = self._clock.now() - SILENCE_SECONDS
        with self._lock:
            link = self._find(peer)
            return LinkState(
                hears=link.heard_at >= earliest,
                is_heard=link.confirmed_at >= earliest,
            )

    def restart(self, peer: str) -> None:
        """Give a peer that is watched from now on the full silence time."""
        now = self._clock.now()
        with self._lock:
            link = self._find(peer)
            link.heard_at = now
            link.confirmed_at = now

    def excuse(self, peer: str, seconds: float) -> None:
        """Leave out a time in which this node itself did not run."""
        with self._lock:
            link = self._find(peer)
            link.heard_at += seconds
            link.confirmed_at += seconds

    def may_complain(self, peer: str) -> bool:
        """Tell whether a second passed since the last complaint."""
        now = self._clock.now()
        with self._lock:
            link = self._find(peer)
            if now - link.complained_at < 1:
                return False
            link.complained_at = now
            return True

    def forget_unused(self, used: set[str]) -> None:
        """Drop the links of peers that are neither watched nor heard."""
        earliest = self._clock.now() - _UNUSED_SECONDS
        with self._lock:
            self._links = {
                peer: link
                for peer, link in self._links.items()
                if peer in used or link.heard_at >= earliest
            }

    def _find(self, peer: str) -> _Link:
        link = self._links.get(peer)
        if link is None:
            now = self._clock.now()
            link = _Link(0, heard_at=now, confirmed_at=now)
            self._links[peer] = link
        return link
