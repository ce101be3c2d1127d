"""Exchange of copies of the configuration between nodes."""

import contextlib
import threading

from godwitknot.config.configuration import ConfigurationKeeper
from godwitknot.errors import CorruptObjectError, ProtocolError
from godwitknot.membership.directory import Directory
from godwitknot.metrics import Metrics
from godwitknot.proxying.peerlink import LinkError, PeerLink
from godwitknot.units import Address

CONFIGURATION = 'configuration'

_COPY = 'copy'


class ConfigurationCopies:
    """Fetches the configuration from peers and serves it to them."""

    def __init__(
        self,
        directory: Directory,
        keeper: ConfigurationKeeper,
        link: PeerLink,
        metrics: Metrics,
    ) -> None:
        """Set up the exchange.

        :param directory: nodes to fetch from.
        :param keeper: holds the configuration and adopts newer copies.
        :param link: calls the peers.
        :param metrics: counts failed fetches.
        """
        self._directory = directory
        self._keeper = keeper
        self._link = link
        self._metrics = metrics
        self._fetching = threading.Lock()

    def serve(self, method: str, content: bytes) -> object:
        """Handle a peer's request for the configuration."""
        return {_COPY: self._keeper.serialize().decode()}

    def fetch_all(self, seeds: tuple[Address, ...]) -> list[bytes]:
        """Fetch a copy from every seed and peer that answers."""
        local_address = self._directory.local_record.peer
        known = {node.peer for node in self._directory.nodes()}
        copies = []
        for address in (known | set(seeds)) - {local_address}:
            with contextlib.suppress(LinkError):
                copies.append(self._fetch(address))
        return copies

    def handle_newer_version(
        self, version: int, peer: str, address: Address
    ) -> None:
        """Fetch a newer version from the peer that announced it.

        A version announced during a running fetch is ignored: the peer's
        next heartbeat announces it again.
        """
        if self._fetching.acquire(blocking=False):
            threading.Thread(
                target=self._adopt_from, args=(address,), daemon=True
            ).start()

    def _fetch(self, address: Address) -> bytes:
        reply = self._link.call(address, CONFIGURATION)
        return str(reply.get(_COPY, '')).encode()

    def _adopt_from(self, address: Address) -> None:
        try:
            self._keeper.adopt_serialized(self._fetch(address))
        except (LinkError, ProtocolError, CorruptObjectError):
            self._metrics.count('configuration.fetch-failed')
        finally:
            self._fetching.release()
