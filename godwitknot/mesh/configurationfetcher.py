"""Fetches a newer configuration from other nodes."""

import asyncio
from collections.abc import Awaitable, Callable

from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.units import Address

# The store notifies each node of a new configuration. A node fetches it from a
# peer only if that takes longer than this.
_FETCH_DELAY_SECONDS = 0.5


class ConfigurationFetcher:
    """Fetches from one peer at a time, however many have a newer version.

    Concurrent copies would share the link of this node, and each would take
    longer.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        fetch: Callable[[Address], Awaitable[None]],
    ) -> None:
        """Create a fetcher without announcements.

        :param fetch: requests a copy from a peer and adopts it; returns also
            if there was none.
        """
        self._holder = holder
        self._fetch = fetch
        # Versions of the peers that have not been asked yet.
        self._announced: dict[Address, int] = {}
        self._task: asyncio.Task | None = None

    def announce(self, address: Address, version: int) -> None:
        """Record the version of a peer, and fetch it if it is newer."""
        if version <= self._holder.version:
            return
        self._announced[address] = version
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._fetch_announced())

    async def _fetch_announced(self) -> None:
        while self._announced:
            # A node without a configuration serves no requests.
            if self._holder.version:
                await asyncio.sleep(_FETCH_DELAY_SECONDS)
            address = self._pop_announcer()
            if address is not None:
                await self._fetch(address)

    def _pop_announcer(self) -> Address | None:
        """Return the peer with the newest version, if it is still newer."""
        address = max(self._announced, key=self._announced.__getitem__)
        if self._announced[address] <= self._holder.version:
            self._announced.clear()
            return None
        self._announced.pop(address)
        return address
