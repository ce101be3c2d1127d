"""Nodes that closed their connections and may be restarting."""

from godwitknot.clock import Clock
from godwitknot.mesh.memberdirectory import Directory
from godwitknot.mesh.relayclient import RelayClient
from godwitknot.units import Address

# A node that closed its connections restarts within seconds, or its machine
# is replaced and the node never replies again.
_RESTART_TIMEOUT_SECONDS = 30.0


class RestartingNodes:
    """Remembers the nodes of the same failure domain for some time.

    Nodes of other failure domains are probed by those next to them.
    """

    def __init__(
        self,
        directory: Directory,
        relay: RelayClient,
        clock: Clock,
    ) -> None:
        """Create an empty record.

        :param relay: its connections show which nodes closed theirs.
        """
        self._directory = directory
        self._relay = relay
        self._clock = clock
        # Until when to probe each node.
        self._ends: dict[Address, float] = {}

    def list_nodes(self) -> list[Address]:
        """Return the nodes to probe, including those that closed just now."""
        now = self._clock.now()
        closed = set(self._relay.remove_closed())
        zone = self._directory.local_member.zone
        for peer in self._directory.list_peers():
            if peer.address in closed and peer.zone == zone:
                self._ends[peer.address] = now + _RESTART_TIMEOUT_SECONDS
        self._ends = {
            address: end for address, end in self._ends.items() if now < end
        }
        return list(self._ends)

    def remove(self, address: Address) -> None:
        """Stop probing a node that has answered."""
        self._ends.pop(address, None)
