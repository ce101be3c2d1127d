"""How long a request may wait, from its objective and its deadline."""

import attrs

# Share of the objective that a request may wait in a queue. Longer waits would
# make the response late, while a refusal lets the caller retry.
_QUEUE_SHARE = 0.6
# Share of the objective that it may wait in its own region before it asks others.
_SHORT_QUEUE_SHARE = 0.3
# Share of the time until the deadline that any request may wait, up to a limit.
_DEADLINE_WAIT_SHARE = 0.4
_MIN_WAIT_LIMIT_SECONDS = 1.0
# Share of the objective that must be left for another send.
_MIN_REMAINING_SHARE = 0.15


@attrs.frozen
class WaitLimits:
    """Limits of one request.

    :param arrived: on the node's clock.
    :param deadline: of the final response, on the node's clock.
    :param objective: target latency in seconds.
    """

    arrived: float
    deadline: float
    objective: float

    @property
    def short_queue_seconds(self) -> float:
        """Longest wait in a queue before other regions are asked."""
        return _SHORT_QUEUE_SHARE * self.objective

    @property
    def longest_seconds(self) -> float:
        """Longest time without a server, in seconds after the arrival.

        A longer wait would make the response late. Requests with a short
        objective may wait longer: most are calls of servers, and one that is
        refused costs the request that made it.
        """
        allowed = self.deadline - self.arrived
        return max(
            _QUEUE_SHARE * self.objective,
            min(_DEADLINE_WAIT_SHARE * allowed, _MIN_WAIT_LIMIT_SECONDS),
        )

    def find_seconds_to_send(self, now: float) -> float:
        """Return for how long another send is still worth it.

        :param now: on the node's clock.
        :returns: 0 or less if too little time is left.
        """
        reserve = _MIN_REMAINING_SHARE * self.objective
        return self.deadline - now - reserve
