"""Hash ring of nodes, which determines the peers that each node watches."""

import bisect

import xxhash

from godwitknot.control.records import NodeRecord

# Watching is mutual: a node watches the three nodes before it and the three
# after it on the ring, and the same six watch it.
NEIGHBORS_PER_SIDE = 3


def _position(node_id: str) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(node_id.encode()), node_id)


class Ring:
    """Node ids in the order of their hashes."""

    def __init__(self) -> None:
        """Create an empty ring."""
        self._order: list[tuple[int, str]] = []

    def add(self, node_id: str) -> None:
        """Add a node id, if it is missing."""
        position = _position(node_id)
        index = bisect.bisect_left(self._order, position)
        if self._order[index : index + 1] != [position]:
            self._order.insert(index, position)

    def remove(self, node_id: str) -> None:
        """Remove a node id, if it is present."""
        position = _position(node_id)
        index = bisect.bisect_left(self._order, position)
        if self._order[index : index + 1] == [position]:
            self._order.pop(index)

    def after(self, node_id: str) -> list[str]:
        """Return all other ids in ring order, the next one first."""
        position = _position(node_id)
        index = bisect.bisect_left(self._order, position)
        rotated = self._order[index:] + self._order[:index]
        return [each for _, each in rotated if each != node_id]

    def neighbors(self, node_id: str) -> list[str]:
        """Return the nearest ids on both sides, at most six."""
        others = self.after(node_id)
        if len(others) <= 2 * NEIGHBORS_PER_SIDE:
            return others
        return others[:NEIGHBORS_PER_SIDE] + others[-NEIGHBORS_PER_SIDE:]


def choose_watched(
    local: NodeRecord,
    ring: Ring,
    nodes: dict[str, NodeRecord],
) -> list[str]:
    """Choose the peers that a node watches.

    :param local: record of the node.
    :param nodes: records of all nodes in the ring, by id.
    :returns: ids of the neighbors on the ring. If they are all in the
        failure domain of the node, the next node in another failure domain
        is added.
    """
    chosen = ring.neighbors(local.node_id)
    domain = local.failure_domain
    if any(nodes[peer].failure_domain != domain for peer in chosen):
        return chosen
    for peer in ring.after(local.node_id):
        if nodes[peer].failure_domain != domain:
            return [*chosen, peer]
    return chosen
