"""Frames and rows with odd values raise ProtocolError and name the field."""

import contextlib
import math
import struct
import time

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from godwitknot.accounts.quotagrants import Grant, Verdict
from godwitknot.accounts.tokenbucket import Tokens
from godwitknot.errors import ProtocolError
from godwitknot.mesh import frames
from godwitknot.mesh.framedecoder import decode, decode_member
from godwitknot.mesh.frameschema import SCHEMA
from godwitknot.mesh.memberdirectory import Crash
from godwitknot.mesh.messages import (
    Digest,
    DigestReply,
    Kind,
    Load,
    QuotaRequest,
    Refusal,
    Rumor,
)
from godwitknot.mesh.model import HttpResponse
from godwitknot.outcomes import Code, RefusalError
from godwitknot.units import Address
from test_admissioncontrol import make_offer
from test_memberdirectory import LOCAL, PEER

ODD_MEMBERS = {
    'port 0': {'address': Address('10.0.0.9', 0)},
    'no host': {'address': Address('', 80)},
    'name as host': {'address': Address('node.example', 80)},
    'host with zero byte': {'address': Address('10.0.0.9\0', 80)},
    'any address': {'address': Address('0.0.0.0', 80)},
    'group address': {'address': Address('224.0.0.1', 80)},
    'negative born': {'born': -1},
    'late born': {'born': 2**63 - 1},
    'negative incarnation': {'incarnation': -1},
    'late incarnation': {'incarnation': 2**63 - 1},
    'id with line end': {'server_id': 'i-1\r\nx: y'},
    'id in another charset': {'server_id': 'i-\u20ac'},
    'id with spaces': {'server_id': ' i-1'},
    'long service': {'service': 'x' * 201},
    'long node': {'node': 'x' * 201},
}
ODD_SECONDS = [math.nan, math.inf, -math.inf, 1e300]
CRASH = Crash('booking', 'node-2', 'i-2', (1, 2**64 - 1))
LOAD = Load(1, 2, 3)
RESPONSE = HttpResponse(200, [('A', 'b')], b'body')


GRANT = Grant(Verdict.GRANTED, Tokens(9, 2, 0.5, 0.25), 1.5, 0.125, 7)


def make_refusal(retry_after=0.5, avoid=0.5):
    error = RefusalError(Code.QUEUE_FULL, retry_after=retry_after)
    return Refusal(error, avoid, LOAD)


FRAMES = [
    frames.encode_offer(make_offer()),
    frames.encode_commit(make_offer(body=b'abc')),
    frames.encode_commit(make_offer(body=b'abc', head_follows=True)),
    frames.encode_load(Kind.QUEUED, LOAD),
    frames.encode_refusal(make_refusal()),
    frames.encode_answer(RESPONSE, LOAD),
    frames.encode_rumor(Rumor(PEER.address, (LOCAL, PEER), (CRASH,), 7)),
    frames.encode_digest(Digest(PEER.address, (1, 2, 3), 7)),
    frames.encode_digest_reply(DigestReply((LOCAL, PEER), (0, 31), b'{}')),
    frames.encode_quota_request(QuotaRequest(PEER.address, 'cargo', 3)),
    frames.encode_quota_grant(GRANT),
]


@pytest.mark.parametrize('changes', ODD_MEMBERS.values(), ids=ODD_MEMBERS)
def test_odd_member_row_is_refused(changes):
    """Guards against odd records that are used or forwarded.

    A host or port that no node can have was dialled, and an incarnation near
    the end of 64 bits ended the tasks that encode the records.
    """
    content = frames.encode_member(attrs.evolve(LOCAL, **changes))
    with pytest.raises(ProtocolError, match=next(iter(changes))[:3]):
        decode_member(content)


@pytest.mark.parametrize('changes', ODD_MEMBERS.values(), ids=ODD_MEMBERS)
def test_odd_member_leaves_the_others_of_its_frame(changes):
    """Guards against a record that hides the others of a peer."""
    members = (LOCAL, attrs.evolve(PEER, **changes), PEER)
    rumor = Rumor(PEER.address, members, (), 7)
    _, content = decode(frames.encode_rumor(rumor))
    assert (content.members, content.unreadable) == ((LOCAL, PEER), 1)
    reply = DigestReply(members, (), b'')
    _, content = decode(frames.encode_digest_reply(reply))
    assert (content.members, content.unreadable) == ((LOCAL, PEER), 1)


