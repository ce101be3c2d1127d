"""Whether a node is in contact with most of the nodes that it knows."""

import math
import random
from collections.abc import Collection, Hashable

from godwitknot.clock import Clock

# Share of the longest age of a contact after which it is renewed. The rest is
# time for nodes that do not answer, which others have to replace.
_RENEW_SHARE = 0.5
# Time limit of a probe.
_PROBE_SECONDS = 1.0
# One more node is probed for each of these, since some may be gone.
_NODES_PER_SPARE = 5


class MajorityContact:
    """Counts the nodes that have answered lately, and draws those to ask.

    Nodes that are cut off with fewer than half of the others have no majority,
    whatever they hear from each other.
    """

    def __init__(self, clock: Clock) -> None:
        """Create the state of a node that knows no others."""
        self._clock = clock
        self._nodes: Collection[Hashable] = ()
        # When the answered requests were sent, and the latest probes.
        self._reached: dict[Hashable, float] = {}
        self._probed: dict[Hashable, float] = {}

    def record(self, node: Hashable, sent_at: float) -> None:
        """Record an answer.

        :param sent_at: when its request was sent, on the node's clock.
        """
        self._reached[node] = max(self._reached.get(node, sent_at), sent_at)

    def update_nodes(
        self, nodes: Collection[Hashable], max_seconds: float
    ) -> None:
        """Replace the other nodes that serve, and forget old contacts."""
        self._nodes = nodes
        oldest = self._clock.now() - max_seconds
        for times in (self._reached, self._probed):
            for node in tuple(times):
                if times[node] < oldest or node not in nodes:
                    times.pop(node)

    def is_held(self, max_seconds: float) -> bool:
        """Return whether most nodes, including this one, have answered."""
        return self._count_missing(max_seconds) <= 0

    def draw_probes(
        self, max_seconds: float, rng: random.Random
    ) -> list[Hashable]:
        """Return nodes to ask now, so that a majority stays in contact.

        Those that answered last come first, then those not asked lately. Nodes
        that have not answered the latest probe come last.

        :param max_seconds: longest age of a contact that counts.
        """
        now = self._clock.now()
        renewed = now - _RENEW_SHARE * max_seconds
        due = [
            node
            for node in self._nodes
            if self._reached.get(node, -math.inf) < renewed
        ]
        waiting = {
            node
            for node in due
            if self._probed.get(node, -math.inf) > now - _PROBE_SECONDS
        }
        missing = self._count_missing(now - renewed) - len(waiting)
        if missing <= 0:
            return []
        candidates = [node for node in due if node not in waiting]
        # Sets have no fixed order, which would make draws differ for one seed.
        candidates.sort(key=str)
        rng.shuffle(candidates)
        candidates.sort(key=self._rate_age)
        spare = -(-missing // _NODES_PER_SPARE)
        drawn = candidates[: missing + spare]
        self._probed.update(dict.fromkeys(drawn, now))
        return drawn

    def _rate_age(self, node: Hashable) -> tuple[bool, float, float]:
        reached = self._reached.get(node, -math.inf)
        probed = self._probed.get(node, -math.inf)
        return (probed > reached, -reached, probed)

    def _count_missing(self, max_seconds: float) -> int:
        """Return how many more nodes have to answer for a majority.

        A node that knows no other one has none.
        """
        oldest = self._clock.now() - max_seconds
        reached = sum(
            self._reached.get(node, -math.inf) >= oldest for node in self._nodes
        )
        return max(1, (len(self._nodes) + 1) // 2) - reached
