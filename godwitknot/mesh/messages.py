"""Messages between mesh nodes; ``frames`` encodes them."""

import enum
import typing

import attrs

from godwitknot.memory.serverbodies import LargeBody
from godwitknot.mesh.bodystream import BodyStream
from godwitknot.mesh.memberdirectory import Crash, Member
from godwitknot.mesh.model import Fields
from godwitknot.outcomes import RefusalError
from godwitknot.units import Address

MEBIBYTE = 1048576
# Assumed for offers from older nodes, which carry no objective.
DEFAULT_OBJECTIVE_SECONDS = 1.5


class Kind(enum.StrEnum):
    """Kinds of frames; the values name the union members of the schema."""

    OFFER = 'offer'
    QUEUED = 'queued'
    GRANTED = 'granted'
    COMMIT = 'commit'
    REQUEST = 'request'
    REFUSAL = 'refusal'
    ANSWER = 'answer'
    RUMOR = 'rumor'
    DIGEST = 'digest'
    KNOWLEDGE = 'knowledge'
    SAME = 'same'
    QUOTA_REQUEST = 'quotaRequest'
    QUOTA_GRANT = 'quotaGrant'
    BODY_PART = 'bodyPart'


@attrs.frozen
class Load:
    """Load of a server as counted by its sidecar.

    :param running: number of requests running on the server.
    :param waiting: number of requests queued for a slot.
    :param slots: number of requests that the server runs concurrently.
    :param doubt: probability that the server hangs.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 1
    doubt: float = 0


@attrs.frozen
class Offer:
    """A request offered to the sidecar of a server.

    :param attempt_id: id of the caller's attempt.
    :param repeatable: whether the request may run more than once.
    :param seconds_left: time until the caller's deadline.
    :param max_wait: longest time in the queue, in seconds; 0 forbids
        queueing.
    :param caller_service: service of the instance that sent the request.
    :param caller_zone: failure domain of the instance that sent the request.
    :param fingerprint: identifies the request in crash reports.
    :param repeat: 1 for a retry or hedge; otherwise the probability that a
        repeated run on the caller's server made this request.
    :param two_phase: whether a commit follows, even if the request may be
        repeated and has no body.
    :param head_follows: whether method, target and fields come with the
        commit.
    :param body_bytes: size of a body that follows the commit in parts, else 0;
        as received, rounded up to a whole number of MiB until the commit.
    :param body_unstated: whether the length of that body is not stated;
        ``body_bytes`` is then the most that it may have.
    :param stream: that body.
    :param objective: target latency of the response, in seconds.
    :param last_resort: whether the sender has found no other server.
    :param account: name of the caller's client account, may be empty.
    :param account_version: of the configuration under which the sender checked
        the caller's key, 0 if unknown.
    :param max_doubt: the server is to refuse the request if the probability
        that it hangs is higher; 0 leaves the limit to it.
    :param returning: whether its caller was refused for want of a slot and
        returns when it was told to.
    """

    attempt_id: str
    method: str
    target: str
    fields: Fields
    body: bytes = attrs.field(repr=False)
    service: str
    server_id: str
    repeatable: bool
    priority: int
    seconds_left: float
    max_wait: float
    caller_service: str
    caller_zone: str
    fingerprint: int
    repeat: float = 0
    two_phase: bool = False
    objective: float = DEFAULT_OBJECTIVE_SECONDS
    last_resort: bool = False
    head_follows: bool = False
    account: str = ''
    account_version: int = 0
    body_bytes: int = 0
    body_unstated: bool = False
    stream: BodyStream | None = attrs.field(default=None, repr=False, eq=False)
    max_doubt: float = 0
    returning: bool = False

    @property
    def needs_commit(self) -> bool:
        """Whether the sidecar waits for a commit after granting a slot.

        Requests that must not be repeated need one, so that a lost grant
        proves that they have not run. Requests with a body need one, so that
        the body is not sent with an offer that may be refused.
        """
        has_body = self.body or self.body_bytes
        return self.two_phase or not self.repeatable or bool(has_body)

    @property
    def large_body(self) -> LargeBody:
        """What its server holds, or may get, of a body that is not small."""
        if not self.body_unstated:
            return LargeBody(self.body_bytes, self.body_bytes)
        if self.stream is None:
            return LargeBody(0, self.body_bytes)
        arrived = self.stream.received
        has_all = self.stream.has_arrived
        return LargeBody(arrived, arrived if has_all else self.body_bytes)


def describe_stream(stream: BodyStream | None) -> dict[str, typing.Any]:
    """Return the parameters of an offer whose body follows in parts."""
    if stream is None:
        return {}
    return {
        'stream': stream,
        'body_bytes': stream.size,
        'body_unstated': not stream.is_stated,
    }


@attrs.frozen
class Refusal:
    """A sidecar refused a request or could not complete it.

    :param avoid: seconds for which the sender should avoid the server.
    """

    error: RefusalError
    avoid: float
    load: Load


@attrs.frozen
class Rumor:
    """Changed members and crashes that a node forwards to its peers.

    :param sender: relay address of the sender.
    :param version: of the sender's configuration.
    :param unreadable: on the receiving side, number of records that were
        left out.
    """

    sender: Address
    members: tuple[Member, ...]
    crashes: tuple[Crash, ...]
    version: int
    unreadable: int = 0


@attrs.frozen
class Digest:
    """Hashes over the records and the configuration of a node.

    :param sender: relay address of the sender.
    :param buckets: one hash over the members of each bucket.
    :param version: of the sender's configuration.
    :param omit_configuration: whether the reply is to carry the version of a
        newer configuration only.
    :param accept_compressed: whether the sender can decompress a
        configuration.
    :param ask_store_age: whether the reply is to state the age of the other
        node's latest contact with the store.
    """

    sender: Address
    buckets: tuple[int, ...]
    version: int
    omit_configuration: bool = False
    accept_compressed: bool = False
    ask_store_age: bool = False


@attrs.frozen
class DigestReply:
    """Reply to a digest that differs from the replying node's state.

    :param members: all members in the buckets that differ.
    :param buckets: numbers of the buckets that differ.
    :param configuration: encoded, empty unless it is newer than the version
        in the digest and is not to be omitted.
    :param version: of the replying node's configuration; older nodes do not
        send it.
    :param compressed: whether the configuration is compressed.
    :param store_age: seconds since the replying node or one that it heard
        reached the store, ``None`` if it does not tell.
    :param unreadable: on the receiving side, number of records that were
        left out.
    """

    members: tuple[Member, ...]
    buckets: tuple[int, ...]
    configuration: bytes = attrs.field(repr=False)
    version: int = 0
    compressed: bool = False
    store_age: float | None = None
    unreadable: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether it tells only versions and times."""
        return not (self.members or self.buckets or self.configuration)


@attrs.frozen
class QuotaRequest:
    """Asks for tokens of an account, or about a node.

    :param sender: relay address of the sender.
    :param account: name of the account; empty for a question about a node.
    :param wanted: number of tokens.
    :param subject: relay address of a node that the sender has lost; ``None``
        asks whether the receiver is in touch.
    :param expected: tokens beyond those wanted that the sender expects to use
        in the next seconds.
    :param confirmed: whether witnesses of the sender have lost the subject too.
    """

    sender: Address
    account: str = ''
    wanted: int = 0
    subject: Address | None = None
    confirmed: bool = False
    expected: int = 0
