"""What nodes say to each other, apart from how it is encoded."""

import enum

import attrs

from godwitknot.mesh.memberdirectory import Crash, Member
from godwitknot.mesh.model import Fields
from godwitknot.outcomes import RefusalError
from godwitknot.units import Address

# For offers of nodes that do not tell the objective.
DEFAULT_OBJECTIVE_SECONDS = 1.5


class Kind(enum.StrEnum):
    """Kinds of frames."""

    OFFER = 'offer'
    QUEUED = 'queued'
    GRANTED = 'granted'
    COMMIT = 'commit'
    REFUSAL = 'refusal'
    ANSWER = 'answer'
    RUMOR = 'rumor'
    DIGEST = 'digest'
    KNOWLEDGE = 'knowledge'
    SAME = 'same'


@attrs.frozen
class Load:
    """Load of a server as its sidecar counts it.

    :param running: requests on the server.
    :param waiting: requests that wait for a slot.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 1


@attrs.frozen
class Offer:
    """A request offered to the sidecar of a server.

    :param attempt_id: id of the caller's attempt.
    :param repeatable: whether it may run more than once.
    :param seconds_left: until the final answer.
    :param max_wait: seconds that it may wait for a slot.
    :param caller_service: service of the instance where it began.
    :param caller_zone: failure domain where it began.
    :param repeat: 1 if it was sent before; otherwise the likelihood that
        it counts as a repeat, since a repeated run called it.
    :param two_phase: on the receiving side, whether a commit follows.
    :param objective: seconds in which the answer is wanted.
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

    @property
    def needs_commit(self) -> bool:
        """Whether the request waits for a commit once its slot is granted.

        What must not be repeated does, so that a lost grant proves that it
        has not run; bodies do, since a refused offer has sent none.
        """
        return not self.repeatable or bool(self.body)


@attrs.frozen
class Refusal:
    """A sidecar did not take a request, or could not finish it.

    :param avoid: seconds without requests to this server.
    """

    error: RefusalError
    avoid: float
    load: Load


@attrs.frozen
class Rumor:
    """News that a node passes on."""

    sender: Address
    members: tuple[Member, ...]
    crashes: tuple[Crash, ...]
    version: int


@attrs.frozen
class Digest:
    """A summary of what a node knows.

    :param buckets: a hash over the members of each bucket.
    """

    sender: Address
    buckets: tuple[int, ...]
    version: int


@attrs.frozen
class Knowledge:
    """Members, and the configuration if the receiver lacks it.

    :param members: all of the buckets that differ.
    :param buckets: numbers of the buckets that differ.
    """

    members: tuple[Member, ...]
    buckets: tuple[int, ...]
    configuration: bytes = attrs.field(repr=False)
