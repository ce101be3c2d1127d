"""Bound on the bytes that a node moves to other regions ahead of need."""

import attrs

from godwitknot.clock import Clock

# The rest is left to control frames, and to requests without another server.
_USED_SHARE = 0.25
_BURST_SECONDS = 2.0
# Assumed for a service until a response of it was seen.
_INITIAL_RESPONSE_BYTES = 4096
# Large responses count at once and are forgotten slowly.
_SMOOTHING_FACTOR = 0.1
_MAX_SERVICES = 64


@attrs.define
class ByteBound:
    """Token bucket of one node for both ways of the link between regions.

    Both ways count together, which uses less than the bound of either.

    :ivar link_bytes: that the link carries, in bytes a second each way.
    """

    _clock: Clock
    link_bytes: float
    _spent: float = 0
    _updated: float = 0
    _response_bytes: dict[str, float] = attrs.field(factory=dict)

    def record_response(self, service: str, size: int) -> None:
        """Learn the size of a service's responses.

        :param size: of the body, in bytes.
        """
        known = self._response_bytes.get(service)
        if known is None:
            if len(self._response_bytes) < _MAX_SERVICES:
                self._response_bytes[service] = size
            return
        smoothed = known + _SMOOTHING_FACTOR * (size - known)
        self._response_bytes[service] = max(size, smoothed)

    def try_spend(self, service: str, body_bytes: int, nodes: int) -> bool:
        """Return whether a request may cross, and count its bytes if so.

        :param body_bytes: of the request.
        :param nodes: that share the link in this region.
        """
        expected = self._response_bytes.get(service, _INITIAL_RESPONSE_BYTES)
        cost = body_bytes + expected
        rate = _USED_SHARE * self.link_bytes / max(1, nodes)
        now = self._clock.now()
        # What was spent is refilled at the rate, which changes with the fleet.
        spent = max(0, self._spent - rate * (now - self._updated))
        if spent + cost > rate * _BURST_SECONDS:
            return False
        self._spent = spent + cost
        self._updated = now
        return True
