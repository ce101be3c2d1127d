"""Counts the bytes that a node holds, against a budget."""

import contextlib
import types
from collections.abc import Callable, Iterator, Mapping

# Share of the budget from which on the node reads no new requests, and keeps
# less of what it has received but not yet used.
_TIGHT_SHARE = 0.75
# Share of the budget beyond which requests are refused, by priority; those of
# the last entry and of all less urgent ones first.
_ADMITTED_SHARES = (1, 0.95, 0.9)
# Share of a machine's memory that the whole process may take: the rest is for
# buffers of the kernel and for copies that are not counted.
_PROCESS_SHARE = 0.5
# Resident memory of a node without requests is 40 to 48 MB.
_BASE_BYTES = 50000000
# Share of the budget that tables take at most: refusing requests does not make
# them smaller, so that they alone must not cause it.
_TABLE_SHARE = 0.5
# A node serves also on a machine that is smaller than expected.
_MIN_BUDGET_BYTES = 16000000


def derive_budget(memory_bytes: int) -> int:
    """Return how many bytes a node may hold for requests.

    :param memory_bytes: limit of the process, 0 if unknown.
    :returns: 0 if there is no limit.
    """
    if not memory_bytes:
        return 0
    share = int(memory_bytes * _PROCESS_SHARE) - _BASE_BYTES
    return max(share, _MIN_BUDGET_BYTES)


class HeldBytes:
    """Bytes held for one kind of peer."""

    def __init__(self, ledger: 'Ledger') -> None:
        """Create a count of a ledger without bytes."""
        self.ledger = ledger
        self.held = 0

    def charge(self, size: int) -> None:
        """Add bytes; a negative size releases them."""
        self.held += size

    @contextlib.contextmanager
    def hold(self, size: int) -> Iterator[None]:
        """Charge bytes while a block runs."""
        self.held += size
        try:
            yield
        finally:
            self.held -= size


class Ledger:
    """The bytes that a node holds for callers, other nodes and its server.

    :ivar gossip: frames of gossip that are being sent.
    :ivar log: lines that the reader of the log has not taken.
    """

    def __init__(self, budget: int = 0) -> None:
        """Create a ledger without held bytes.

        :param budget: bytes; 0 counts them without a limit.
        """
        self.budget = budget
        self.callers = HeldBytes(self)
        self.nodes = HeldBytes(self)
        self.server = HeldBytes(self)
        self.gossip = HeldBytes(self)
        self.log = HeldBytes(self)
        self._tables: dict[str, Callable[[], int]] = {}

    @property
    def accounts(self) -> Mapping[str, HeldBytes]:
        """Held bytes by kind."""
        return types.MappingProxyType(
            {
                'callers': self.callers,
                'nodes': self.nodes,
                'server': self.server,
                'gossip': self.gossip,
                'log': self.log,
            }
        )

    @property
    def tables(self) -> Mapping[str, Callable[[], int]]:
        """Functions that estimate the bytes of each table."""
        return types.MappingProxyType(self._tables)

    def add_table(self, name: str, estimate: Callable[[], int]) -> None:
        """Charge a table that grows with the fleet or its load.

        :param estimate: returns its bytes; called for most packets.
        """
        self._tables[name] = estimate

    @property
    def held(self) -> int:
        """Bytes held in total."""
        others = self.gossip.held + self.log.held
        return self.held_for_requests + others + self._charged_tables

    @property
    def _charged_tables(self) -> int:
        size = sum(estimate() for estimate in self._tables.values())
        return min(size, int(_TABLE_SHARE * self.budget))

    @property
    def held_for_requests(self) -> int:
        """Bytes that are released when the requests are over."""
        return self.callers.held + self.nodes.held + self.server.held

    @property
    def is_tight(self) -> bool:
        """Whether to stop reading what can wait."""
        return bool(self.budget) and self.held > _TIGHT_SHARE * self.budget

    def admits(self, size: int, priority: int) -> bool:
        """Return whether a request may start.

        A single request that is larger than the budget is admitted if no
        bytes are held for others.

        :param size: bytes that it adds to those held.
        :param priority: 0 is the most urgent.
        """
        if not (self.budget and self.held_for_requests):
            return True
        index = min(max(priority, 0), len(_ADMITTED_SHARES) - 1)
        return self.held + size <= _ADMITTED_SHARES[index] * self.budget


# For connections that belong to no node, as in tools and tests.
UNCOUNTED = Ledger().callers
