"""Outcomes and stable refusal codes of responses by the fleet itself."""

import enum
import types

import attrs

from godwitknot.errors import GodwitknotError


class Outcome(enum.StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    MAY_HAVE_RUN = 'may-have-run'


class Code(enum.StrEnum):
    """Stable reason codes of refusals, documented in docs/OPERATIONS.md."""

    NO_CLASS = 'no-class'
    NO_SERVER = 'no-server'
    NOT_READY = 'not-ready'
    ACCOUNT_KEY = 'account-key-invalid'
    QUEUE_FULL = 'queue-full'
    DEADLINE_TOO_SHORT = 'deadline-too-short'
    DEADLINE_PASSED = 'deadline-passed'
    SHED = 'shed'
    SERVER_SHED = 'server-shed'
    EJECTED = 'ejected'
    DOUBTFUL = 'doubtful'
    DRAINING = 'draining'
    WRONG_INCARNATION = 'wrong-incarnation'
    UNREACHABLE = 'unreachable'
    CONNECTION_LOST = 'connection-lost'
    LINK_DOWN = 'link-down'
    LINK_LOST = 'link-lost'
    BAD_ANSWER = 'bad-answer'
    KEY_REQUIRED = 'idempotency-key-required'
    KEY_INVALID = 'idempotency-key-invalid'
    KEY_REUSED = 'idempotency-key-reused'
    KEY_OWNER_GONE = 'idempotency-key-owner-gone'
    KEY_MOVED = 'idempotency-key-moved'
    ANSWER_NOT_KEPT = 'answer-not-kept'
    STORE_DOWN = 'store-down'
    CLAIM_LAPSED = 'claim-lapsed'
    QUERY_OF_DEATH = 'query-of-death'
    BODY_TOO_LARGE = 'body-too-large'
    BAD_REQUEST = 'bad-request'
    CANCELLED = 'cancelled'
    RETRY_BUDGET = 'retry-budget-exhausted'
    MEMORY_FULL = 'memory-full'
    LENGTH_REQUIRED = 'length-required-for-http10'
    QUOTA_EXCEEDED = 'quota-exceeded'


_STATUS_BY_CODE = types.MappingProxyType(
    {
        Code.NO_CLASS: 404,
        Code.ACCOUNT_KEY: 401,
        Code.KEY_REQUIRED: 428,
        Code.KEY_INVALID: 400,
        Code.KEY_REUSED: 422,
        Code.KEY_OWNER_GONE: 409,
        Code.KEY_MOVED: 409,
        Code.ANSWER_NOT_KEPT: 409,
        Code.CLAIM_LAPSED: 409,
        Code.BODY_TOO_LARGE: 413,
        Code.QUOTA_EXCEEDED: 429,
        Code.BAD_REQUEST: 400,
        Code.LENGTH_REQUIRED: 505,
        Code.DEADLINE_PASSED: 504,
        Code.CONNECTION_LOST: 502,
        Code.LINK_DOWN: 502,
        Code.LINK_LOST: 502,
        Code.BAD_ANSWER: 502,
        Code.UNREACHABLE: 502,
    }
)
_DEFAULT_STATUS = 503


@attrs.define(eq=False)
class RefusalError(GodwitknotError):
    """The fleet refuses a request, in place of a server's response.

    :param code: stable reason code.
    :param outcome: whether the request ran; ``NOT_RUN`` only if proved.
    :param retry_after: seconds until a retry is useful, or ``None``.
    :param detail: one sentence for a human reader.
    :param relayed: whether the sidecar of another node refused the request,
        rather than the ingress after a failure of the connection to it.
    :param scheduled: whether ``retry_after`` is a reserved place in a schedule
        of returns, to which no random time is to be added.
    :param needed_version: of the configuration that the sender of an offer
        needs before it offers the request again, 0 for none.
    :param moved_key: issued key to which the right was transferred, set
        with ``KEY_MOVED``.
    """

    code: Code
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None
    detail: str = ''
    relayed: bool = False
    scheduled: bool = False
    needed_version: int = 0
    moved_key: str = attrs.field(default='', repr=False)

    @property
    def status(self) -> int:
        """HTTP status code of this refusal."""
        return _STATUS_BY_CODE.get(self.code, _DEFAULT_STATUS)
