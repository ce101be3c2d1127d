"""How long connections to the local server may be idle before reuse."""

from godwitknot.clock import Clock

# Servers close idle connections after 10 s.
DEFAULT_MAX_IDLE_SECONDS = 8.0
# A server may close an idle connection just as a request is sent, and then it
# is unknown whether the request ran. Requests that must not be repeated
# therefore use only connections that were idle for a short time.
_NON_REPEATABLE_IDLE_SECONDS = 1.0
# A server on the same machine answers with a reset within milliseconds when a
# request arrives on a connection that it has dropped. A later reset comes from
# a run that ended.
_DROPPED_RESET_SECONDS = 0.1
# A reset after less idle time is a failure, not a dropped connection.
_MIN_DROPPED_IDLE_SECONDS = 0.05
# Share of the idle time of a dropped connection that is still considered safe.
_SAFE_IDLE_SHARE = 0.5
# Servers that drop idle connections early do so for some time.
_SHORTENED_SECONDS = 60.0


class KeepAliveEstimate:
    """Estimates how long the local server keeps idle connections open."""

    def __init__(self, clock: Clock) -> None:
        """Create an estimate with the default idle time."""
        self._clock = clock
        self._safe_idle_seconds = DEFAULT_MAX_IDLE_SECONDS
        self._shortened_until = float(0)

    def max_idle_seconds(self, *, repeatable: bool) -> float:
        """Return how long a connection may have been idle before a request.

        :param repeatable: whether the request may run more than once.
        """
        usual = (
            DEFAULT_MAX_IDLE_SECONDS
            if repeatable
            else _NON_REPEATABLE_IDLE_SECONDS
        )
        if self._clock.now() >= self._shortened_until:
            return usual
        return min(usual, self._safe_idle_seconds)

    def record_reset(
        self, idle_seconds: float, seconds_to_reset: float
    ) -> bool:
        """Record a connection that ended before the first response byte.

        :param idle_seconds: idle time before the request.
        :param seconds_to_reset: from the request to the end of the
            connection.
        :returns: whether the server had dropped the connection, which is no
            evidence on its health.
        """
        if (
            seconds_to_reset > _DROPPED_RESET_SECONDS
            or idle_seconds < _MIN_DROPPED_IDLE_SECONDS
        ):
            return False
        now = self._clock.now()
        safe = _SAFE_IDLE_SHARE * idle_seconds
        if now < self._shortened_until:
            safe = min(safe, self._safe_idle_seconds)
        self._safe_idle_seconds = safe
        self._shortened_until = now + _SHORTENED_SECONDS
        return True
