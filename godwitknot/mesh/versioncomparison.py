"""Compares configuration versions with those of other nodes.

With ``strict_revoke``, it also asks them whether this node is in touch.
"""

import random

from godwitknot.accounts.freshness import Freshness
from godwitknot.mesh.memberdirectory import Directory
from godwitknot.mesh.model import Placement
from godwitknot.units import Address

# A node that started this much earlier has the configuration of its fleet.
_LONG_RUN_MS = 10000


class VersionComparison:
    """Reports the versions that other nodes have, and how long these run."""

    def __init__(
        self, directory: Directory, freshness: Freshness, placement: Placement
    ) -> None:
        """Create a comparison.

        :param freshness: of this node's configuration.
        :param placement: with the bounds of revocations.
        """
        self._directory = directory
        self._freshness = freshness
        self._placement = placement

    def compare(self, address: Address, version: int) -> None:
        """Report the version of the node with a relay address."""
        member = self._directory.find(address)
        started = self._directory.local_member.incarnation
        self._freshness.record_version(
            address,
            version,
            runs_longer=member is not None
            and member.incarnation < started - _LONG_RUN_MS,
            other_nodes=sum(
                each.serving for each in self._directory.list_peers()
            ),
        )

    @property
    def freshness(self) -> Freshness:
        """Of this node's configuration."""
        return self._freshness

    @property
    def is_strict(self) -> bool:
        """Whether this node must know whether it is in touch."""
        bounds = self._placement.bounds
        return bounds.strict_revoke and bool(bounds.revoke_seconds)

    def list_probes(self, rng: random.Random) -> list[Address]:
        """Return the nodes to ask now whether they are in contact."""
        if not self.is_strict:
            return []
        return self._freshness.list_probes(
            {
                each.address
                for each in self._directory.list_peers()
                if each.serving
            },
            self._placement.bounds.revoke_seconds,
            rng,
        )
