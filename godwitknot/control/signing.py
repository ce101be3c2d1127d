"""Signing of outgoing and verification of incoming control messages."""

import itertools

import attrs

from godwitknot.control import codec
from godwitknot.control.compression import compress, decompress
from godwitknot.control.messages import Message
from godwitknot.keys import FleetKeys


@attrs.frozen
class Datagram:
    """A signed message.

    :param kind: kind of the message, as in the schema's union.
    """

    kind: str
    payload: bytes


class MessageSigner:
    """Signs the messages of one sender, and verifies received envelopes."""

    def __init__(self, keys: FleetKeys, sender: str, incarnation: int) -> None:
        """Create a signer whose first datagram has sequence 1.

        :param sender: node id.
        """
        self.sender = sender
        self._keys = keys
        self._incarnation = incarnation
        self._sequence = itertools.count(1)

    def set_incarnation(self, incarnation: int) -> None:
        """Set the incarnation of the messages signed from now on."""
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
        """Decode and verify an envelope, and decompress its body.

        :raises VerificationError: if the MAC is wrong.
        :raises ProtocolError: if the bytes are not a valid envelope.
        """
        envelope = codec.decode_envelope(payload)
        self._keys.verify(envelope.key_id, envelope.signed(), envelope.mac)
        if not envelope.compressed:
            return envelope
        return attrs.evolve(envelope, body=decompress(envelope.body))
