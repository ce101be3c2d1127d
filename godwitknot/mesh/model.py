"""Types shared by the parts of a mesh node."""

import enum
from collections.abc import Mapping

import attrs

from godwitknot.accounts.clientaccount import ClientAccount
from godwitknot.accounts.quotabounds import QuotaBounds
from godwitknot.mesh.bodystream import BodyStream
from godwitknot.units import Address

Fields = list[tuple[str, str]]

# HTTP statuses of successful responses.
SUCCESS = range(200, 300)  # noqa: WPS432
# Lowest HTTP status that counts as a failure of the server.
SERVER_ERROR = 500


class RouteKind(enum.Enum):
    """How often the requests of a route may run."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at-most-once'
    DOWNLOAD = 'download'

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self is not RouteKind.AT_MOST_ONCE


@attrs.frozen
class Share:
    """A service's share of the requests of a route.

    :param weight: relative to the other shares.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """A route of the operator's configuration.

    :param shares: services that serve the route, with weights.
    :param attempts: maximum number of servers that a request is sent to.
    :param timeout: seconds until the response must arrive.
    :param objective: target latency; responses within this many seconds earn
        full credit.
    :param priority: 0 is the most urgent.
    :param needs_key: whether requests need the key of a client account, if
        the configuration has any accounts.
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
    needs_key: bool = True


@attrs.frozen
class CallerLimits:
    """Limits of the size and duration of callers' requests.

    Sizes are in bytes, times in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 67108864
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@attrs.frozen
class FleetConfiguration:
    """One version of the operator's configuration.

    :param version: higher versions replace lower ones.
    :param routes: by host, sorted by decreasing length of the prefix.
    :param health_paths: path of the health check, by service.
    :param source: the encoded configuration, as sent to other nodes.
    :param accounts: client accounts by name; ``None`` if requests need no
        keys.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    health_paths: Mapping[str, str]
    limits: CallerLimits
    source: bytes = attrs.field(repr=False, eq=False)
    accounts: Mapping[str, ClientAccount] | None = None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of a path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@attrs.frozen
class Bounds:
    """Limits imposed by the platform.

    :param stop_grace_seconds: time from SIGTERM to SIGKILL.
    :param retry_ratio: permitted retries per first attempt of a service.
    :param retry_window_seconds: window of the retry budget.
    :param retry_slack: additional retries of a service in each window.
    :param quota: how far client accounts may exceed their quotas.
    :param revoke_seconds: within which a revoked key must stop working,
        ``None`` if it is not limited.
    :param strict_revoke: whether a node that may have missed a revocation
        refuses requests with keys.
    :param region_link_bytes: that all nodes together may move between two
        regions, in bytes a second each way. Without it, 0, no request is sent
        to another region ahead of need.
    """

    stop_grace_seconds: float
    retry_ratio: float
    retry_window_seconds: float
    retry_slack: float
    quota: QuotaBounds = QuotaBounds()
    revoke_seconds: float | None = None
    strict_revoke: bool = False
    region_link_bytes: float = 0


@attrs.define
class Placement:
    """Location, addresses and service of a node, from the platform.

    :param node: id of the node.
    :param host: IP address of the instance.
    :param zone: failure domain of the instance.
    :param ingress: listens for requests of callers on this instance.
    :param relay: listens for requests and gossip from other nodes.
    :param readiness: listens for readiness checks of the platform.
    :param announcements: listens for heartbeats of the local server.
    :param server: address of the local server.
    :param service: name of the local server's service.
    :param store: address of the platform's store.
    :param memory_bytes: limit of the process, 0 if unknown.
    :param first_start: whether the whole fleet starts for the first time.
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
    memory_bytes: int = 0
    first_start: bool = False


@attrs.frozen
class NodeSettings:
    """Settings of a node that do not come from the platform.

    :param metrics_port: port that serves the metrics.
    :param max_response_bytes: limit of a server's response with its framing.
    :param relay_listener: address to listen on for other nodes, if it differs
        from the one that is published to them.
    """

    metrics_port: int
    max_response_bytes: int
    relay_listener: Address | None = None


class ServerState(enum.Enum):
    """State that a server reported last."""

    UNKNOWN = 'unknown'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@attrs.frozen
class Heartbeat:
    """Heartbeat of the local server.

    :param born: start of the server in Unix milliseconds, 0 if unknown.
    :param sequence: increases with each heartbeat after one start.
    :param warm_up_seconds: remaining time in which the server is slow after
        its start.
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
    """Deregistration of the local server.

    :param born: start of the server in Unix milliseconds, 0 if unknown.
    """

    server_id: str
    born: int


@attrs.frozen
class RequestMetadata:
    """Decoded header fields of a caller's request.

    :param attempt_id: unique for each attempt of the caller.
    :param seconds_left: time until the caller's deadline, ``None`` if the
        caller sent none.
    :param key: of the caller's client account, ``None`` if it sent none; empty
        if it sent several.
    """

    attempt_id: str
    seconds_left: float | None
    key: str | None = attrs.field(default=None, repr=False)


@attrs.frozen
class ResponseMetadata:
    """Decoded header fields of a server's response.

    :param attempt_id: id of the answered request, may be empty.
    :param sealed: whether the response carries the server's signature.
    :param not_executed: whether the server states that it did not run the
        request.
    :param server_id: id of the server, may be empty.
    :param waiting: length of the server's own queue, 0 if not reported.
    """

    attempt_id: str
    sealed: bool
    not_executed: bool
    server_id: str
    waiting: int = 0


@attrs.frozen
class HttpRequest:
    """An HTTP request with its body.

    :param target: path and query, as received.
    :param body: complete, unless there is a stream.
    :param stream: a large body that is still arriving, else ``None``.
    """

    method: str
    target: str
    # Callers' keys are header fields.
    fields: Fields = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    stream: BodyStream | None = attrs.field(default=None, repr=False, eq=False)


@attrs.frozen
class HttpResponse:
    """An HTTP response with its complete body."""

    status: int
    fields: Fields
    body: bytes = attrs.field(repr=False)
