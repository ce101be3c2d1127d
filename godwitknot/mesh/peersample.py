"""Random samples of the other nodes, by failure domain."""

import random
from collections.abc import Iterable

from godwitknot.mesh.memberdirectory import Directory, Member
from godwitknot.mesh.serverselector import ServerSelector


class PeerSample:
    """Draws nodes to exchange news with.

    Traffic between failure domains is billed, so most of them are of the own
    one.
    """

    def __init__(
        self,
        directory: Directory,
        selector: ServerSelector,
        rng: random.Random,
    ) -> None:
        """Create a sample of the nodes in a directory.

        :param selector: tracks which nodes are reachable.
        """
        self._directory = directory
        self._selector = selector
        self._rng = rng

    def list_serving(self) -> list[Member]:
        """Return the other nodes that are serving and reachable."""
        unreachable = self._selector.unreachable
        return [
            each
            for each in self._directory.list_peers()
            if each.serving and each.address not in unreachable
        ]

    def draw(
        self, peers: Iterable[Member], same_count: int, other_count: int
    ) -> list[Member]:
        """Return a random sample of peers.

        :param same_count: number of peers in the same failure domain. If it
            has fewer, they are replaced by peers in other domains.
        :param other_count: number of peers in other failure domains.
        """
        zone = self._directory.local_member.zone
        same = [each for each in peers if each.zone == zone]
        others = [each for each in peers if each.zone != zone]
        chosen = self._rng.sample(same, min(same_count, len(same)))
        missing = same_count + other_count - len(chosen)
        chosen += self._rng.sample(others, min(missing, len(others)))
        return chosen

    def draw_from_each_domain(self, peers: Iterable[Member]) -> list[Member]:
        """Return one peer of each other failure domain."""
        domains: dict[str, list[Member]] = {}
        for peer in peers:
            domains.setdefault(peer.zone, []).append(peer)
        domains.pop(self._directory.local_member.zone, None)
        return [self._rng.choice(members) for members in domains.values()]
