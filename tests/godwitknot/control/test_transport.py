"""UDP endpoint: which datagrams are accepted, dropped and counted."""

import itertools
import random
import socket
import threading

import pytest

from godwitknot.control import codec
from godwitknot.control.messages import ConfigQuery, Heartbeat, RecordsRequest
from godwitknot.control.replays import DatagramStatus, ReplayGuard
from godwitknot.control.signing import MessageSigner
from godwitknot.control.transport import MAX_DATAGRAM_BYTES, Endpoint
from godwitknot.errors import MessageTooLargeError
from godwitknot.keys import FleetKeys
from godwitknot.metrics import Metrics
from godwitknot.units import Address

WAIT_SECONDS = 30
LOCAL = Address('127.0.0.1', 0)
KEYS = FleetKeys('k1', {'k1': b'1' * 16})


class Receiver:
    """An endpoint that records the messages passed to its handlers."""

    def __init__(self, keys=KEYS):
        self.metrics = Metrics()
        self.endpoint = Endpoint(LOCAL, keys, 'b', 1, self.metrics)
        self.received = []
        self.marker_numbers = itertools.count()
        self.changed = threading.Condition()
        self.endpoint.subscribe(ConfigQuery, self.record)
        self.endpoint.start()
        self.raw_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def record(self, sender, address, message):
        with self.changed:
            self.received.append((sender, message.token))
            self.changed.notify_all()

    def send(self, payload):
        self.raw_socket.sendto(payload, self.endpoint.address.pair)

    def wait_for(self, count):
        with self.changed:
            assert self.changed.wait_for(
                lambda: len(self.received) >= count, WAIT_SECONDS
            )

    def wait_until_processed(self):
        """Wait until all datagrams sent before have been processed."""
        marker = f'mark-{next(self.marker_numbers)}'
        self.send(
            MessageSigner(KEYS, marker, 1).sign_message(ConfigQuery(0)).payload
        )
        with self.changed:
            assert self.changed.wait_for(
                lambda: (marker, 0) in self.received, WAIT_SECONDS
            )

    def count_drops(self, reason):
        return self.metrics.snapshot().get(f'control.drops.{reason}', 0)


@pytest.fixture
def receiver():
    started = Receiver()
    yield started
    started.endpoint.stop()
    started.raw_socket.close()


def make_payload(token, signer=None):
    signer = signer or MessageSigner(KEYS, 'a', 5)
    return signer.sign_message(ConfigQuery(token)).payload


def test_message_arrives_with_sender_and_is_counted_by_kind(receiver):
    """Guards against byte counters that miss a kind or a direction."""
    sender_endpoint = Endpoint(LOCAL, KEYS, 'a', 5, Metrics())
    size = sender_endpoint.send(receiver.endpoint.address, ConfigQuery(77))
    receiver.wait_for(1)
    assert receiver.received == [('a', 77)]
    assert sender_endpoint.bytes_sent == {'configQuery': size}
    assert receiver.endpoint.bytes_received == {'configQuery': size}
    sender_endpoint.stop()


def test_message_of_another_fleet_is_dropped(receiver):
    """Guards against accepting a message not signed with the fleet key."""
    other_fleet_keys = FleetKeys('k1', {'k1': b'2' * 16})
    receiver.send(make_payload(1, MessageSigner(other_fleet_keys, 'a', 5)))
    unknown_key = FleetKeys('k9', {'k9': b'1' * 16})
    receiver.send(make_payload(1, MessageSigner(unknown_key, 'a', 5)))
    receiver.wait_until_processed()
    assert receiver.count_drops('unverified') == 2
    assert len(receiver.received) == 1


def test_message_of_the_former_key_is_taken_during_a_rotation():
    """Guards against a fleet that splits during a rotation of keys."""
    rotating_keys = FleetKeys('k2', {'k1': b'1' * 16, 'k2': b'2' * 16})
    receiver = Receiver(rotating_keys)
    receiver.send(make_payload(3))
    receiver.wait_for(1)
    receiver.endpoint.stop()
    receiver.raw_socket.close()


@pytest.mark.parametrize('position', range(0, 55, 3))
def test_changed_datagram_is_dropped(receiver, position):
    """Guards against a field that the MAC does not cover."""
    payload = bytearray(make_payload(1))
    payload[position] ^= 0x41
    receiver.send(bytes(payload))
    receiver.wait_until_processed()
    assert len(receiver.received) == 1


