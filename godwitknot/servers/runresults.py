"""How runs on a backend server ended, as evidence about the server."""

import enum

import attrs

from godwitknot.web.relay import RelayRequest


class RunEnd(enum.StrEnum):
    """How a run ended, as evidence about the server."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    TIMED_OUT = 'timed-out'
    REFUSED = 'refused'
    LOST = 'lost'
    ABANDONED = 'abandoned'


_INNOCENT_ENDS = frozenset((RunEnd.ANSWERED, RunEnd.ABANDONED))


@attrs.frozen
class Result:
    """How one run on the server went, as evidence about the server.

    :param started: when it was sent, on the node's clock.
    :param seconds: time that the server took, slots and reader excluded.
    :param end: how it ended.
    :param fresh: whether the connection was a new one.
    """

    request: RelayRequest
    started: float
    seconds: float
    end: RunEnd
    fresh: bool = True

    @property
    def failed(self) -> bool:
        """Whether the server is to blame for a bad end."""
        return self.end not in _INNOCENT_ENDS
