"""Health probes of a backend server, weaker evidence than its requests."""

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
    """Requests the health endpoint of a server on a new connection."""

    def __init__(
        self,
        address: Address,
        find_path: Callable[[], str],
        clock: Clock,
    ) -> None:
        """Create a probe without opening a connection.

        :param find_path: returns the path of the health endpoint, which the
            declaration may change.
        """
        self._pool = ChannelPool(address, clock, max_idle=0)
        self._find_path = find_path
        self._clock = clock

    def is_healthy(self) -> bool:
        """Return whether the server reports that it is healthy."""
        return self._request_status() == _OK

    def is_responding(self) -> bool:
        """Return whether the server responds, with any status."""
        return self._request_status() is not None

    def _request_status(self) -> int | None:
        deadline = self._clock.now() + _TIMEOUT_SECONDS
        call = Call('GET', self._find_path(), [], BufferedBody(), deadline)
        try:
            exchange = Exchange(self._pool, self._pool.acquire(), self._clock)
            exchange.send(call)
            response = exchange.wait(call, _TIMEOUT_SECONDS, _keep_waiting)
        except (OSError, GodwitknotError):
            return None
        exchange.abort()
        return response.status


def _keep_waiting() -> None:
    """Do not end the wait before the deadline."""
