"""Health checks open a server only with an answer to themselves."""

import asyncio
import random
import types

import attrs
import pytest

from godwitknot.mesh.httpclient import HttpClient
from godwitknot.mesh.model import HttpResponse, ResponseMetadata
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverchecks import ServerChecks
from godwitknot.mesh.telemetry import Telemetry


class OneAnswerClient(HttpClient):
    """Returns the same response to each call."""

    async def call(self, address, http_request, timeout):
        return HttpResponse(200, [], b'')


@attrs.define
class FixedDialect:
    """Decodes each response to the same values."""

    attempt_id: str

    def read_response(self, fields):
        return ResponseMetadata(
            attempt_id=self.attempt_id,
            sealed=True,
            not_executed=False,
            server_id='s1',
        )


@attrs.define
class UncheckedServer:
    """A server that the first health check opens."""

    placement: object
    service: str = 'booking'
    is_open: bool = False

    def record_health_check(self, server_id):
        self.is_open = True
        return True


@pytest.mark.parametrize(('attempt_id', 'opens'), [('', True), ('a1', False)])
def test_answer_to_a_request_opens_no_server(
    placement, clock, log, attempt_id, opens
):
    """Guards against a surplus answer that passes for a health check's."""
    server = UncheckedServer(placement)
    current = types.SimpleNamespace(health_paths={'booking': '/health'})
    checks = ServerChecks(
        server,
        types.SimpleNamespace(current=current),
        FixedDialect(attempt_id),
        OneAnswerClient(1),
        Runtime(clock, log, Telemetry(), random.Random(1)),
    )
    assert asyncio.run(checks.check_health()) is opens
    assert server.is_open is opens
