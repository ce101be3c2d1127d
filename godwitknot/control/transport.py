"""UDP endpoint for control messages: sign, send, receive, verify."""

import collections
import socket
import threading
import time
from collections.abc import Callable

from godwitknot.control import codec
from godwitknot.control.messages import Message
from godwitknot.control.replays import DatagramStatus, ReplayGuard
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

MAX_DATAGRAM_BYTES = 1200
_RECEIVE_BUFFER_BYTES = MIB
# Idle senders are removed after the same time as tombstones.
_SENDER_RETENTION_SECONDS = 7200
_STOP_POLL_SECONDS = 0.2

Handler = Callable[[str, Address, Message], None]
OldIncarnationHandler = Callable[[str, Address], None]


class Endpoint:
    """Sends and receives control messages over one UDP socket.

    A datagram is counted and dropped if it is unverified, too large,
    malformed, replayed, or of an older incarnation than the latest one of
    its sender. Handlers run one after another on the receiver thread.
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

        :param address: address to listen on; port 0 selects a free port.
        :param sender: id of this node.
        :param incarnation: of this process; see :meth:`set_incarnation`.
        """
        self._signer = MessageSigner(keys, sender, incarnation)
        self._metrics = metrics
        self._handlers: dict[type, list[Handler]] = {}
        self._old_incarnation_handlers: list[OldIncarnationHandler] = []
        self._replay_guard = ReplayGuard(_SENDER_RETENTION_SECONDS)
        self._running = threading.Event()
        self._thread: threading.Thread | None = None
        self.bytes_sent: collections.Counter[str] = collections.Counter()
        self.bytes_received: collections.Counter[str] = collections.Counter()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self._socket.settimeout(_STOP_POLL_SECONDS)
        self._socket.bind(address.pair)
        self.address = Address(*self._socket.getsockname())

    def start(self) -> None:
        """Start the receiver thread."""
        self._running.set()
        self._thread = threading.Thread(
            target=self._receive_loop, name='control-receiver', daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop the receiver thread and close the socket."""
        self._running.clear()
        if self._thread is not None:
            self._thread.join()
        self._socket.close()

    def set_incarnation(self, incarnation: int) -> None:
        """Set the incarnation of the messages sent from now on."""
        self._signer.set_incarnation(incarnation)

    def incarnation_of(self, sender: str) -> int:
        """Return the latest verified incarnation of a sender, 0 if none.

        While a handler runs, it is the incarnation that sent the message.
        """
        return self._replay_guard.incarnation(sender)

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """Call a handler for each verified message of a type.

        :param handler: called with the node id and address of the sender
            and the message.
        """
        self._handlers.setdefault(message_type, []).append(handler)

    def subscribe_old_incarnations(
        self, handler: OldIncarnationHandler
    ) -> None:
        """Call a handler for each verified message of an old incarnation.

        :param handler: called with the node id and address of the sender.
        """
        self._old_incarnation_handlers.append(handler)

    def send(self, address: Address, message: Message) -> int:
        """Sign and send a message; a loss is not detected.

        :returns: bytes of the datagram.
        :raises MessageTooLargeError: if it exceeds a datagram.
        """
        return self.send_signed(address, self.sign_message(message))

    def sign_message(self, message: Message) -> Datagram:
        """Sign a message that is to be sent to a single address.

        :raises MessageTooLargeError: if it exceeds a datagram.
        """
        datagram = self._signer.sign_message(message)
        if len(datagram.payload) > MAX_DATAGRAM_BYTES:
            size = len(datagram.payload)
            raise MessageTooLargeError(
                f'{datagram.kind} message of {size} bytes exceeds a datagram'
            )
        return datagram

    def send_signed(self, address: Address, datagram: Datagram) -> int:
        """Send a signed message; a loss is not detected.

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

    def _receive_loop(self) -> None:
        while self._running.is_set():
            try:
                datagram, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except TimeoutError:
                continue
            except OSError:
                # An ICMP error for an earlier datagram; the socket remains
                # usable.
                self._metrics.count('control.receive_errors')
                continue
            self._receive(datagram, Address(*source))

    def _receive(self, datagram: bytes, address: Address) -> None:
        if len(datagram) > MAX_DATAGRAM_BYTES:
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
        if self._is_fresh(envelope, address):
            self._dispatch(envelope, len(datagram), address)

    def _is_fresh(self, envelope: codec.Envelope, address: Address) -> bool:
        if envelope.sender == self._signer.sender:
            self._drop('own-id')
            return False
        status = self._replay_guard.check(
            envelope.sender,
            envelope.incarnation,
            envelope.sequence,
            time.monotonic(),
        )
        if status is DatagramStatus.FRESH:
            return True
        self._drop(status.value)
        if status is DatagramStatus.OLD_INCARNATION:
            for handler in self._old_incarnation_handlers:
                handler(envelope.sender, address)
        return False

    def _dispatch(
        self, envelope: codec.Envelope, size: int, address: Address
    ) -> None:
        try:
            message = codec.decode(envelope.body)
        except ProtocolError:
            # Includes kinds of messages that only newer versions know.
            self._drop('malformed')
            return
        kind = codec.kind_of(message)
        self.bytes_received[kind] += size
        self._metrics.count(f'control.bytes_received.{kind}', size)
        self._metrics.count(f'control.messages_received.{kind}')
        for handler in self._handlers.get(type(message), ()):
            self._call_handler(handler, envelope.sender, address, message)

    def _call_handler(
        self,
        handler: Handler,
        sender: str,
        address: Address,
        message: Message,
    ) -> None:
        try:
            handler(sender, address, message)
        except Exception as error:
            # An exception in one handler must not end the receiver thread:
            # the node would count as dead while it serves requests.
            self._metrics.count('control.handler_errors')
            log_event(
                'control message not handled',
                sender=sender,
                kind=codec.kind_of(message),
                error=repr(error),
            )

    def _drop(self, reason: str) -> None:
        self._metrics.count(f'control.drops.{reason}')
