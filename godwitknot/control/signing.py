"""Signing of outgoing and verifying of incoming control messages."""

import itertools

import attrs

from godwitknot.control import codec
from godwitknot.control.compression import compress, decompress
from godwitknot.control.messages import Message
from godwitknot.keys import FleetKeys


@attrs.frozen
class Datagram:
    """A signed message.

    :param kind: as in the schema's union.
    """

    kind: str
    payload: bytes


class MessageSigner:
    """Puts messages into signed envelopes of one sender."""

    def __init__(self, keys: FleetKeys, sender: str, incarnation: int) -> None:
        """Start with sequence 1."""
        self.sender = sender
        self._keys = keys
        self._incarnation = incarnation
        self._sequence = itertools.count(1)

    def set_incarnation(self, incarnation: int) -> None:
        """Sign as a later incarnation from now on."""
        self._incarnation = incarnation

    def sign_message(self, message: Message) -> Datagram:
        """Encode and sign a message.

        :raises ProtocolError: if a value does not fit its field.
        """
        body = codec.encode(message)
        compressed = compress(body)
        unsigned = codec.Envelope(
            sender=self.sender,
            incarnation=self._incarnation,
            sequence=next(self._sequence),
            key_id=self._keys.current,
            body=compressed or body,
            compressed=compressed is not None,
        )
        mac = self._keys.sign(unsigned.signed())
        payload = codec.encode_envelope(unsigned.with_mac(mac))
        return Datagram(codec.kind_of(message), payload)

    def verify_envelope(self, payload: bytes) -> codec.Envelope:
        """Decode and verify an envelope; its body is decompressed.

        :raises VerificationError: if the MAC is wrong.
        :raises ProtocolError: if the bytes are no envelope.
        """
        envelope = codec.decode_envelope(payload)
        self._keys.verify(envelope.key_id, envelope.signed(), envelope.mac)
        if not envelope.compressed:
            return envelope
        return attrs.evolve(envelope, body=decompress(envelope.body))
