"""How long a connection to the local server may rest before its next use."""

from godwitknot.clock import Clock

# Servers close idle connections after 10 s.
DEFAULT_MAX_IDLE_SECONDS = 8.0
# A server may drop an idle connection just as a request is sent, and then
# nobody knows whether it ran. What must not be repeated takes less risk.
_FRESH_SECONDS = 1.0
# A server on the same machine resets what comes on a forgotten connection
# within milliseconds. A later reset ends a run.
_RACE_SECONDS = 0.1
# Connections that rested less are not forgotten, but fail.
_LEAST_REST_SECONDS = 0.05
# Part of the rest after which a connection was forgotten.
_SAFE_SHARE = 0.5
# Servers that forget connections early do so for a while.
_MEMORY_SECONDS = 60.0


class KeepAliveEstimate:
    """Learns how long the local server remembers idle connections."""

    def __init__(self, clock: Clock) -> None:
        """Start with the time that servers usually keep connections."""
        self._clock = clock
        self._safe = DEFAULT_MAX_IDLE_SECONDS
        self._until = float(0)

    def longest_rest(self, *, repeatable: bool) -> float:
        """Give the seconds that a connection for a request may have rested."""
        usual = DEFAULT_MAX_IDLE_SECONDS if repeatable else _FRESH_SECONDS
        if self._clock.now() >= self._until:
            return usual
        return min(usual, self._safe)

    def note_reset(self, rested: float, lasted: float) -> bool:
        """Take in that a connection ended before the first byte of an answer.

        :param rested: seconds that it had been idle before the request.
        :param lasted: seconds from the request to the end.
        :returns: whether the server had forgotten the connection, which says
            nothing on its health.
        """
        if lasted > _RACE_SECONDS or rested < _LEAST_REST_SECONDS:
            return False
        now = self._clock.now()
        safe = _SAFE_SHARE * rested
        if now < self._until:
            safe = min(safe, self._safe)
        self._safe = safe
        self._until = now + _MEMORY_SECONDS
        return True
