"""Encoding of frames between mesh nodes.

A frame is a big-endian 32-bit length and a Cap'n Proto message.
"""

import pathlib
import struct
import typing

import attrs
import capnp

from godwitknot.errors import ConnectionCutError, ProtocolError
from godwitknot.mesh.channels import Channel
from godwitknot.mesh.memberdirectory import Crash, Member
from godwitknot.mesh.messages import (
    DEFAULT_OBJECTIVE_SECONDS,
    Digest,
    DigestReply,
    Kind,
    Load,
    Offer,
    Refusal,
    Rumor,
)
from godwitknot.mesh.model import Fields, HttpResponse, ServerState
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.units import Address

_SCHEMA_FILE = 'mesh.capnp'
_LENGTH = struct.Struct('>I')
# The largest request body, 64 MiB, and space for the header fields.
MAX_FRAME_BYTES = 68157440
_WORD_BYTES = 8
_TRAVERSAL_WORDS = 2 * MAX_FRAME_BYTES // _WORD_BYTES


def _load_schema() -> typing.Any:
    capnp.remove_import_hook()
    path = pathlib.Path(__file__).with_name(_SCHEMA_FILE)
    return capnp.load(str(path))


_SCHEMA = _load_schema()


class FrameChannel:
    """Sends and receives frames over a connection."""

    def __init__(self, channel: Channel) -> None:
        """Wrap a connection."""
        self.channel = channel
        self._buffer = bytearray()

    def send(self, frame: bytes) -> None:
        """Send an encoded frame.

        :raises ConnectionCutError: if the connection is closed.
        """
        self.channel.write(_LENGTH.pack(len(frame)) + frame)

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
                raise ConnectionCutError('connection closed')
            self._buffer += data

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open without unread input."""
        return not self._buffer and self.channel.is_idle

    def _pop_frame(self) -> bytes | None:
        if len(self._buffer) < _LENGTH.size:
            return None
        (size,) = _LENGTH.unpack_from(self._buffer)
        if size > MAX_FRAME_BYTES:
            raise ProtocolError(f'frame too large: {size} bytes')
        end = _LENGTH.size + size
        if len(self._buffer) < end:
            return None
        frame = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        return frame


def _pack_fields(fields: Fields) -> list[dict]:
    return [{'name': name, 'value': text} for name, text in fields]


def _pack_load(load: Load) -> dict:
    return attrs.asdict(load)


def _encode_frame(kind: Kind, content: typing.Any) -> bytes:
    return _SCHEMA.Frame.new_message(**{kind: content}).to_bytes()


def encode_offer(offer: Offer) -> bytes:
    """Encode a request; its body is left to the commit if there is one."""
    return _encode_frame(
        Kind.OFFER,
        {
            'attemptId': offer.attempt_id,
            'method': offer.method,
            'target': offer.target,
            'fields': _pack_fields(offer.fields),
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
        },
    )


def encode_load(kind: Kind, load: Load) -> bytes:
    """Encode a notice that a request was queued or was granted a slot."""
    return _encode_frame(kind, _pack_load(load))


def encode_commit(body: bytes) -> bytes:
    """Encode the commit of an offer, which carries the request body."""
    return _encode_frame(Kind.COMMIT, body)


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
    }


def encode_member(member: Member) -> bytes:
    """Encode a member as the content of its row in the store."""
    return _SCHEMA.Member.new_message(**pack_member(member)).to_bytes()


def decode_member(content: bytes) -> Member:
    """Decode a member from the content of its row in the store.

    :raises ProtocolError: if the content is not a valid member.
    """
    try:
        with _SCHEMA.Member.from_bytes(content) as entry:
            return _unpack_member(entry)
    except (capnp.KjException, ValueError, TypeError) as error:
        raise ProtocolError(f'member: {error!r}') from error


def decode(frame: bytes) -> tuple[Kind, typing.Any]:
    """Decode a frame into its kind and content.

    :raises ProtocolError: if the frame is malformed.
    """
    try:
        with _SCHEMA.Frame.from_bytes(
            frame, traversal_limit_in_words=_TRAVERSAL_WORDS
        ) as message:
            kind = Kind(str(message.which()))
            return kind, _UNPACK[kind](getattr(message, kind))
    except (capnp.KjException, ValueError, TypeError) as error:
        raise ProtocolError(f'frame: {error!r}') from error


def _unpack_fields(entries: typing.Any) -> Fields:
    return [(entry.name, entry.value) for entry in entries]


def _unpack_load(entry: typing.Any) -> Load:
    return Load(entry.running, entry.waiting, max(1, entry.slots))


def _unpack_offer(entry: typing.Any) -> Offer:
    return Offer(
        attempt_id=entry.attemptId,
        method=entry.method,
        target=entry.target,
        fields=_unpack_fields(entry.fields),
        body=bytes(entry.body),
        service=entry.service,
        server_id=entry.serverId,
        repeatable=entry.repeatable,
        priority=entry.priority,
        seconds_left=entry.secondsLeft,
        max_wait=entry.maxWait,
        caller_service=entry.callerService,
        caller_zone=entry.callerZone,
        fingerprint=entry.fingerprint,
        repeat=entry.repeat,
        two_phase=entry.twoPhase,
        objective=entry.objective or DEFAULT_OBJECTIVE_SECONDS,
    )


def _unpack_refusal(entry: typing.Any) -> Refusal:
    error = RefusalError(
        Code(entry.code),
        Outcome(entry.outcome),
        entry.retryAfter or None,
        relayed=True,
    )
    return Refusal(error, entry.avoid, _unpack_load(entry.load))


def _unpack_answer(entry: typing.Any) -> tuple[HttpResponse, Load]:
    response = HttpResponse(
        entry.status, _unpack_fields(entry.fields), bytes(entry.body)
    )
    return response, _unpack_load(entry.load)


def _unpack_member(entry: typing.Any) -> Member:
    return Member(
        node=entry.node,
        address=Address(entry.host, entry.port),
        zone=entry.zone,
        region=entry.region,
        service=entry.service,
        server_id=entry.serverId,
        born=entry.born,
        state=ServerState(entry.state),
        slots=max(1, entry.slots),
        incarnation=entry.incarnation,
        revision=entry.revision,
        serving=entry.serving,
    )


def _unpack_members(entries: typing.Any) -> tuple[Member, ...]:
    return tuple(_unpack_member(entry) for entry in entries)


def _unpack_address(text: str) -> Address:
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


def _unpack_rumor(entry: typing.Any) -> Rumor:
    crashes = tuple(
        Crash(
            crash.service,
            crash.node,
            crash.serverId,
            tuple(crash.fingerprints),
        )
        for crash in entry.crashes
    )
    return Rumor(
        _unpack_address(entry.sender),
        _unpack_members(entry.members),
        crashes,
        entry.version,
    )


def _unpack_digest(entry: typing.Any) -> Digest:
    return Digest(
        _unpack_address(entry.sender),
        tuple(entry.buckets),
        entry.version,
        entry.omitConfiguration,
        entry.acceptCompressed,
    )


def _unpack_digest_reply(entry: typing.Any) -> DigestReply:
    return DigestReply(
        _unpack_members(entry.members),
        tuple(entry.buckets),
        bytes(entry.configuration),
        entry.version,
        entry.compressed,
    )


def _unpack_void(entry: typing.Any) -> None:
    """Ignore the content of a frame that carries none."""


_UNPACK = {
    Kind.OFFER: _unpack_offer,
    Kind.QUEUED: _unpack_load,
    Kind.GRANTED: _unpack_load,
    Kind.COMMIT: bytes,
    Kind.REFUSAL: _unpack_refusal,
    Kind.ANSWER: _unpack_answer,
    Kind.RUMOR: _unpack_rumor,
    Kind.DIGEST: _unpack_digest,
    Kind.KNOWLEDGE: _unpack_digest_reply,
    Kind.SAME: _unpack_void,
}
