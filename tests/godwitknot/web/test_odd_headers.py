"""Odd numbers in header fields raise ProtocolError."""

import pytest
from urllib3 import HTTPResponse

from godwitknot.errors import ProtocolError
from godwitknot.web.exchange import read_response_length
from godwitknot.web.relay import parse_tag

ODD_NUMBERS = ('\u00b2', '-1', '1e999', '9' * 5000, '')


@pytest.mark.parametrize('odd', ODD_NUMBERS, ids=lambda odd: odd[:9])
def test_odd_length_of_a_response_is_refused(odd):
    """Guards against a response that ends its request with another error."""
    response = HTTPResponse(headers={'Content-Length': odd})
    with pytest.raises(ProtocolError):
        read_response_length(response)


@pytest.mark.parametrize('odd', ODD_NUMBERS, ids=lambda odd: odd[:9])
def test_odd_priority_of_a_class_is_refused(odd):
    with pytest.raises(ProtocolError):
        parse_tag(f'browse,any,{odd},load')
