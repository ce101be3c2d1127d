"""Decoding of frames between mesh nodes and of the rows of members.

Each value is checked for its range here, so that no other module receives one
that it cannot send on.
"""

import contextlib
import typing

import capnp

from godwitknot.accounts.quotagrants import Grant, Verdict
from godwitknot.accounts.tokenbucket import Tokens
from godwitknot.errors import ProtocolError
from godwitknot.mesh.framechecks import (
    MAX_BUCKETS,
    MAX_CRASHES,
    MAX_MEMBERS,
    MAX_TOKENS,
    check_address,
    check_duration,
    check_length,
    check_name,
    check_range,
    check_seconds,
    check_word,
    parse_node_address,
)
from godwitknot.mesh.frameschema import SCHEMA
from godwitknot.mesh.memberdirectory import Crash, Member
from godwitknot.mesh.messages import (
    DEFAULT_OBJECTIVE_SECONDS,
    MEBIBYTE,
    Digest,
    DigestReply,
    Kind,
    Load,
    Offer,
    QuotaRequest,
    Refusal,
    Rumor,
)
from godwitknot.mesh.model import (
    Fields,
    HttpRequest,
    HttpResponse,
    ServerState,
)
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.units import UNIX_MS, Address, is_header_text

_MS_PER_SECOND = 1000
_WORD_BYTES = 8
# Reading a frame once takes its own size; lists whose entries take no space
# could make a short frame endless.
_TRAVERSAL_FACTOR = 4
_MIN_TRAVERSAL_WORDS = 4096
_STATUSES = range(200, 1000)  # noqa: WPS432
_DECODE_ERRORS = (
    capnp.KjException,
    ValueError,
    TypeError,
    ArithmeticError,
    # Too deep a message, or a member of an enumeration of a later release.
    RuntimeError,
)


def _traversal_words(content: bytes) -> int:
    words = len(content) // _WORD_BYTES
    return max(_MIN_TRAVERSAL_WORDS, _TRAVERSAL_FACTOR * words)


def decode_member(content: bytes) -> Member:
    """Decode a member from the content of its row in the store.

    :raises ProtocolError: if the content is not a valid member.
    """
    try:
        with SCHEMA.Member.from_bytes(
            content, traversal_limit_in_words=_traversal_words(content)
        ) as entry:
            return _unpack_member(entry)
    except _DECODE_ERRORS as error:
        raise ProtocolError(f'member: {type(error).__name__}') from error


def decode(frame: bytes) -> tuple[Kind, typing.Any]:
    """Decode a frame into its kind and content.

    :raises ProtocolError: if the frame is malformed.
    """
    try:
        with SCHEMA.Frame.from_bytes(
            frame, traversal_limit_in_words=_traversal_words(frame)
        ) as message:
            kind = Kind(str(message.which()))
            return kind, _UNPACK[kind](getattr(message, kind))
    except _DECODE_ERRORS as error:
        raise ProtocolError(f'frame: {type(error).__name__}') from error


def _unpack_fields(entries: typing.Any) -> Fields:
    fields = [(entry.name, entry.value) for entry in entries]
    for pair in fields:
        if not (pair[0] and is_header_text(''.join(pair))):
            raise ProtocolError('fields: characters that are not allowed')
    return fields


def _unpack_load(entry: typing.Any) -> Load:
    return Load(
        entry.running,
        entry.waiting,
        max(1, entry.slots),
        check_seconds(entry.doubt, 'doubt'),
    )


def _unpack_offer(entry: typing.Any) -> Offer:
    return Offer(
        attempt_id=entry.attemptId,
        **_unpack_head(entry, is_missing=entry.headFollows),
        head_follows=entry.headFollows,
        body=bytes(entry.body),
        service=check_name(entry.service, 'service'),
        server_id=check_name(entry.serverId, 'serverId'),
        repeatable=entry.repeatable,
        priority=entry.priority,
        seconds_left=check_seconds(entry.secondsLeft, 'secondsLeft'),
        max_wait=check_seconds(entry.maxWait, 'maxWait'),
        caller_service=check_name(entry.callerService, 'callerService'),
        caller_zone=entry.callerZone,
        fingerprint=entry.fingerprint,
        repeat=check_seconds(entry.repeat, 'repeat'),
        two_phase=entry.twoPhase,
        objective=check_seconds(entry.objective, 'objective')
        or DEFAULT_OBJECTIVE_SECONDS,
        last_resort=entry.lastResort,
        account=check_name(entry.account, 'account'),
        account_version=entry.accountVersion,
        body_bytes=entry.bodyMebibytes * MEBIBYTE,
        body_unstated=entry.bodyUnstated,
        max_doubt=check_seconds(entry.maxDoubt, 'maxDoubt'),
        returning=entry.returning,
    )


def _unpack_head(entry: typing.Any, *, is_missing: bool) -> dict:
    """Return method, target and fields of a request."""
    if is_missing:
        if not entry.twoPhase:
            raise ProtocolError('offer without a head and a commit')
        return {'method': '', 'target': '', 'fields': []}
    return {
        'method': check_word(entry.method, 'method'),
        'target': check_word(entry.target, 'target'),
        'fields': _unpack_fields(entry.fields),
    }


def _unpack_request(entry: typing.Any) -> HttpRequest:
    head = _unpack_head(entry, is_missing=False)
    return HttpRequest(**head, body=bytes(entry.body))


