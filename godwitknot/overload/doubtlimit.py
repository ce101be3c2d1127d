"""Limit on the doubt of servers that get work which must not be repeated."""

from collections.abc import Hashable

# A request that is sent for the last time goes first to servers that hang no
# more probably than this: servers that have answered, also idle ones where
# hangs are rare. With 0.08, idle servers of a large fleet got no such work for
# seconds. With 0.02, healthy servers got too few trials after faults.
_MAX_DOUBT = 0.17


class DoubtLimit:
    """Which doubtful servers one request accepts.

    :ivar accepts_doubtful: whether servers in doubt are used too, since the
        others have no room.
    """

    def __init__(self) -> None:
        """Accept no doubtful server."""
        self.accepts_doubtful = False
        # Servers that refused the request in this round for their doubt only.
        self._doubts: dict[Hashable, float] = {}

    def begin_round(self, *, is_last_resort: bool) -> None:
        """Start a round of offers.

        :param is_last_resort: whether servers in doubtful health may be used.
        """
        self._doubts.clear()
        self.accepts_doubtful = is_last_resort

    def record(self, server: Hashable, doubt: float) -> None:
        """Record a server that refused the request for its doubt."""
        self._doubts[server] = doubt

    def find_limit(self, *, is_final_send: bool) -> float:
        """Return the highest doubt of a server that the request is offered to.

        :param is_final_send: whether no other send can replace the next one.
        :returns: probability of a hang; 0 leaves the limit to the server.
        """
        if is_final_send and not self.accepts_doubtful:
            return _MAX_DOUBT
        return 0

    def accept(self) -> list[Hashable]:
        """Accept doubtful servers too, since no other one has room.

        :returns: those that have refused the request for their doubt only, the
            least doubtful one first.
        """
        self.accepts_doubtful = True
        servers = sorted(self._doubts, key=self._doubts.__getitem__)
        self._doubts.clear()
        return servers
