"""Whether a node may have missed the revocation of a key."""

import math
import random
from collections.abc import Collection, Hashable

from godwitknot.accounts.majoritycontact import MajorityContact
from godwitknot.clock import Clock

# Nodes that must have no newer configuration than one that starts. A node that
# runs for longer than the start of a fleet takes has received all changes, so
# that one such node is enough.
_COMPARED_NODES = 3
# How long a node that starts waits for them: digests are a second apart, and
# nodes that cannot be reached must not keep it from serving.
_CONFIRM_SECONDS = 3.0
# The same while it knows that there is a newer one, which it may be unable to
# read; a restarted node has 15 s to become ready.
_FETCH_SECONDS = 10.0
# Share of the longest time out of touch after which a node asks others. They
# answer within the rest, also if the first ones are gone.
_PROBE_SHARE = 0.4


class Freshness:
    """Compares the age of a node's configuration with that of others.

    The store of a node that starts may have been restored from an older copy,
    in which a revoked key is still valid. Other nodes have the newer one.
    """

    def __init__(self, clock: Clock, *, first_start: bool = False) -> None:
        """Create the state of a node without a configuration.

        :param first_start: whether the whole fleet starts for the first time,
            so that there is nothing to miss.
        """
        self._clock = clock
        self._confirmed = first_start
        self._compared: set[Hashable] = set()
        self._version = 0
        self._newest_version = 0
        self._began: float | None = None
        self._has_store = False
        # When this node or one that it has heard reached the store.
        self._store_reached_at = -math.inf
        # The same, also by the word of nodes of the previous release.
        self._evident_at = clock.now()
        self._majority = MajorityContact(clock)

    def record_configuration(self, version: int) -> None:
        """Record a configuration that came into force."""
        self._version = version
        if self._began is None:
            self._began = self._clock.now()

    def record_store(self, connected: bool) -> None:
        """Record whether the latest call reached the store."""
        self._has_store = connected
        if connected:
            self._record_evidence(self._clock.now())

    def record_version(
        self,
        node: Hashable,
        version: int,
        *,
        runs_longer: bool,
        other_nodes: int,
    ) -> None:
        """Record the version of another node's configuration.

        :param runs_longer: whether it started well before this node.
        :param other_nodes: how many other nodes are known to serve.
        """
        self._newest_version = max(self._newest_version, version)
        if version > self._version:
            return
        if self._confirmed or not self._version:
            return
        self._compared.add(node)
        needed = max(1, min(_COMPARED_NODES, other_nodes))
        self._confirmed = runs_longer or len(self._compared) >= needed

    def is_confirmed(self) -> bool:
        """Return whether other nodes have nothing newer than the first read.

        A node that can compare with none has only its own word after a while.
        """
        if self._confirmed or self._began is None:
            return self._confirmed
        seconds = self._clock.now() - self._began
        has_newest = self._newest_version <= self._version
        limit = _CONFIRM_SECONDS if has_newest else _FETCH_SECONDS
        self._confirmed = seconds >= limit
        return self._confirmed

    @property
    def store_age(self) -> float:
        """Seconds since this node or one that it heard reached the store.

        Only calls that the store has answered count: a call that waits shows
        nothing. Infinite if none was.
        """
        return self._clock.now() - self._store_reached_at

    def record_reply(
        self,
        node: Hashable,
        version: int,
        sent_at: float,
        store_age: float | None,
    ) -> None:
        """Record the reply of a node to a digest.

        It counts from the time of the digest, since a reply may have waited. A
        node with a newer configuration shows that this one missed a change.

        :param version: of the other node's configuration.
        :param sent_at: when the digest was sent, on this node's clock.
        :param store_age: of the other node; ``None`` for a node of the previous
            release, which counts as one that has reached the store.
        """
        self._newest_version = max(self._newest_version, version)
        if self._newest_version > self._version:
            return
        self.record_contact(node, sent_at)
        if store_age is None:
            self._evident_at = max(self._evident_at, sent_at)
        else:
            self._record_evidence(sent_at - store_age)

    def record_contact(self, node: Hashable, sent_at: float) -> None:
        """Record that a node has answered a probe.

        :param sent_at: when the probe was sent, on this node's clock.
        """
        if self._newest_version <= self._version:
            self._majority.record(node, sent_at)

    def list_probes(
        self,
        nodes: Collection[Hashable],
        max_seconds: float,
        rng: random.Random,
    ) -> list[Hashable]:
        """Return the nodes to ask now whether they are in contact.

        There are none while this node or those that it hears reach the store.

        :param nodes: other nodes that are known to serve.
        :param max_seconds: within which a revocation must be in force.
        """
        self._majority.update_nodes(nodes, max_seconds)
        age = self._clock.now() - self._evident_at
        if self._has_store or age < _PROBE_SHARE * max_seconds:
            return []
        return self._majority.draw_probes(max_seconds, rng)

    def is_out_of_touch(self, max_seconds: float) -> bool:
        """Return whether a revocation may have passed this node by.

        It needs evidence from outside any group that may be cut off with it:
        the store was reached lately by a node that it hears, or it is in
        contact with most nodes. The latter holds also if the store is down.

        :param max_seconds: within which a revocation must be in force.
        """
        if self._has_store:
            return False
        if self._clock.now() - self._evident_at <= max_seconds:
            return False
        return not self._majority.is_held(max_seconds)

    def _record_evidence(self, reached_at: float) -> None:
        self._store_reached_at = max(self._store_reached_at, reached_at)
        self._evident_at = max(self._evident_at, reached_at)
