"""Typed control messages between nodes; schema in ``control.capnp``."""

import attrs

from godwitknot.control.records import NodeRecord


@attrs.frozen
class Heartbeat:
    """Sign of life to a watched peer.

    :param sequence: counts heartbeats of the sender to this peer.
    :param last_heard: highest sequence received from this peer, 0 if none.
    :param receiver: hash of the id of the node that it is meant for.
    :param reply: whether it answers a heartbeat; it is not answered itself.
    """

    sequence: int
    last_heard: int
    directory_hash: int
    config_version: int
    receiver: int = 0
    reply: bool = False


@attrs.frozen
class Unreachable:
    """A watcher has not heard a node; ``version`` is what it refers to."""

    watcher: str
    node_id: str
    incarnation: int
    version: int


@attrs.frozen
class CrashReport:
    """Fingerprints of the requests in flight when a server crashed.

    :param incarnation: incarnation of the server that crashed.
    :param fingerprints: 64-bit hashes.
    """

    service: str
    node_id: str
    server: str
    incarnation: int
    fingerprints: tuple[int, ...]


@attrs.frozen
class Clearance:
    """A request with this fingerprint ran without harm."""

    service: str
    fingerprint: int


@attrs.frozen
class RecordChange:
    """A node record, a part of it, or what changed in it.

    :param record: the record with all or some of its servers.
    :param base: lowest version that the change applies to; 0 if the parts
        together hold all servers.
    :param part: which part this is, from 0.
    :param parts: number of parts, each for one datagram.
    """

    record: NodeRecord
    base: int = 0
    part: int = 0
    parts: int = 1


@attrs.frozen
class VersionEntry:
    """What the sender holds of one node.

    :param reports: hash of the watchers that report it unreachable.
    """

    node_id: str
    incarnation: int
    version: int
    reports: int = 0


@attrs.frozen
class Rumors:
    """Changes that spread through the fleet.

    :param news: versions of records that are too large to be sent unasked.
    """

    records: tuple[NodeRecord, ...] = ()
    unreachable: tuple[Unreachable, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    clearances: tuple[Clearance, ...] = ()
    config_version: int = 0
    changes: tuple[RecordChange, ...] = ()
    news: tuple[VersionEntry, ...] = ()


@attrs.frozen
class Records:
    """Records sent by anti-entropy; the receiver does not spread them.

    :param unreachable: reports that the sender holds about these nodes.
    """

    changes: tuple[RecordChange, ...] = ()
    unreachable: tuple[Unreachable, ...] = ()


@attrs.frozen
class Digest:
    """Hash and size of the sender's directory.

    :param buckets: hash of each bucket of node ids, or empty.
    """

    directory_hash: int
    count: int
    buckets: tuple[int, ...] = ()


@attrs.frozen
class Versions:
    """Versions held; ``complete`` if nothing else is held.

    :param buckets: buckets that the entries cover; empty means all.
    """

    entries: tuple[VersionEntry, ...]
    complete: bool
    buckets: tuple[int, ...] = ()


@attrs.frozen
class RecordsRequest:
    """Asks for the records of some nodes."""

    node_ids: tuple[str, ...]


@attrs.frozen
class ServerSummary:
    """Statistics of one server and class over the last window.

    :param count: requests in the window.
    :param median: service time in seconds.
    :param spread: median absolute deviation in seconds.
    :param error_share: from 0 to 1.
    :param age: seconds since the window ended.
    :param slow_share: share of times above 3 medians, 0 to 1.
    """

    service: str
    node_id: str
    server: str
    work_class: str
    count: int
    median: float
    spread: float
    error_share: float
    age: float
    slow_share: float = 0


@attrs.frozen
class Summary:
    """Statistics of sibling servers, the sender's own and relayed ones."""

    servers: tuple[ServerSummary, ...]


@attrs.frozen
class PromiseRequest:
    """Asks the sidecar of ``target`` to keep it in service.

    :param server: the server that is to leave.
    :param drain: whether it leaves for a planned stop.
    """

    token: int
    service: str
    server: str
    target: str
    drain: bool


@attrs.frozen
class PromiseAnswer:
    """Answer to :class:`PromiseRequest`.

    :param duration: seconds from receipt of the request.
    """

    token: int
    target: str
    granted: bool
    duration: float


@attrs.frozen
class ConfigQuery:
    """Asks for the configuration version in force."""

    token: int


@attrs.frozen
class ConfigReply:
    """Answer to :class:`ConfigQuery`."""

    token: int
    version: int


Message = (
    Heartbeat
    | Rumors
    | Digest
    | Versions
    | RecordsRequest
    | Summary
    | PromiseRequest
    | PromiseAnswer
    | ConfigQuery
    | ConfigReply
    | Records
)
