"""Finished requests as evidence about a server."""

import attrs


@attrs.frozen
class Sample:
    """A finished request, as the sidecar saw it.

    :param seconds: service time, without time spent on a slow reader.
    :param failed: error, broken or timed-out response of the server.
    :param fresh_connection: whether the connection was new.
    :param started: when it was sent, on the monotonic clock.
    :param timed_out: whether no response came in time.
    :param request_id: as given to ``begin``, empty if it was not called.
    """

    work_class: str
    seconds: float
    failed: bool
    fresh_connection: bool
    started: float
    timed_out: bool = False
    request_id: str = ''