@pytest.mark.parametrize(
    'changes',
    [
        {'tokens': Tokens(10**6, 0)},
        {'tokens': Tokens(1, 2)},
        {'tokens': Tokens(1, 0, -1)},
        {'tokens': Tokens(1, 0, 0, math.nan)},
        {'retry_after': math.inf},
        {'pace': -1},
    ],
)
def test_odd_grant_is_refused(changes):
    """Guards against tokens or waits without an end."""
    with pytest.raises(ProtocolError, match='out of range'):
        decode(frames.encode_quota_grant(attrs.evolve(GRANT, **changes)))


@pytest.mark.parametrize('seconds', ODD_SECONDS)
@pytest.mark.parametrize(
    'name', ['seconds_left', 'max_wait', 'repeat', 'objective']
)
def test_odd_time_of_an_offer_is_refused(name, seconds):
    """Guards against times that compare as false or never pass."""
    offer = attrs.evolve(make_offer(), **{name: seconds})
    with pytest.raises(ProtocolError, match='out of range'):
        decode(frames.encode_offer(offer))


def test_verdict_of_a_later_release_is_refused():
    """Guards against an unexpected error of the whole connection."""
    message = SCHEMA.Frame.new_message(quotaGrant={'verdict': 999})
    with pytest.raises(ProtocolError):
        decode(message.to_bytes())


@pytest.mark.parametrize('seconds', ODD_SECONDS)
def test_odd_time_of_a_refusal_is_refused(seconds):
    """Guards against a server that is avoided for ever."""
    for refusal in (make_refusal(seconds), make_refusal(avoid=seconds)):
        with pytest.raises(ProtocolError, match='out of range'):
            decode(frames.encode_refusal(refusal))


@pytest.mark.parametrize(
    'changes',
    [
        {'method': ''},
        {'method': 'GET /'},
        {'target': '/\u20ac'},
        {'target': '/ HTTP/1.1\r\n'},
        {'fields': [('', 'empty name')]},
        {'fields': [('A', '\u20ac')]},
        {'fields': [('A', 'x\r\nB: y')]},
        {'server_id': 'i-\u20ac'},
        {'caller_service': 'x\r\n'},
    ],
    ids=str,
)
def test_offer_that_http_cannot_carry_is_refused(changes):
    """Guards against requests that count as failures of the server."""
    offer = attrs.evolve(make_offer(), **changes)
    with pytest.raises(ProtocolError):
        decode(frames.encode_offer(offer))


@pytest.mark.parametrize(
    'response',
    [
        HttpResponse(0, [], b''),
        HttpResponse(1000, [], b''),
        HttpResponse(200, [('A', '\u20ac')], b''),
    ],
    ids=['status 0', 'status 1000', 'other charset'],
)
def test_answer_that_http_cannot_carry_is_refused(response):
    with pytest.raises(ProtocolError):
        decode(frames.encode_answer(response, LOAD))


def test_fields_of_other_bytes_are_forwarded():
    """Guards against a check that refuses what HTTP allows."""
    response = HttpResponse(200, [('A', 'caf\u00e9\tb\u0080'), ('B', '')], b'')
    assert decode(frames.encode_answer(response, LOAD))[1][0] == response


@pytest.mark.parametrize('sender', ODD_MEMBERS.values(), ids=ODD_MEMBERS)
def test_odd_sender_is_refused(sender):
    """Guards against nodes that call back to an address without a node."""
    if 'address' not in sender:
        sender = {'address': Address('10.0.0.9', 65536)}
    digest = Digest(sender['address'], (), 0)
    with pytest.raises(ProtocolError):
        decode(frames.encode_digest(digest))


def test_list_without_content_takes_no_time():
    """Guards against a frame of a few bytes with millions of entries.

    The entries take no space, so reading them blocked the event loop.
    """
    offer = attrs.evolve(make_offer(), fields=[('A', 'b')])
    frame = frames.encode_offer(offer)
    # Number of entries, data words and pointers of each entry.
    before = struct.pack('<IHH', 1 << 2, 0, 2)
    after = struct.pack('<IHH', 8000000 << 2, 0, 0)
    assert frame.count(before) == 1
    started = time.monotonic()
    with pytest.raises(ProtocolError):
        decode(frame.replace(before, after))
    assert time.monotonic() - started < 1


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.sampled_from(FRAMES), st.data())
def test_changed_bytes_raise_the_project_error(frame, data):
    """Guards against errors that the connection does not handle."""
    changed = bytearray(frame)
    for _ in range(data.draw(st.integers(1, 3))):
        position = data.draw(st.integers(8, len(frame) - 1))
        changed[position] = data.draw(st.integers(0, 255))
    for read in (decode, decode_member):
        with contextlib.suppress(ProtocolError):
            read(bytes(changed))
