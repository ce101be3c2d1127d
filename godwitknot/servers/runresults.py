"""Results of runs on a backend server, as evidence of its health."""

import enum

import attrs

from godwitknot.web.relay import RelayRequest


class RunEnd(enum.StrEnum):
    """How a run ended."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    TIMED_OUT = 'timed-out'
    REFUSED = 'refused'
    LOST = 'lost'
    ABANDONED = 'abandoned'


_NON_FAILURE_ENDS = frozenset((RunEnd.ANSWERED, RunEnd.ABANDONED))


@attrs.frozen
class Result:
    """Result of one run on the server.

    :param started: when the request was sent, on the node's clock.
    :param seconds: time that the server took, without waiting for a slot or
        for the reader.
    :param end: how the run ended.
    :param fresh: whether the connection was new.
    """

    request: RelayRequest
    started: float
    seconds: float
    end: RunEnd
    fresh: bool = True

    @property
    def failed(self) -> bool:
        """Whether the run counts as a failure of the server."""
        return self.end not in _NON_FAILURE_ENDS
