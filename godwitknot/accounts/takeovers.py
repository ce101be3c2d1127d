"""When a node may replace a quota home that it has lost.

A node that alone has lost the home must not issue tokens beside it. It asks a
few other nodes, the witnesses, whether they have lost the home too.
"""

import random
from collections.abc import Collection, Hashable, Sequence

from godwitknot.accounts.quotagrants import Verdict
from godwitknot.clock import Clock

WITNESSES = 3
# Witnesses that must have lost the home. One may have failed itself.
_NEEDED_WITNESSES = 2
# A confirmed loss is checked again, since only this node's link to the home may
# still be cut.
_RECHECK_SECONDS = 5.0
_CONFIRMED_SECONDS = 10.0
# For a loss that another node has confirmed.
_ADOPTED_RECHECK_SECONDS = 7.0
# After a check that has not confirmed the loss.
_RETRY_SECONDS = 0.5


class Takeovers:
    """The nodes whose loss other nodes have confirmed."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Start without confirmed losses."""
        self._clock = clock
        self._rng = rng
        self._confirmed: dict[Hashable, float] = {}
        self._lost_since: dict[Hashable, float] = {}
        self._next_checks: dict[Hashable, float] = {}
        self._check_starts: dict[Hashable, float] = {}
        self._adopted: set[Hashable] = set()

    def is_confirmed(self, node: Hashable) -> bool:
        """Return whether the loss of a node was confirmed lately."""
        confirmed_at = self._confirmed.get(node)
        if confirmed_at is None:
            return False
        return self._clock.now() - confirmed_at < _CONFIRMED_SECONDS

    def measure_loss(self, node: Hashable) -> float:
        """Return the seconds since the start of the check of a lost node.

        All calls of that check were made later and have failed.

        :returns: 0 without a confirmed loss.
        """
        now = self._clock.now()
        return now - self._lost_since.get(node, now)

    def is_adopted(self, node: Hashable) -> bool:
        """Return whether another node has confirmed a loss lately.

        That node has told the others.
        """
        return node in self._adopted and self.is_confirmed(node)

    def begin_check(self, node: Hashable) -> bool:
        """Return whether a check is due; the next one is due later."""
        now = self._clock.now()
        if now < self._next_checks.get(node, now):
            return False
        self._next_checks[node] = now + _RECHECK_SECONDS
        self._check_starts[node] = now
        self._adopted.discard(node)
        return True

    def draw_witnesses(self, nodes: Collection[Hashable]) -> list[Hashable]:
        """Return the nodes to ask.

        :param nodes: that are not lost, without this one and the lost home.
        """
        ordered = sorted(nodes, key=str)
        return self._rng.sample(ordered, min(WITNESSES, len(ordered)))

    def conclude(
        self,
        node: Hashable,
        verdicts: Sequence[Verdict | None],
        *,
        others: int,
    ) -> bool:
        """Decide on the answers of all witnesses.

        :param verdicts: ``None`` for a witness that did not answer.
        :param others: nodes other than this one and the lost home, in touch or
            not. A node that has lost all of them has no witness.
        :returns: whether the loss is confirmed.
        """
        needed = min(_NEEDED_WITNESSES, others)
        is_confirmed = (
            Verdict.REACHABLE not in verdicts
            and verdicts.count(Verdict.LOST) >= needed
        )
        now = self._clock.now()
        if is_confirmed:
            if not self.is_confirmed(node):
                self._lost_since[node] = self._check_starts.get(node, now)
            self._confirmed[node] = now
            self._next_checks[node] = now + _RECHECK_SECONDS
        else:
            self.forget(node)
            self._next_checks[node] = now + _RETRY_SECONDS
        return is_confirmed

    def adopt(self, node: Hashable, since: float) -> None:
        """Accept a loss that another node has confirmed.

        That node checks the loss again first.

        :param since: start of this node's own call, which has failed.
        """
        now = self._clock.now()
        if not self.is_confirmed(node):
            self._lost_since[node] = since
        self._confirmed[node] = now
        self._adopted.add(node)
        spread = _ADOPTED_RECHECK_SECONDS - _RECHECK_SECONDS
        delay = _ADOPTED_RECHECK_SECONDS + spread * self._rng.random()
        self._next_checks[node] = now + delay

    def forget(self, node: Hashable) -> None:
        """Drop a loss, since the node was heard or is no longer one."""
        self._confirmed.pop(node, None)
        self._lost_since.pop(node, None)
        self._next_checks.pop(node, None)
        self._check_starts.pop(node, None)
        self._adopted.discard(node)
