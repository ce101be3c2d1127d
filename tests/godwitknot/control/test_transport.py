"""UDP endpoint: what is taken, what is dropped and counted."""

import itertools
import random
import socket
import threading

import pytest

from godwitknot.control import codec
from godwitknot.control.messages import ConfigQuery, Heartbeat, RecordsRequest
from godwitknot.control.replays import Freshness, ReplayGuard
from godwitknot.control.signing import MessageSigner
from godwitknot.control.transport import MAX_DATAGRAM, Endpoint
from godwitknot.errors import MessageTooLargeError
from godwitknot.keys import FleetKeys
from godwitknot.metrics import Metrics
from godwitknot.units import Address

WAIT_SECONDS = 30
LOCAL = Address('127.0.0.1', 0)
KEYS = FleetKeys('k1', {'k1': b'1' * 16})


class Receiver:
    """An endpoint that records what its handlers get."""

    def __init__(self, keys=KEYS):
        self.metrics = Metrics()
        self.endpoint = Endpoint(LOCAL, keys, 'b', 1, self.metrics)
        self.got = []
        self.marks = itertools.count()
        self.changed = threading.Condition()
        self.endpoint.subscribe(ConfigQuery, self.note)
        self.endpoint.start()
        self.raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def note(self, sender, address, message):
        with self.changed:
            self.got.append((sender, message.token))
            self.changed.notify_all()

    def send(self, payload):
        self.raw.sendto(payload, self.endpoint.address.pair)

    def wait_for(self, count):
        with self.changed:
            assert self.changed.wait_for(
                lambda: len(self.got) >= count, WAIT_SECONDS
            )

    def settle(self):
        """Wait until all that was sent before has been received."""
        mark = f'mark-{next(self.marks)}'
        self.send(
            MessageSigner(KEYS, mark, 1).sign_message(ConfigQuery(0)).payload
        )
        with self.changed:
            assert self.changed.wait_for(
                lambda: (mark, 0) in self.got, WAIT_SECONDS
            )

    def drops(self, reason):
        return self.metrics.snapshot().get(f'control.drops.{reason}', 0)


@pytest.fixture
def receiver():
    made = Receiver()
    yield made
    made.endpoint.stop()
    made.raw.close()


def make_payload(token, signer=None):
    signer = signer or MessageSigner(KEYS, 'a', 5)
    return signer.sign_message(ConfigQuery(token)).payload


def test_message_arrives_with_sender_and_is_counted_by_kind(receiver):
    """Guards against byte counters that miss a kind or a direction."""
    other = Endpoint(LOCAL, KEYS, 'a', 5, Metrics())
    size = other.send(receiver.endpoint.address, ConfigQuery(77))
    receiver.wait_for(1)
    assert receiver.got == [('a', 77)]
    assert other.bytes_sent == {'configQuery': size}
    assert receiver.endpoint.bytes_received == {'configQuery': size}
    other.stop()


def test_message_of_another_fleet_is_dropped(receiver):
    """Guards against taking a message that the fleet key does not sign."""
    foreign = FleetKeys('k1', {'k1': b'2' * 16})
    receiver.send(make_payload(1, MessageSigner(foreign, 'a', 5)))
    unknown = FleetKeys('k9', {'k9': b'1' * 16})
    receiver.send(make_payload(1, MessageSigner(unknown, 'a', 5)))
    receiver.settle()
    assert receiver.drops('unverified') == 2
    assert len(receiver.got) == 1


def test_message_of_the_former_key_is_taken_during_a_rotation():
    """Guards against a fleet that splits while keys are changed."""
    both = FleetKeys('k2', {'k1': b'1' * 16, 'k2': b'2' * 16})
    receiver = Receiver(both)
    receiver.send(make_payload(3))
    receiver.wait_for(1)
    receiver.endpoint.stop()
    receiver.raw.close()


@pytest.mark.parametrize('position', range(0, 55, 3))
def test_changed_datagram_is_dropped(receiver, position):
    """Guards against a field that the MAC does not cover."""
    payload = bytearray(make_payload(1))
    payload[position] ^= 0x41
    receiver.send(bytes(payload))
    receiver.settle()
    assert len(receiver.got) == 1


