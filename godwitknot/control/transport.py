"""UDP endpoint for control messages: sign, send, receive, verify."""

import collections
import socket
import threading
import time
from collections.abc import Callable

from godwitknot.control import codec
from godwitknot.control.messages import Message
from godwitknot.control.replays import Freshness, ReplayGuard
from godwitknot.control.signing import Datagram, MessageSigner
from godwitknot.errors import (
    MessageTooLargeError,
    ProtocolError,
    VerificationError,
)
from godwitknot.keys import FleetKeys
from godwitknot.logs import log_event
from godwitknot.metrics import Metrics
from godwitknot.units import MIB, Address

MAX_DATAGRAM = 1200
_RECEIVE_BUFFER = MIB
# A sender silent for longer is forgotten, like a tombstone.
_SENDER_HOLD_SECONDS = 7200
_STOP_POLL_SECONDS = 0.2

Handler = Callable[[str, Address, Message], None]
OldIncarnationHandler = Callable[[str, Address], None]


class Endpoint:
    """Sends and receives control messages over one UDP socket.

    A datagram that does not verify, is too large, malformed, replayed or of
    an older incarnation than one seen from its sender is counted and
    dropped. Handlers run one after another on the receiver thread.
    """

    def __init__(
        self,
        address: Address,
        keys: FleetKeys,
        sender: str,
        incarnation: int,
        metrics: Metrics,
    ) -> None:
        """Bind the socket.

        :param address: where to listen; port 0 takes a free one.
        :param sender: own node id.
        :param incarnation: own incarnation; see :meth:`set_incarnation`.
        """
        self._signer = MessageSigner(keys, sender, incarnation)
        self._metrics = metrics
        self._handlers: dict[type, list[Handler]] = {}
        self._old_incarnation: list[OldIncarnationHandler] = []
        self._guard = ReplayGuard(_SENDER_HOLD_SECONDS)
        self._running = threading.Event()
        self._thread: threading.Thread | None = None
        self.bytes_sent: collections.Counter[str] = collections.Counter()
        self.bytes_received: collections.Counter[str] = collections.Counter()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER
        )
        self._socket.settimeout(_STOP_POLL_SECONDS)
        self._socket.bind(address.pair)
        self.address = Address(*self._socket.getsockname())

    def start(self) -> None:
        """Start the receiver thread."""
        self._running.set()
        self._thread = threading.Thread(
            target=self._receive_all, name='control-receiver', daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop the receiver thread and close the socket."""
        self._running.clear()
        if self._thread is not None:
            self._thread.join()
        self._socket.close()

    def set_incarnation(self, incarnation: int) -> None:
        """Send as a later incarnation from now on."""
        self._signer.set_incarnation(incarnation)

    def incarnation_of(self, sender: str) -> int:
        """Give the latest verified incarnation of a sender, 0 if none.

        In a handler it is the incarnation that sent the message.
        """
        return self._guard.incarnation(sender)

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """Call a handler for each verified message of a type.

        :param handler: takes sender node id, address and message.
        """
        self._handlers.setdefault(message_type, []).append(handler)

    def subscribe_old_incarnations(
        self, handler: OldIncarnationHandler
    ) -> None:
        """Call a handler for each verified message of an old incarnation."""
        self._old_incarnation.append(handler)

    def send(self, address: Address, message: Message) -> int:
        """Sign and send a message; loss is not noticed.

        :returns: bytes of the datagram.
        :raises MessageTooLargeError: if it exceeds a datagram.
        """
        return self.send_signed(address, self.sign_message(message))

    def sign_message(self, message: Message) -> Datagram:
        """Sign a message, to be sent to one address.

        :raises MessageTooLargeError: if it exceeds a datagram.
        """
        datagram = self._signer.sign_message(message)
        if len(datagram.payload) > MAX_DATAGRAM:
            size = len(datagram.payload)
            raise MessageTooLargeError(f'{datagram.kind} of {size} bytes')
        return datagram

    def send_signed(self, address: Address, datagram: Datagram) -> int:
        """Send a signed message; loss is not noticed.

        :returns: bytes of the datagram.
        """
        size = len(datagram.payload)
        try:
            self._socket.sendto(datagram.payload, address.pair)
        except OSError:
            self._metrics.count('control.send_errors')
            return size
        self.bytes_sent[datagram.kind] += size
        self._metrics.count(f'control.bytes_sent.{datagram.kind}', size)
        self._metrics.count(f'control.messages_sent.{datagram.kind}')
        return size

    def _receive_all(self) -> None:
        while self._running.is_set():
            try:
                datagram, pair = self._socket.recvfrom(MAX_DATAGRAM + 1)
            except TimeoutError:
                continue
            except OSError:
                # An ICMP error of an earlier send; the socket stays usable.
                self._metrics.count('control.receive_errors')
                continue
            self._receive(datagram, Address(*pair))

    def _receive(self, datagram: bytes, address: Address) -> None:
        if len(datagram) > MAX_DATAGRAM:
            self._drop('too-large')
            return
        try:
            envelope = self._signer.verify_envelope(datagram)
        except VerificationError:
            self._drop('unverified')
            return
        except ProtocolError:
            self._drop('malformed')
            return
        if self._is_current(envelope, address):
            self._decode(envelope, len(datagram), address)

    def _is_current(self, envelope: codec.Envelope, address: Address) -> bool:
        if envelope.sender == self._signer.sender:
            self._drop('own-id')
            return False
        verdict = self._guard.check(
            envelope.sender,
            envelope.incarnation,
            envelope.sequence,
            time.monotonic(),
        )
        if verdict is Freshness.FRESH:
            return True
        self._drop(verdict.value)
        if verdict is Freshness.OLD_INCARNATION:
            for handler in self._old_incarnation:
                handler(envelope.sender, address)
        return False

    def _decode(
        self, envelope: codec.Envelope, size: int, address: Address
    ) -> None:
        try:
            message = codec.decode(envelope.body)
        except ProtocolError:
            # Also a kind of message that a later version of nodes adds.
            self._drop('malformed')
            return
        kind = codec.kind_of(message)
        self.bytes_received[kind] += size
        self._metrics.count(f'control.bytes_received.{kind}', size)
        self._metrics.count(f'control.messages_received.{kind}')
        for handler in self._handlers.get(type(message), ()):
            self._handle(handler, envelope.sender, address, message)

    def _handle(
        self,
        handler: Handler,
        sender: str,
        address: Address,
        message: Message,
    ) -> None:
        try:
            handler(sender, address, message)
        except Exception as error:
            # A fault of one handler must not end the receiver thread: the
            # node would be taken for dead while it serves requests.
            self._metrics.count('control.handler_errors')
            log_event(
                'control message not handled',
                sender=sender,
                kind=codec.kind_of(message),
                error=repr(error),
            )

    def _drop(self, reason: str) -> None:
        self._metrics.count(f'control.drops.{reason}')
