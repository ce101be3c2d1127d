"""Typed control messages between nodes; schema in ``control.capnp``."""

import attrs

from godwitknot.control.records import NodeRecord


@attrs.frozen
class Heartbeat:
    """Heartbeat to a watched peer, or the reply to one.

    :param sequence: number of the heartbeat from this sender to this peer.
    :param last_heard: highest sequence received from this peer, 0 if none.
    :param directory_hash: hash of the sender's directory.
    :param config_version: configuration version of the sender.
    :param receiver: hash of the id of the node that it is addressed to.
    :param reply: whether it replies to a heartbeat; replies get no reply.
    """

    sequence: int
    last_heard: int
    directory_hash: int
    config_version: int
    receiver: int = 0
    reply: bool = False


@attrs.frozen
class Unreachable:
    """Report of a watcher that its link to a node is not healthy.

    :param incarnation: of the record that the report refers to.
    :param version: of the record that the report refers to.
    """

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
    """Report that a request with this fingerprint ran without a crash."""

    service: str
    fingerprint: int


@attrs.frozen
class RecordChange:
    """A node record, a part of one, or a delta to one.

    :param record: the record with all or some of its servers.
    :param base: lowest version that the change applies to; 0 if the parts
        together hold all servers.
    :param part: number of this part, from 0.
    :param parts: how many parts there are, each sent in one datagram.
    """

    record: NodeRecord
    base: int = 0
    part: int = 0
    parts: int = 1


@attrs.frozen
class VersionEntry:
    """Version of a node's record in the sender's directory.

    :param reports: hash of the watchers that report the node unreachable.
    """

    node_id: str
    incarnation: int
    version: int
    reports: int = 0


@attrs.frozen
class Rumors:
    """Updates that each receiver spreads further through the fleet.

    :param news: versions of records that are too large to be sent without a
        request.
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

    :param unreachable: reports about nodes in the sender's directory.
    """

    changes: tuple[RecordChange, ...] = ()
    unreachable: tuple[Unreachable, ...] = ()


@attrs.frozen
class Digest:
    """Hash and size of the sender's directory.

    :param count: number of records.
    :param buckets: hash of each bucket of node ids, or empty.
    """

    directory_hash: int
    count: int
    buckets: tuple[int, ...] = ()


@attrs.frozen
class Versions:
    """Versions of the records in some buckets of the sender's directory.

    :param complete: whether the sender has no other records in the buckets.
    :param buckets: buckets that the entries cover; empty means all.
    """

    entries: tuple[VersionEntry, ...]
    complete: bool
    buckets: tuple[int, ...] = ()


@attrs.frozen
class RecordsRequest:
    """Request for the records of some nodes."""

    node_ids: tuple[str, ...]


@attrs.frozen
class ServerSummary:
    """Statistics of one server and class of work over the last window.

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
    """Statistics of sibling servers, both local to the sender and relayed."""

    servers: tuple[ServerSummary, ...]


@attrs.frozen
class PromiseRequest:
    """Request to the sidecar of ``target`` to keep it in service.

    :param token: matches the answer to the request.
    :param server: the server that is to be taken out of service.
    :param drain: whether this is for a planned stop, not an ejection.
    """

    token: int
    service: str
    server: str
    target: str
    drain: bool


@attrs.frozen
class PromiseAnswer:
    """Reply to :class:`PromiseRequest`.

    :param duration: how long the promise is valid, in seconds from receipt
        of the request.
    """

    token: int
    target: str
    granted: bool
    duration: float


@attrs.frozen
class ConfigQuery:
    """Request for the configuration version of a node."""

    token: int


@attrs.frozen
class ConfigReply:
    """Reply to :class:`ConfigQuery`."""

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
