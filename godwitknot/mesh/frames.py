"""Encoding of frames between mesh nodes.

A frame is a big-endian 32-bit length and a Cap'n Proto message. The highest
bit of the length marks a compressed message.
"""

import math
import struct
import typing

import attrs

from godwitknot.accounts.quotagrants import Grant
from godwitknot.errors import ConnectionCutError, ProtocolError
from godwitknot.memory.ledger import UNCOUNTED, HeldBytes
from godwitknot.mesh.channels import Channel
from godwitknot.mesh.framecompression import (
    FrameCompressor,
    FrameDecompressor,
)
from godwitknot.mesh.framedecoder import decode
from godwitknot.mesh.frameschema import SCHEMA
from godwitknot.mesh.memberdirectory import Member
from godwitknot.mesh.messages import (
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
from godwitknot.mesh.model import Fields, HttpResponse

_LENGTH = struct.Struct('>I')
# The largest request body, 64 MiB, and space for the header fields.
MAX_FRAME_BYTES = 68157440
_COMPRESSED = 0x80000000
_MS_PER_SECOND = 1000
_MAX_AGE = 0xFFFFFFFF


class FrameChannel:
    """Sends and receives frames over a connection."""

    def __init__(
        self,
        channel: Channel,
        *,
        compress: bool = False,
        held: HeldBytes = UNCOUNTED,
    ) -> None:
        """Wrap a connection.

        :param compress: compress the frames that are sent. Otherwise they are
            from the first compressed frame on that is received.
        :param held: charged with the parts of incomplete frames.
        """
        self._held = held
        self.channel = channel
        self._buffer = bytearray()
        self._compressor = FrameCompressor() if compress else None
        self._decompressor = FrameDecompressor(MAX_FRAME_BYTES)

    def send(self, frame: bytes) -> None:
        """Send an encoded frame.

        :raises ConnectionCutError: if the connection is closed.
        """
        marker = 0
        if self._compressor is not None:
            frame = self._compressor.compress(frame)
            marker = _COMPRESSED
        self.channel.write(_LENGTH.pack(len(frame) | marker) + frame)

    async def receive(self) -> tuple[Kind, typing.Any]:
        """Receive the next frame and return its kind and decoded content.

        :raises ConnectionCutError: if the connection is closed.
        :raises ProtocolError: if the frame is malformed.
        """
        while True:
            frame = self._pop_frame()
            if frame is not None:
                return decode(frame)
            data = await self.channel.receive()
            if not data:
                self._clear()
                raise ConnectionCutError('connection closed')
            self._buffer += data
            self._held.charge(len(data))

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open without unread input."""
        return not self._buffer and self.channel.is_idle

    def close(self) -> None:
        """Close the connection after all frames are sent."""
        self._clear()
        self.channel.close()

    def abort(self) -> None:
        """Close the connection immediately."""
        self._clear()
        self.channel.abort()

    def _clear(self) -> None:
        self._held.charge(-len(self._buffer))
        self._buffer.clear()

    def _pop_frame(self) -> bytes | None:
        if len(self._buffer) < _LENGTH.size:
            return None
        (header,) = _LENGTH.unpack_from(self._buffer)
        size = header & ~_COMPRESSED
        if size > MAX_FRAME_BYTES:
            raise ProtocolError(f'frame too large: {size} bytes')
        end = _LENGTH.size + size
        if len(self._buffer) < end:
            return None
        frame = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        self._held.charge(-end)
        return self._decompress(frame) if header & _COMPRESSED else frame

    def _decompress(self, frame: bytes) -> bytes:
        if self._compressor is None:
            self._compressor = FrameCompressor()
        return self._decompressor.decompress(frame)


def _pack_fields(fields: Fields) -> list[dict]:
    return [{'name': name, 'value': text} for name, text in fields]


def _pack_load(load: Load) -> dict:
    return attrs.asdict(load)


def _encode_frame(kind: Kind, content: typing.Any) -> bytes:
    return SCHEMA.Frame.new_message(**{kind: content}).to_bytes()


def encode_offer(offer: Offer) -> bytes:
    """Encode an offer; what the commit carries is left out."""
    has_head = not offer.head_follows
    return _encode_frame(
        Kind.OFFER,
        {
            'attemptId': offer.attempt_id,
            'method': offer.method if has_head else '',
            'target': offer.target if has_head else '',
            'fields': _pack_fields(offer.fields if has_head else []),
            'headFollows': offer.head_follows,
            'body': b'' if offer.needs_commit else offer.body,
            'twoPhase': offer.needs_commit,
            'service': offer.service,
            'serverId': offer.server_id,
            'repeatable': offer.repeatable,
            'priority': offer.priority,
            'secondsLeft': offer.seconds_left,
            'maxWait': offer.max_wait,
            'callerService': offer.caller_service,
            'callerZone': offer.caller_zone,
            'fingerprint': offer.fingerprint,
            'repeat': offer.repeat,
            'objective': offer.objective,
            'lastResort': offer.last_resort,
            'account': offer.account,
            'accountVersion': offer.account_version,
            'bodyMebibytes': -(-offer.body_bytes // MEBIBYTE),
            'bodyUnstated': offer.body_unstated,
            'maxDoubt': offer.max_doubt,
            'returning': offer.returning,
        },
    )


def encode_load(kind: Kind, load: Load) -> bytes:
    """Encode a notice that a request was queued or was granted a slot."""
    return _encode_frame(kind, _pack_load(load))


def encode_commit(offer: Offer) -> bytes:
    """Encode the commit of an offer, with what the offer has left out.

    In place of a body that follows in parts, it has the number of its bytes,
    or the most that it may have.
    """
    body = offer.body
    if offer.body_bytes:
        body = str(offer.body_bytes).encode()
    if not offer.head_follows:
        return _encode_frame(Kind.COMMIT, body)
    return _encode_frame(
        Kind.REQUEST,
        {
            'method': offer.method,
            'target': offer.target,
            'fields': _pack_fields(offer.fields),
            'body': body,
        },
    )


def encode_body_part(part: bytes) -> bytes:
    """Encode the next part of a body that follows its commit."""
    return _encode_frame(Kind.BODY_PART, part)


def encode_same() -> bytes:
    """Encode the acknowledgment of a rumor or of an equal digest."""
    return _encode_frame(Kind.SAME, None)


def encode_refusal(refusal: Refusal) -> bytes:
    """Encode a refusal."""
    return _encode_frame(
        Kind.REFUSAL,
        {
            'code': str(refusal.error.code),
            'outcome': str(refusal.error.outcome),
            'retryAfter': refusal.error.retry_after or 0,
            'avoid': refusal.avoid,
            'neededVersion': refusal.error.needed_version,
            'load': _pack_load(refusal.load),
        },
    )


def encode_answer(response: HttpResponse, load: Load) -> bytes:
    """Encode the response of a server."""
    return _encode_frame(
        Kind.ANSWER,
        {
            'status': response.status,
            'fields': _pack_fields(response.fields),
            'body': response.body,
            'load': _pack_load(load),
        },
    )


def encode_rumor(rumor: Rumor) -> bytes:
    """Encode a rumor."""
    return _encode_frame(
        Kind.RUMOR,
        {
            'sender': str(rumor.sender),
            'members': [pack_member(member) for member in rumor.members],
            'crashes': [
                {
                    'service': crash.service,
                    'node': crash.node,
                    'serverId': crash.server_id,
                    'fingerprints': list(crash.fingerprints),
                }
                for crash in rumor.crashes
            ],
            'version': rumor.version,
        },
    )


def encode_digest(digest: Digest) -> bytes:
    """Encode a digest."""
    return _encode_frame(
        Kind.DIGEST,
        {
            'sender': str(digest.sender),
            'buckets': list(digest.buckets),
            'version': digest.version,
            'omitConfiguration': digest.omit_configuration,
            'acceptCompressed': digest.accept_compressed,
            'askStoreAge': digest.ask_store_age,
        },
    )


def encode_digest_reply(reply: DigestReply) -> bytes:
    """Encode the reply to a digest that differs."""
    return _encode_frame(
        Kind.KNOWLEDGE,
        {
            'members': [pack_member(member) for member in reply.members],
            'buckets': list(reply.buckets),
            'configuration': reply.configuration,
            'version': reply.version,
            'compressed': reply.compressed,
            'storeAge': _pack_age(reply.store_age),
        },
    )


def _pack_age(seconds: float | None) -> int:
    """Return an age in milliseconds plus 1, 0 for none."""
    if seconds is None:
        return 0
    return math.ceil(min(1 + _MS_PER_SECOND * max(0, seconds), _MAX_AGE))


def encode_quota_request(request: QuotaRequest) -> bytes:
    """Encode a request for tokens, or a question about a node."""
    return _encode_frame(
        Kind.QUOTA_REQUEST,
        {
            'sender': str(request.sender),
            'account': request.account,
            'wanted': request.wanted,
            'subject': str(request.subject or ''),
            'confirmed': request.confirmed,
            'expected': request.expected,
        },
    )


def encode_quota_grant(grant: Grant) -> bytes:
    """Encode the answer to a request for tokens."""
    return _encode_frame(
        Kind.QUOTA_GRANT,
        {
            'verdict': str(grant.verdict),
            'count': grant.tokens.count,
            'ready': grant.tokens.ready,
            'delay': grant.tokens.delay,
            'interval': grant.tokens.interval,
            'retryAfter': grant.retry_after,
            'pace': grant.pace,
            'version': grant.version,
            'seconds': grant.seconds,
        },
    )


def pack_member(member: Member) -> dict:
    """Return the schema fields of a member."""
    return {
        'node': member.node,
        'host': member.address.host,
        'port': member.address.port,
        'zone': member.zone,
        'region': member.region,
        'service': member.service,
        'serverId': member.server_id,
        'born': member.born,
        'state': member.state.value,
        'slots': member.slots,
        'incarnation': member.incarnation,
        'revision': member.revision,
        'serving': member.serving,
        'protocol': member.protocol,
    }


def encode_member(member: Member) -> bytes:
    """Encode a member as the content of its row in the store."""
    return SCHEMA.Member.new_message(**pack_member(member)).to_bytes()
