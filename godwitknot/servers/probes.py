"""Health probes of a backend server: the lesser witness of its state."""

from collections.abc import Callable

from godwitknot.clock import Clock
from godwitknot.errors import GodwitknotError
from godwitknot.units import Address
from godwitknot.web.connections import ChannelPool
from godwitknot.web.exchange import Call, Exchange
from godwitknot.web.relay import BufferedBody

_TIMEOUT_SECONDS = 1.0
_OK = 200


class Probe:
    """Asks a server for its health on a new connection each time."""

    def __init__(
        self,
        address: Address,
        find_path: Callable[[], str],
        clock: Clock,
    ) -> None:
        """Prepare.

        :param find_path: gives the path of the health endpoint, which the
            declaration may change.
        """
        self._pool = ChannelPool(address, clock, max_idle=0)
        self._find_path = find_path
        self._clock = clock

    def check(self) -> bool:
        """Tell whether the server says that it is healthy."""
        return self._ask() == _OK

    def connects(self) -> bool:
        """Tell whether the server answers at all, in whatever way."""
        return self._ask() is not None

    def _ask(self) -> int | None:
        deadline = self._clock.now() + _TIMEOUT_SECONDS
        call = Call('GET', self._find_path(), [], BufferedBody(), deadline)
        try:
            exchange = Exchange(self._pool, self._pool.acquire(), self._clock)
            exchange.send(call)
            response = exchange.wait(call, _TIMEOUT_SECONDS, _wait_on)
        except (OSError, GodwitknotError):
            return None
        exchange.abort()
        return response.status


def _wait_on() -> None:
    """Wait until the deadline."""