def test_large_and_malformed_datagrams_are_dropped(receiver):
    """Guards against a receiver thread that ends on invalid datagrams."""
    receiver.send(bytes(MAX_DATAGRAM_BYTES + 1))
    receiver.send(b'\x10\x05')
    receiver.send(b'')
    valid_signer = MessageSigner(KEYS, 'a', 5)
    unsigned = codec.Envelope('a', 5, 1, 'k1', b'no message')
    signed = unsigned.with_mac(KEYS.sign(unsigned.signed()))
    receiver.send(codec.encode_envelope(signed))
    receiver.wait_until_processed()
    assert receiver.count_drops('too-large') == 1
    assert receiver.count_drops('malformed') == 3
    receiver.send(make_payload(4, valid_signer))
    receiver.wait_until_processed()


def test_too_large_message_is_refused_at_the_sender():
    """Guards against sending a datagram that every receiver drops."""
    endpoint = Endpoint(LOCAL, KEYS, 'a', 1, Metrics())
    rng = random.Random(5)
    names = tuple(rng.randbytes(20).hex() for _ in range(100))
    with pytest.raises(MessageTooLargeError):
        endpoint.send(endpoint.address, RecordsRequest(names))
    endpoint.stop()


def test_old_incarnation_is_dropped_after_a_new_one(receiver):
    """Guards against messages of an ended process that affect its successor."""
    reported = []
    receiver.endpoint.subscribe_old_incarnations(
        lambda sender, address: reported.append(sender)
    )
    receiver.send(make_payload(1, MessageSigner(KEYS, 'a', 6)))
    receiver.send(make_payload(2, MessageSigner(KEYS, 'a', 5)))
    receiver.wait_until_processed()
    assert ('a', 2) not in receiver.received
    assert receiver.count_drops('old-incarnation') == 1
    assert reported == ['a']


def test_replayed_datagram_is_dropped(receiver):
    """Guards against an attacker who sends a recorded datagram again."""
    payload = make_payload(1)
    receiver.send(payload)
    receiver.send(payload)
    receiver.wait_until_processed()
    assert receiver.received.count(('a', 1)) == 1
    assert receiver.count_drops('replayed') == 1


def test_replays_are_found_within_and_before_the_window():
    """Guards against accepted replays and dropped reordered datagrams."""
    guard = ReplayGuard(retention=100)
    assert guard.check('a', 1, 5000, 0) is DatagramStatus.FRESH
    assert guard.check('a', 1, 4990, 0) is DatagramStatus.FRESH
    assert guard.check('a', 1, 4990, 0) is DatagramStatus.REPLAYED
    assert guard.check('a', 1, 5000, 0) is DatagramStatus.REPLAYED
    assert guard.check('a', 1, 10, 0) is DatagramStatus.REPLAYED
    assert guard.check('a', 1, 10**9, 0) is DatagramStatus.FRESH
    assert guard.check('a', 1, 5001, 0) is DatagramStatus.REPLAYED


def test_silent_senders_are_forgotten():
    """Guards against state that grows with every node that ever existed."""
    guard = ReplayGuard(retention=100)
    guard.check('a', 7, 1, 0)
    guard.check('b', 1, 1, 101)
    assert guard.incarnation('a') == 0
    assert guard.incarnation('b') == 1


def test_own_id_from_elsewhere_is_dropped(receiver):
    """Guards against a node that handles its own replayed messages."""
    receiver.send(make_payload(1, MessageSigner(KEYS, 'b', 1)))
    receiver.wait_until_processed()
    assert receiver.count_drops('own-id') == 1


def test_fault_of_a_handler_does_not_end_the_receiver(receiver):
    """Guards against a node that receives nothing after a handler failed."""

    def fail(sender, address, message):
        raise ZeroDivisionError

    receiver.endpoint.subscribe(Heartbeat, fail)
    heartbeat = MessageSigner(KEYS, 'a', 5).sign_message(Heartbeat(1, 0, 0, 0))
    receiver.send(heartbeat.payload)
    receiver.wait_until_processed()
    counts = receiver.metrics.snapshot()
    assert counts['control.handler_errors'] == 1
