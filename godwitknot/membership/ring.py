"""Ring order of nodes by hash: who watches whom."""

import bisect

import xxhash

from godwitknot.control.records import NodeRecord

# Neighbours on each side of the ring. Watching is mutual: a node watches
# three nodes before it and three after it and is watched by the same six.
NEIGHBOURS_EACH_SIDE = 3


def _position(node_id: str) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(node_id.encode()), node_id)


class Ring:
    """Node ids in the order of their hash."""

    def __init__(self) -> None:
        """Start empty."""
        self._order: list[tuple[int, str]] = []

    def add(self, node_id: str) -> None:
        """Add a node id; adding it again has no effect."""
        position = _position(node_id)
        index = bisect.bisect_left(self._order, position)
        if self._order[index : index + 1] != [position]:
            self._order.insert(index, position)

    def remove(self, node_id: str) -> None:
        """Remove a node id, if it is there."""
        position = _position(node_id)
        index = bisect.bisect_left(self._order, position)
        if self._order[index : index + 1] == [position]:
            self._order.pop(index)

    def after(self, node_id: str) -> list[str]:
        """Give all other ids, starting with the one that follows."""
        position = _position(node_id)
        index = bisect.bisect_left(self._order, position)
        turned = self._order[index:] + self._order[:index]
        return [each for _, each in turned if each != node_id]

    def neighbours(self, node_id: str) -> list[str]:
        """Give the nearest ids on both sides, at most six."""
        others = self.after(node_id)
        if len(others) <= 2 * NEIGHBOURS_EACH_SIDE:
            return others
        return others[:NEIGHBOURS_EACH_SIDE] + others[-NEIGHBOURS_EACH_SIDE:]


def choose_watched(
    own: NodeRecord,
    ring: Ring,
    nodes: dict[str, NodeRecord],
) -> list[str]:
    """Choose the peers that a node watches.

    :param nodes: records of the nodes in the ring.
    :returns: the ring neighbours, and if they are all in the failure domain
        of the node, the next one in another failure domain.
    """
    chosen = ring.neighbours(own.node_id)
    domain = own.failure_domain
    if any(nodes[peer].failure_domain != domain for peer in chosen):
        return chosen
    for peer in ring.after(own.node_id):
        if nodes[peer].failure_domain != domain:
            return [*chosen, peer]
    return chosen