def _unpack_refusal(entry: typing.Any) -> Refusal:
    error = RefusalError(
        Code(entry.code),
        Outcome(entry.outcome),
        check_seconds(entry.retryAfter, 'retryAfter') or None,
        relayed=True,
        needed_version=entry.neededVersion,
    )
    return Refusal(
        error, check_seconds(entry.avoid, 'avoid'), _unpack_load(entry.load)
    )


def _unpack_answer(entry: typing.Any) -> tuple[HttpResponse, Load]:
    response = HttpResponse(
        check_range(entry.status, 'status', _STATUSES),
        _unpack_fields(entry.fields),
        bytes(entry.body),
    )
    return response, _unpack_load(entry.load)


def _unpack_member(entry: typing.Any) -> Member:
    return Member(
        node=check_name(entry.node, 'node'),
        address=check_address(Address(entry.host, entry.port), 'address'),
        zone=check_name(entry.zone, 'zone'),
        region=check_name(entry.region, 'region'),
        service=check_name(entry.service, 'service'),
        server_id=check_name(entry.serverId, 'serverId'),
        born=check_range(entry.born, 'born', UNIX_MS),
        state=ServerState(entry.state),
        slots=max(1, entry.slots),
        incarnation=check_range(entry.incarnation, 'incarnation', UNIX_MS),
        revision=entry.revision,
        serving=entry.serving,
        protocol=entry.protocol,
    )


def _unpack_members(entries: typing.Any) -> tuple[tuple[Member, ...], int]:
    """Return the valid members and the number of the others.

    A node of an earlier version may forward records of another writer.
    """
    check_length(len(entries), 'members', MAX_MEMBERS)
    members: list[Member] = []
    for entry in entries:
        # The receiver logs how many were left out.
        with contextlib.suppress(ProtocolError, ValueError):
            members.append(_unpack_member(entry))
    return tuple(members), len(entries) - len(members)


def _unpack_crash(entry: typing.Any) -> Crash:
    check_length(len(entry.fingerprints), 'fingerprints', MAX_CRASHES)
    return Crash(
        check_name(entry.service, 'service'),
        check_name(entry.node, 'node'),
        check_name(entry.serverId, 'serverId'),
        tuple(entry.fingerprints),
    )


def _unpack_rumor(entry: typing.Any) -> Rumor:
    members, unreadable = _unpack_members(entry.members)
    check_length(len(entry.crashes), 'crashes', MAX_CRASHES)
    return Rumor(
        parse_node_address(entry.sender, 'sender'),
        members,
        tuple(_unpack_crash(crash) for crash in entry.crashes),
        entry.version,
        unreadable=unreadable,
    )


def _unpack_digest(entry: typing.Any) -> Digest:
    return Digest(
        parse_node_address(entry.sender, 'sender'),
        _unpack_buckets(entry.buckets),
        entry.version,
        entry.omitConfiguration,
        entry.acceptCompressed,
        entry.askStoreAge,
    )


def _unpack_digest_reply(entry: typing.Any) -> DigestReply:
    members, unreadable = _unpack_members(entry.members)
    return DigestReply(
        members,
        _unpack_buckets(entry.buckets),
        bytes(entry.configuration),
        entry.version,
        entry.compressed,
        (entry.storeAge - 1) / _MS_PER_SECOND if entry.storeAge else None,
        unreadable=unreadable,
    )


def _unpack_buckets(entries: typing.Any) -> tuple[int, ...]:
    check_length(len(entries), 'buckets', MAX_BUCKETS)
    return tuple(entries)


def _unpack_quota_request(entry: typing.Any) -> QuotaRequest:
    subject = None
    if entry.subject:
        subject = parse_node_address(entry.subject, 'subject')
    return QuotaRequest(
        parse_node_address(entry.sender, 'sender'),
        check_name(entry.account, 'account'),
        check_range(entry.wanted, 'wanted', MAX_TOKENS),
        subject,
        entry.confirmed,
        check_range(entry.expected, 'expected', MAX_TOKENS),
    )


def _unpack_quota_grant(entry: typing.Any) -> Grant:
    count = check_range(entry.count, 'count', MAX_TOKENS)
    tokens = Tokens(
        count,
        check_range(entry.ready, 'ready', range(count + 1)),
        check_duration(entry.delay, 'delay'),
        check_duration(entry.interval, 'interval'),
    )
    return Grant(
        Verdict(str(entry.verdict)),
        tokens,
        check_duration(entry.retryAfter, 'retryAfter'),
        check_duration(entry.pace, 'pace'),
        entry.version,
        check_duration(entry.seconds, 'seconds'),
    )


def _unpack_void(entry: typing.Any) -> None:
    """Ignore the content of a frame that carries none."""


_UNPACK = {
    Kind.OFFER: _unpack_offer,
    Kind.QUEUED: _unpack_load,
    Kind.GRANTED: _unpack_load,
    Kind.COMMIT: bytes,
    Kind.REQUEST: _unpack_request,
    Kind.REFUSAL: _unpack_refusal,
    Kind.ANSWER: _unpack_answer,
    Kind.RUMOR: _unpack_rumor,
    Kind.DIGEST: _unpack_digest,
    Kind.KNOWLEDGE: _unpack_digest_reply,
    Kind.SAME: _unpack_void,
    Kind.QUOTA_REQUEST: _unpack_quota_request,
    Kind.QUOTA_GRANT: _unpack_quota_grant,
    Kind.BODY_PART: bytes,
}
