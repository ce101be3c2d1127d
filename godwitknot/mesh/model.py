"""Types that the parts of a mesh node share."""

import enum
from collections.abc import Mapping

import attrs

from godwitknot.units import Address

Fields = list[tuple[str, str]]

# Statuses of success.
SUCCESS = range(200, 300)  # noqa: WPS432
# Statuses from here on are failures of the server.
SERVER_ERROR = 500


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at-most-once'
    DOWNLOAD = 'download'

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self is not RouteKind.AT_MOST_ONCE


@attrs.frozen
class Share:
    """A service's part of the requests of a route.

    :param weight: relative to the other parts.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """One route of the operator's configuration.

    :param shares: services that its requests go to.
    :param attempts: most servers that one request may be sent to.
    :param timeout: seconds until the final answer.
    :param objective: seconds within which an answer earns full credit.
    :param priority: 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    attempts: int
    timeout: float
    objective: float
    priority: int


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take.

    Sizes in bytes, times in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 67108864
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@attrs.frozen
class FleetConfiguration:
    """One version of the operator's configuration.

    :param version: higher versions replace lower ones.
    :param routes: by host, longest prefix first.
    :param health_paths: by service.
    :param source: the encoded form, passed on to other nodes.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    health_paths: Mapping[str, str]
    limits: CallerLimits
    source: bytes = attrs.field(repr=False, eq=False)

    def find_route(self, host: str, path: str) -> Route | None:
        """Give the route with the longest prefix of a path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@attrs.frozen
class Bounds:
    """Bounds that the platform sets; times in seconds.

    :param stop_grace_seconds: from SIGTERM to SIGKILL.
    :param retry_ratio: repeats of a service per request for it.
    :param retry_window_seconds: window of the retry budget.
    :param retry_slack: repeats that a service gets besides, in a window.
    """

    stop_grace_seconds: float
    retry_ratio: float
    retry_window_seconds: float
    retry_slack: float


@attrs.define
class Placement:
    """Where a node runs and what it serves, from its settings.

    :param ingress: where callers of this instance send requests.
    :param relay: where other nodes send requests for the local server.
    :param announcements: where the local server sends heartbeats.
    :param server: address of the local server.
    :param service: name of the local server's service.
    :param store: address of the platform's store.
    """

    node: str
    host: str
    zone: str
    region: str
    ingress: Address
    relay: Address
    readiness: Address
    announcements: Address
    server: Address
    service: str
    store: Address
    bounds: Bounds


@attrs.frozen
class NodeSettings:
    """Settings of a node beside those of the platform.

    :param metrics_port: where counters and histograms are served.
    :param answer_bytes: largest response of the server, with its framing.
    :param relay_listener: where to listen for other nodes, if that is not
        the address that they are told.
    """

    metrics_port: int
    answer_bytes: int
    relay_listener: Address | None = None


class ServerState(enum.Enum):
    """What a server said of itself."""

    UNKNOWN = 'unknown'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@attrs.frozen
class Heartbeat:
    """What a server announces about itself.

    :param born: Unix milliseconds of its start, 0 if not told.
    :param sequence: increases with each announcement of one start.
    :param warm_up_seconds: how much longer it is slow after its start.
    """

    server_id: str
    service: str
    address: Address
    slots: int
    state: ServerState
    born: int
    sequence: int
    warm_up_seconds: float


@attrs.frozen
class Departure:
    """A server says that it leaves.

    :param born: Unix milliseconds of its start, 0 if not told.
    """

    server_id: str
    born: int


@attrs.frozen
class RequestMetadata:
    """What a caller's header fields say beside the request itself.

    :param attempt_id: unique for each attempt of the caller.
    :param seconds_left: how long the caller waits, ``None`` if not told.
    """

    attempt_id: str
    seconds_left: float | None


@attrs.frozen
class ResponseMetadata:
    """What a server's header fields say beside the response itself.

    :param attempt_id: of the request that it answers, may be empty.
    :param sealed: whether it carries the server's signature.
    :param not_executed: the server states that it did not run it.
    :param server_id: id of the server, may be empty.
    :param waiting: requests in the server's own queue, if it tells.
    """

    attempt_id: str
    sealed: bool
    not_executed: bool
    server_id: str
    waiting: int = 0


@attrs.frozen
class HttpRequest:
    """An HTTP request, read whole.

    :param target: path and query, as received.
    """

    method: str
    target: str
    fields: Fields
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class HttpResponse:
    """An HTTP response, read whole."""

    status: int
    fields: Fields
    body: bytes = attrs.field(repr=False)
