"""Responses to an operator's requests are whole or lost."""

import pytest

from godwitknot.operators.access import Access
from godwitknot.operators.operatorclient import (
    NodeUnreachableError,
    OperatorClient,
)
from standins.rawserver import RawServer
from tests.cutresponses import CUT_RESPONSES


@pytest.mark.parametrize('cut', CUT_RESPONSES)
def test_cut_response_of_a_node_is_no_answer(cut):
    """Guards against reading an empty response where the head was cut off."""
    server = RawServer([cut])
    client = OperatorClient(Access((server.address,), 'token', 'ops'))
    with pytest.raises(NodeUnreachableError):
        client.status()
    server.stop()
