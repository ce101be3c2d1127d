"""Watching of peers: one thread for each sends and checks heartbeats."""

import threading
from collections.abc import Callable

from godwitknot.clock import Clock
from godwitknot.logs import log_event
from godwitknot.membership.links import LinkTable

HEARTBEAT_SECONDS = 1.0
# A longer gap between two heartbeats means that this process was paused.
_PAUSE_SECONDS = 2.0

SendHeartbeat = Callable[[str], None]
ReportSilence = Callable[[str], None]


class PeerWatch:
    """Thread that watches one peer until it is stopped."""

    def __init__(
        self,
        peer: str,
        links: LinkTable,
        clock: Clock,
        send: SendHeartbeat,
        report: ReportSilence,
    ) -> None:
        """Prepare the thread.

        :param send: sends a heartbeat to the peer.
        :param report: called at each heartbeat while the link is not whole.
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
        """Start watching."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end; it does so without another heartbeat."""
        self._stopped.set()

    def join(self) -> None:
        """Wait for the end of the thread."""
        self._thread.join()

    def _run(self) -> None:
        self._links.restart(self._peer)
        last = self._clock.now()
        whole = True
        while not self._stopped.is_set():
            self._send(self._peer)
            self._stopped.wait(HEARTBEAT_SECONDS)
            now = self._clock.now()
            if now - last > _PAUSE_SECONDS:
                self._links.excuse(self._peer, now - last)
            last = now
            state = self._links.state(self._peer)
            if state.is_whole != whole:
                whole = state.is_whole
                log_event(
                    'control link changed',
                    peer=self._peer,
                    hears=state.hears,
                    is_heard=state.is_heard,
                )
            if not whole and not self._stopped.is_set():
                self._report(self._peer)


class WatchSet:
    """The watches of a node."""

    def __init__(
        self,
        links: LinkTable,
        clock: Clock,
        send: SendHeartbeat,
        report: ReportSilence,
    ) -> None:
        """Start with no watch; see :class:`PeerWatch`."""
        self._links = links
        self._clock = clock
        self._send = send
        self._report = report
        self._watches: dict[str, PeerWatch] = {}

    def __contains__(self, peer: str) -> bool:
        """Tell whether a peer is watched."""
        return peer in self._watches

    def set_peers(self, peers: set[str]) -> None:
        """Watch these peers and no others."""
        for left in set(self._watches) - peers:
            self._watches.pop(left).stop()
        for peer in peers - set(self._watches):
            watch = PeerWatch(
                peer, self._links, self._clock, self._send, self._report
            )
            self._watches[peer] = watch
            watch.start()
        self._links.forget_unused(peers)

    def stop(self) -> None:
        """End all watches."""
        watches = list(self._watches.values())
        self.set_peers(set())
        for watch in watches:
            watch.join()
