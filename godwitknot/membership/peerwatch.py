"""Peer watches: one thread for each peer sends and checks heartbeats."""

import threading
from collections.abc import Callable

from godwitknot.clock import Clock
from godwitknot.logs import log_event
from godwitknot.membership.links import LinkTable

HEARTBEAT_SECONDS = 1.0
# A longer gap between two heartbeats shows that this process was paused, so
# the link timeout of the peer is extended by the gap.
_MAX_GAP_SECONDS = 2.0

SendHeartbeat = Callable[[str], None]
ReportPeer = Callable[[str], None]


class PeerWatch:
    """Thread that watches one peer until it is stopped."""

    def __init__(
        self,
        peer: str,
        links: LinkTable,
        clock: Clock,
        send: SendHeartbeat,
        report: ReportPeer,
    ) -> None:
        """Create the thread without starting it.

        :param send: sends a heartbeat to the peer.
        :param report: called after each heartbeat interval while the link
            is not healthy.
        """
        self._peer = peer
        self._links = links
        self._clock = clock
        self._send = send
        self._report = report
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f'watch-{peer}', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Signal the thread to end; it sends no further heartbeat."""
        self._stopped.set()

    def join(self) -> None:
        """Wait until the thread has ended."""
        self._thread.join()

    def _run(self) -> None:
        self._links.reset_timers(self._peer)
        last = self._clock.now()
        healthy = True
        while not self._stopped.is_set():
            self._send(self._peer)
            self._stopped.wait(HEARTBEAT_SECONDS)
            now = self._clock.now()
            if now - last > _MAX_GAP_SECONDS:
                self._links.extend_timers(self._peer, now - last)
            last = now
            state = self._links.state(self._peer)
            if state.is_healthy != healthy:
                healthy = state.is_healthy
                log_event(
                    'control link changed',
                    peer=self._peer,
                    hears=state.inbound_ok,
                    is_heard=state.outbound_ok,
                )
            if not healthy and not self._stopped.is_set():
                self._report(self._peer)


class PeerWatches:
    """The peer watches of a node."""

    def __init__(
        self,
        links: LinkTable,
        clock: Clock,
        send: SendHeartbeat,
        report: ReportPeer,
    ) -> None:
        """Create an empty set; for the arguments see :class:`PeerWatch`."""
        self._links = links
        self._clock = clock
        self._send = send
        self._report = report
        self._watches: dict[str, PeerWatch] = {}

    def __contains__(self, peer: str) -> bool:
        """Return whether a peer is watched."""
        return peer in self._watches

    def set_peers(self, peers: set[str]) -> None:
        """Start and stop watches so that exactly these peers are watched."""
        for removed in set(self._watches) - peers:
            self._watches.pop(removed).stop()
        for peer in peers - set(self._watches):
            watch = PeerWatch(
                peer, self._links, self._clock, self._send, self._report
            )
            self._watches[peer] = watch
            watch.start()
        self._links.remove_idle(peers)

    def stop(self) -> None:
        """Stop all watches and wait for their threads."""
        watches = list(self._watches.values())
        self.set_peers(set())
        for watch in watches:
            watch.join()
