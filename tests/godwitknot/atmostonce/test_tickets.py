import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitknot.atmostonce.tickets import Owner, TicketIssuer, is_ticket
from godwitknot.clock import ManualClock
from godwitknot.errors import TicketError
from godwitknot.keys import FleetKeys

KEYS = {'k1': b'a' * 16, 'k2': b'b' * 16}
OWNER = Owner('n1', (1 << 63) + 5)


def issue(issuer, account='café'):
    return issuer.issue(OWNER, 's1', 'booking', account)


def test_a_key_keeps_its_content_and_is_safe_in_urls_and_headers():
    issuer = TicketIssuer(FleetKeys('k1', KEYS), ManualClock())
    text = issue(issuer)
    assert re.fullmatch(r'[A-Za-z0-9._-]+', text)
    assert is_ticket(text)
    ticket = issuer.read(text)
    assert (ticket.owner, ticket.server) == (OWNER, 's1')
    assert (ticket.service, ticket.account) == ('booking', 'café')
    assert issuer.read(issue(issuer)).nonce != ticket.nonce


def test_keys_stay_valid_during_a_rotation_and_end_with_it():
    old = TicketIssuer(FleetKeys('k1', KEYS), ManualClock())
    both = TicketIssuer(FleetKeys('k2', KEYS), ManualClock())
    ended = TicketIssuer(FleetKeys('k2', {'k2': KEYS['k2']}), ManualClock())
    text = issue(old)
    assert both.read(text).owner == OWNER
    with pytest.raises(TicketError):
        ended.read(text)


def test_an_expired_key_is_refused():
    clock = ManualClock()
    issuer = TicketIssuer(FleetKeys('k1', KEYS), clock)
    text = issue(issuer)
    clock.advance(1800)
    with pytest.raises(TicketError):
        issuer.read(text)


def test_the_right_is_transferred_once():
    """Guards against two siblings that both hold the right to run."""
    issuer = TicketIssuer(FleetKeys('k1', KEYS), ManualClock())
    first = issuer.read(issue(issuer))
    moved = issuer.read(issuer.move(first, Owner('n2', 9), 's2'))
    assert (moved.nonce, moved.owner) == (first.nonce, Owner('n2', 9))
    with pytest.raises(TicketError):
        issuer.move(moved, Owner('n3', 9), 's3')


@settings(max_examples=200, derandomize=True, deadline=None)
@given(position=st.integers(0, 10_000), letter=st.sampled_from('Aa0-_.=é\n'))
def test_a_changed_key_never_gains_another_content(position, letter):
    """Guards against forged keys and against crashes on malformed ones."""
    issuer = TicketIssuer(FleetKeys('k1', KEYS), ManualClock())
    text = issue(issuer)
    index = position % len(text)
    changed = text[:index] + letter + text[index + 1 :]
    try:
        ticket = issuer.read(changed)
    except TicketError:
        return
    assert ticket == issuer.read(text)


@pytest.mark.parametrize('text', ['', 'gk1.', 'gk1.a.b', 'gk1.a.b.c', 'x' * 99])
def test_malformed_keys_are_refused(text):
    issuer = TicketIssuer(FleetKeys('k1', KEYS), ManualClock())
    with pytest.raises(TicketError):
        issuer.read(text)
