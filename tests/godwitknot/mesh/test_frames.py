"""Frames are decoded unchanged; malformed input raises ProtocolError."""

import contextlib

import attrs
import pytest
from hypothesis import given, strategies as st

from godwitknot.accounts.quotagrants import Grant, Verdict
from godwitknot.accounts.tokenbucket import Tokens
from godwitknot.errors import ProtocolError
from godwitknot.mesh import framedecoder, frames
from godwitknot.mesh.model import HttpRequest
from godwitknot.mesh.messages import (
    Digest,
    DigestReply,
    Kind,
    Load,
    QuotaRequest,
    Refusal,
)
from godwitknot.outcomes import Code, RefusalError
from test_admissioncontrol import make_offer
from test_memberdirectory import LOCAL


def test_refused_offer_has_not_sent_its_body():
    """Guards against bodies sent with offers that are refused.

    They caused half of the bytes between failure domains.
    """
    offer = make_offer(body=b'x' * 100000, repeatable=False)
    frame = frames.encode_offer(offer)
    assert len(frame) < 1000
    kind, decoded = frames.decode(frame)
    assert kind is Kind.OFFER
    assert decoded == attrs.evolve(offer, body=b'', two_phase=True)


def test_commit_carries_the_body():
    offer = make_offer(body=b'abc')
    commit = frames.decode(frames.encode_commit(offer))
    assert commit == (Kind.COMMIT, b'abc')


def test_commit_carries_the_head_that_the_offer_has_left_out():
    fields = [('Accept', 'text/plain'), ('Content-Length', '3')]
    offer = make_offer(
        method='POST',
        target='/orders/17?x=1',
        fields=fields,
        body=b'abc',
        two_phase=True,
        head_follows=True,
    )
    _, decoded = frames.decode(frames.encode_offer(offer))
    assert (decoded.method, decoded.target, decoded.fields) == ('', '', [])
    commit = frames.decode(frames.encode_commit(offer))
    request = HttpRequest('POST', '/orders/17?x=1', fields, b'abc')
    assert commit == (Kind.REQUEST, request)


def test_offer_without_head_and_commit_is_refused():
    """Guards against a run of a request without method and target."""
    offer = make_offer(head_follows=True)
    with pytest.raises(ProtocolError):
        frames.decode(frames.encode_offer(offer))


@pytest.mark.parametrize('last_resort', [True, False])
def test_offer_without_body_needs_no_commit_if_repeatable(last_resort):
    offer = make_offer(last_resort=last_resort)
    assert frames.decode(frames.encode_offer(offer)) == (Kind.OFFER, offer)


def test_offer_names_the_account():
    """Guards against servers that take a request for one of nobody."""
    offer = make_offer(account='fjord')
    assert frames.decode(frames.encode_offer(offer))[1].account == 'fjord'
    forged = make_offer(account='fjord\r\nX-Forged: 1')
    with pytest.raises(ProtocolError):
        frames.decode(frames.encode_offer(forged))


def test_version_of_a_key_check_is_stated_and_answered():
    """Guards against keys that are never checked again with a newer version.

    Nodes of the previous release take the refusal for one of a node that is
    not ready, and ignore the version.
    """
    offer = make_offer(account='fjord', account_version=7)
    assert frames.decode(frames.encode_offer(offer))[1] == offer
    error = RefusalError(Code.NOT_READY, retry_after=0.5, needed_version=8)
    frame = frames.encode_refusal(Refusal(error, 0, Load()))
    decoded = frames.decode(frame)[1].error
    assert (decoded.code, decoded.needed_version) == (Code.NOT_READY, 8)


def test_member_survives_its_row():
    assert framedecoder.decode_member(frames.encode_member(LOCAL)) == LOCAL


@given(st.binary(max_size=200))
def test_damaged_frames_raise_a_type_of_their_own(content):
    """Guards against a crash on rows of other writers and damaged frames."""
    for read in (frames.decode, framedecoder.decode_member):
        with contextlib.suppress(ProtocolError):
            read(content)


def test_unreadable_row_names_no_server():
    with pytest.raises(ProtocolError):
        framedecoder.decode_member(b'')


def test_frames_of_quotas_survive_encoding():
    tokens = Tokens(9, 2, delay=0.5, interval=0.25)
    grant = Grant(Verdict.GRANTED, tokens, 1.5, 0.125, 7, seconds=15)
    requests = [
        QuotaRequest(LOCAL.address, 'cargo', 3, expected=7),
        QuotaRequest(LOCAL.address, subject=LOCAL.address),
        QuotaRequest(LOCAL.address, subject=LOCAL.address, confirmed=True),
    ]
    for request in requests:
        decoded = frames.decode(frames.encode_quota_request(request))
        assert decoded == (Kind.QUOTA_REQUEST, request)
    decoded = frames.decode(frames.encode_quota_grant(grant))
    assert decoded == (Kind.QUOTA_GRANT, grant)
    for verdict in Verdict:
        frame = frames.encode_quota_grant(Grant(verdict))
        assert frames.decode(frame)[1] == Grant(verdict)


def test_digest_and_its_reply_survive_encoding():
    """Guards against fields that one side sends and the other ignores."""
    digest = Digest(
        LOCAL.address,
        (1, 2),
        7,
        omit_configuration=True,
        accept_compressed=True,
    )
    reply = DigestReply((LOCAL,), (3,), b'copy', 9, compressed=True)
    encoded = frames.encode_digest(digest), frames.encode_digest_reply(reply)
    assert [frames.decode(frame) for frame in encoded] == [
        (Kind.DIGEST, digest),
        (Kind.KNOWLEDGE, reply),
    ]
