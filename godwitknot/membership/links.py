"""State of the control link to each peer, from heartbeats both ways."""

import threading

import attrs

from godwitknot.clock import Clock
from godwitknot.control.messages import Heartbeat

# Three consecutive heartbeats lost.
LINK_TIMEOUT_SECONDS = 3.0
# Links without a heartbeat for this long are removed.
_IDLE_SECONDS = 60


@attrs.frozen
class LinkState:
    """Which directions of a link work.

    :param inbound_ok: whether a heartbeat arrived within the last 3 s.
    :param outbound_ok: whether the peer confirmed a heartbeat within the
        last 3 s.
    """

    inbound_ok: bool
    outbound_ok: bool

    @property
    def is_healthy(self) -> bool:
        """Whether both directions work."""
        return self.inbound_ok and self.outbound_ok


@attrs.define
class _Link:
    incarnation: int
    received_at: float
    confirmed_at: float
    last_sent: int = 0
    last_received: int = 0
    last_confirmed: int = 0
    notified_at: float = 0


class LinkTable:
    """Links to all peers that heartbeats were sent to or received from."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty table."""
        self._clock = clock
        self._links: dict[str, _Link] = {}
        self._lock = threading.Lock()

    def next_counters(self, peer: str) -> tuple[int, int]:
        """Allocate the sequence number of a heartbeat to a peer.

        :returns: this number and the last one received from the peer.
        """
        with self._lock:
            link = self._find(peer)
            link.last_sent += 1
            return link.last_sent, link.last_received

    def record_heartbeat(
        self, peer: str, incarnation: int, message: Heartbeat
    ) -> bool:
        """Record a heartbeat received from a peer.

        :returns: whether its sequence number is higher than all before, so
            that it is neither a duplicate nor reordered.
        """
        now = self._clock.now()
        with self._lock:
            link = self._find(peer)
            if link.incarnation != incarnation:
                link.incarnation = incarnation
                link.last_received = 0
            if message.sequence <= link.last_received:
                return False
            link.last_received = message.sequence
            link.received_at = now
            if link.last_confirmed < message.last_heard <= link.last_sent:
                link.last_confirmed = message.last_heard
                link.confirmed_at = now
        return True

    def state(self, peer: str) -> LinkState:
        """Return the state of the link to a peer; a new link is healthy."""
        earliest = self._clock.now() - LINK_TIMEOUT_SECONDS
        with self._lock:
            link = self._find(peer)
            return LinkState(
                inbound_ok=link.received_at >= earliest,
                outbound_ok=link.confirmed_at >= earliest,
            )

    def reset_timers(self, peer: str) -> None:
        """Restart the timeout of a peer that is watched from now on."""
        now = self._clock.now()
        with self._lock:
            link = self._find(peer)
            link.received_at = now
            link.confirmed_at = now

    def extend_timers(self, peer: str, seconds: float) -> None:
        """Extend the timeout of a peer by a pause of this process.

        :param seconds: how long this process did not run.
        """
        with self._lock:
            link = self._find(peer)
            link.received_at += seconds
            link.confirmed_at += seconds

    def try_notify(self, peer: str) -> bool:
        """Return whether a peer may be notified now; at most once a second.

        A notification tells the peer that its record is out of date here.
        """
        now = self._clock.now()
        with self._lock:
            link = self._find(peer)
            if now - link.notified_at < 1:
                return False
            link.notified_at = now
            return True

    def remove_idle(self, used: set[str]) -> None:
        """Remove links that are idle and whose peers are not in use."""
        earliest = self._clock.now() - _IDLE_SECONDS
        with self._lock:
            self._links = {
                peer: link
                for peer, link in self._links.items()
                if peer in used or link.received_at >= earliest
            }

    def _find(self, peer: str) -> _Link:
        link = self._links.get(peer)
        if link is None:
            now = self._clock.now()
            link = _Link(0, received_at=now, confirmed_at=now)
            self._links[peer] = link
        return link