def test_large_and_malformed_datagrams_are_dropped(receiver):
    """Guards against a receiver thread that ends on foreign bytes."""
    receiver.send(bytes(MAX_DATAGRAM + 1))
    receiver.send(b'\x10\x05')
    receiver.send(b'')
    envelope = MessageSigner(KEYS, 'a', 5)
    unsigned = codec.Envelope('a', 5, 1, 'k1', b'no message')
    signed = unsigned.with_mac(KEYS.sign(unsigned.signed()))
    receiver.send(codec.encode_envelope(signed))
    receiver.settle()
    assert receiver.drops('too-large') == 1
    assert receiver.drops('malformed') == 3
    receiver.send(make_payload(4, envelope))
    receiver.settle()


def test_too_large_message_is_refused_at_the_sender():
    """Guards against a datagram that the receiver only would drop."""
    endpoint = Endpoint(LOCAL, KEYS, 'a', 1, Metrics())
    rng = random.Random(5)
    names = tuple(rng.randbytes(20).hex() for _ in range(100))
    with pytest.raises(MessageTooLargeError):
        endpoint.send(endpoint.address, RecordsRequest(names))
    endpoint.stop()


def test_old_incarnation_is_dropped_after_a_new_one(receiver):
    """Guards against an ended process that undoes its successor."""
    told = []
    receiver.endpoint.subscribe_old_incarnations(
        lambda sender, address: told.append(sender)
    )
    receiver.send(make_payload(1, MessageSigner(KEYS, 'a', 6)))
    receiver.send(make_payload(2, MessageSigner(KEYS, 'a', 5)))
    receiver.settle()
    assert ('a', 2) not in receiver.got
    assert receiver.drops('old-incarnation') == 1
    assert told == ['a']


def test_replayed_datagram_is_dropped(receiver):
    """Guards against an old datagram that somebody sends again."""
    payload = make_payload(1)
    receiver.send(payload)
    receiver.send(payload)
    receiver.settle()
    assert receiver.got.count(('a', 1)) == 1
    assert receiver.drops('replayed') == 1


def test_replays_are_found_within_and_before_the_window():
    """Guards against a window that forgets or refuses reordered datagrams."""
    guard = ReplayGuard(hold=100)
    assert guard.check('a', 1, 5000, 0) is Freshness.FRESH
    assert guard.check('a', 1, 4990, 0) is Freshness.FRESH
    assert guard.check('a', 1, 4990, 0) is Freshness.REPLAYED
    assert guard.check('a', 1, 5000, 0) is Freshness.REPLAYED
    assert guard.check('a', 1, 10, 0) is Freshness.REPLAYED
    assert guard.check('a', 1, 10**9, 0) is Freshness.FRESH
    assert guard.check('a', 1, 5001, 0) is Freshness.REPLAYED


def test_silent_senders_are_forgotten():
    """Guards against state that grows with every node there ever was."""
    guard = ReplayGuard(hold=100)
    guard.check('a', 7, 1, 0)
    guard.check('b', 1, 1, 101)
    assert guard.incarnation('a') == 0
    assert guard.incarnation('b') == 1


def test_own_id_from_elsewhere_is_dropped(receiver):
    """Guards against a node that talks to its own replayed messages."""
    receiver.send(make_payload(1, MessageSigner(KEYS, 'b', 1)))
    receiver.settle()
    assert receiver.drops('own-id') == 1


def test_fault_of_a_handler_does_not_end_the_receiver(receiver):
    """Guards against a node that is mute because one handler failed."""

    def fail(sender, address, message):
        raise ZeroDivisionError

    receiver.endpoint.subscribe(Heartbeat, fail)
    beat = MessageSigner(KEYS, 'a', 5).sign_message(Heartbeat(1, 0, 0, 0))
    receiver.send(beat.payload)
    receiver.settle()
    counts = receiver.metrics.snapshot()
    assert counts['control.handler_errors'] == 1
