"""Which nodes are in touch, from the outcome of the latest calls.

Nodes call few of the others in a second, so that the share of the nodes that
are out of touch is estimated by failure domain from samples.
"""

import collections
import math
import random
from collections.abc import Collection, Hashable, Mapping

import attrs

from godwitknot.clock import Clock

# A node that was silent for longer may be called to see whether it is in touch.
_HEARD_SECONDS = 0.6
# Without a frame for as long, a home checks whether it is cut off.
_SILENCE_SECONDS = 1.9
# A call to a node shows for this long that it is out of touch.
_FAILED_SECONDS = 3.0
# Calls that failed, without any that succeeded, until a node counts as lost:
# single calls fail on links that lose packets.
_LOST_FAILURES = 2
# Samples of a failure domain before its estimate counts.
_MIN_SAMPLES = 3
# Longest interval between probes of a node that stays lost.
_MAX_PROBE_SECONDS = 10.0
_PROBE_BACKOFF = 0.2
# Probes at a time; in a partition, half of the nodes are lost.
_MAX_PROBES = 3


def _get_time(entry: tuple[float, Hashable]) -> float:
    return entry[0]


@attrs.define
class _Contact:
    heard_at: float = -math.inf
    answered_at: float = -math.inf
    failed_at: float = -math.inf
    lost_at: float = math.inf
    probed_at: float = -math.inf
    failures: int = 0


class Reachability:
    """Outcomes of the latest calls to each node."""

    def __init__(self, clock: Clock) -> None:
        """Count all nodes as in touch."""
        self._clock = clock
        self._heard_at = clock.now()
        self._contacts: dict[Hashable, _Contact] = collections.defaultdict(
            _Contact
        )

    @property
    def is_silent(self) -> bool:
        """Whether no node at all was heard lately.

        This one may be cut off from all others.
        """
        return self._clock.now() - self._heard_at > _SILENCE_SECONDS

    def record_heard(self, node: Hashable, *, answered: bool = False) -> bool:
        """Record a frame of a node; return whether it was lost.

        :param answered: whether it is the reply to a call.
        """
        contact = self._contacts[node]
        was_lost = contact.failures >= _LOST_FAILURES
        contact.heard_at = self._clock.now()
        self._heard_at = contact.heard_at
        if answered:
            contact.answered_at = contact.heard_at
        contact.failures = 0
        contact.lost_at = math.inf
        return was_lost

    def record_failed(self, node: Hashable, started: float) -> bool:
        """Record a call without an answer; return whether it is lost now.

        Calls that were under way together count as one.

        :param started: time of the call.
        """
        contact = self._contacts[node]
        if started < max(contact.failed_at, contact.heard_at):
            return False
        contact.failed_at = self._clock.now()
        contact.failures += 1
        if contact.failures != _LOST_FAILURES:
            return False
        contact.lost_at = contact.failed_at
        return True

    def confirm_lost(self, node: Hashable) -> bool:
        """Count a node as lost after one call; return whether it is new.

        The calls of other nodes have failed too.
        """
        if self.is_lost(node):
            return False
        contact = self._contacts[node]
        contact.failures = _LOST_FAILURES
        contact.lost_at = self._clock.now()
        return True

    def forget(self, node: Hashable) -> None:
        """Drop what is known of a node, which has restarted or is gone."""
        self._contacts.pop(node, None)

    def is_lost(self, node: Hashable) -> bool:
        """Return whether the latest calls to a node have failed."""
        contact = self._contacts.get(node)
        return contact is not None and contact.failures >= _LOST_FAILURES

    def has_heard(
        self, node: Hashable, seconds: float = _HEARD_SECONDS
    ) -> bool:
        """Return whether a node was heard within the last seconds."""
        contact = self._contacts.get(node)
        if contact is None or contact.failures:
            return False
        return self._clock.now() - contact.heard_at < seconds

    def has_failed(self, node: Hashable) -> bool:
        """Return whether a call has failed within the last seconds."""
        contact = self._contacts.get(node)
        if contact is None or not contact.failures:
            return False
        return self._clock.now() - contact.failed_at < _FAILED_SECONDS

    def draw_silent(
        self,
        nodes: Collection[Hashable],
        count: int,
        rng: random.Random,
    ) -> list[Hashable]:
        """Return random nodes of which nothing is known lately.

        :param nodes: of one failure domain.
        """
        silent = [
            node
            for node in nodes
            if not (self.has_heard(node) or self.has_failed(node))
        ]
        return rng.sample(silent, min(count, len(silent)))

    def list_due_probes(self, nodes: Collection[Hashable]) -> list[Hashable]:
        """Return the lost ones of some nodes that are to be called again.

        The interval grows with the time for which a node is lost. Those that
        were not called for the longest time come first.
        """
        now = self._clock.now()
        due: list[tuple[float, Hashable]] = []
        for node in nodes:
            contact = self._contacts.get(node)
            if contact is None or contact.lost_at > now:
                continue
            interval = max(1, _PROBE_BACKOFF * (now - contact.lost_at))
            if now - contact.probed_at >= min(interval, _MAX_PROBE_SECONDS):
                due.append((contact.probed_at, node))
        due.sort(key=_get_time)
        probed = [node for _, node in due[:_MAX_PROBES]]
        for node in probed:
            self._contacts[node].probed_at = now
        return probed

    def estimate_lost_share(
        self, domains: Mapping[str, Collection[Hashable]]
    ) -> float:
        """Return the estimated share of the nodes that are out of touch.

        Once some calls to a failure domain have failed, only nodes that were
        heard since are in touch. Of the others, as large a share is out of
        touch as of those that were called.

        :param domains: nodes by failure domain.
        """
        total = sum(map(len, domains.values()))
        lost = sum(map(self._estimate_lost, domains.values()))
        return lost / total if total else 0

    def _estimate_lost(self, nodes: Collection[Hashable]) -> float:
        contacts = [
            self._contacts[node] for node in nodes if node in self._contacts
        ]
        earliest = self._clock.now() - _FAILED_SECONDS
        failed_at = [
            each.failed_at
            for each in contacts
            if each.failures and each.failed_at > earliest
        ]
        if len(failed_at) < min(_MIN_SAMPLES, len(nodes)):
            return len(failed_at)
        since = min(failed_at)
        heard = sum(
            each.heard_at > since and not each.failures for each in contacts
        )
        answered = sum(
            each.answered_at > since and not each.failures for each in contacts
        )
        unknown = len(nodes) - len(failed_at) - heard
        rate = len(failed_at) / (len(failed_at) + answered)
        return len(failed_at) + unknown * rate
