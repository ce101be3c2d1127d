"""Which node is the quota home of an account."""

from collections.abc import Hashable, Set

import xxhash

# Nodes ranked for each account. With as many lost, there is no home.
_DEPTH = 8


def _score(node: Hashable, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{node} {name}'.encode())


class HomeChoice:
    """Ranks the nodes for each account by rendezvous hashes.

    When a node joins or leaves, only the accounts change their home whose home
    it becomes or was.
    """

    def __init__(self) -> None:
        """Create a choice without nodes."""
        # In the order in which they were added, so that tests can repeat runs.
        self._nodes: dict[Hashable, None] = {}
        self._ranks: dict[str, tuple[Hashable, ...]] = {}

    @property
    def nodes(self) -> Set[Hashable]:
        """The nodes that can be a home."""
        return self._nodes.keys()

    def change(self, node: Hashable, *, eligible: bool) -> bool:
        """Add or remove a node; return whether it is a change."""
        if eligible == (node in self._nodes):
            return False
        if eligible:
            self._nodes[node] = None
        else:
            self._nodes.pop(node)
        self._ranks.clear()
        return True

    def rank(self, name: str) -> tuple[Hashable, ...]:
        """Return the nodes with the highest hashes, the home first."""
        ranked = self._ranks.get(name)
        if ranked is None:
            ordered = sorted(
                self._nodes, key=lambda node: _score(node, name), reverse=True
            )
            ranked = tuple(ordered[:_DEPTH])
            self._ranks[name] = ranked
        return ranked
