"""Client of the operator port."""

import json
import time
import uuid
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import cattrs
import urllib3

from godwitknot.declarations.configversions import Change
from godwitknot.errors import (
    ConfigurationConflictError,
    DeclarationError,
    OperationRefusedError,
    Problem,
    UserError,
)
from godwitknot.operators.access import Access, AccessError
from godwitknot.operators.budgetreport import BudgetReport
from godwitknot.operators.operations import (
    ApiCode,
    ConfigurationView,
    Confirmation,
    Explanation,
    FleetStatus,
    Plan,
    StopProgress,
)
from godwitknot.strictresponses import StrictConnectionPool
from godwitknot.units import Address

Answer = TypeVar('Answer')

CONNECT_SECONDS = 2.0
# For a report, the node collects counts from the whole fleet first.
READ_SECONDS = 15.0
_APPLY_ATTEMPTS = 5
_INITIAL_BACKOFF_SECONDS = 0.5
_MIN_ERROR_STATUS = 400
_GET = 'GET'
_POST = 'POST'
_CONVERTER = cattrs.Converter()


class NodeUnreachableError(UserError):
    """No node responded to the operator's request."""


class NodeFailureError(UserError):
    """A node reported a failure, or its response could not be read."""


class LostApplyError(NodeUnreachableError):
    """The response to an apply was lost; it may have been accepted."""


@attrs.frozen
class _Call:
    """One request to the operator port."""

    method: str
    path: str
    query: dict[str, str] | None = None
    body: dict[str, Any] | None = None


class OperatorClient:
    """Calls the operator port of the first node of a list that responds."""

    def __init__(
        self,
        access: Access,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Set up the client without connecting.

        :param access: addresses, token and name to use.
        :param sleep: waits a number of seconds between attempts to apply.
        """
        self._access = access
        self._sleep = sleep
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=READ_SECONDS),
        )
        self._pool.pool_classes_by_scheme = {'http': StrictConnectionPool}

    def status(self) -> FleetStatus:
        """Request the state of the fleet."""
        return self._request(FleetStatus, _Call(_GET, '/status'))

    def report(self) -> BudgetReport:
        """Request the error budgets."""
        return self._request(BudgetReport, _Call(_GET, '/report'))

    def explain(self, subject: str) -> Explanation:
        """Request why the fleet treats a server or a request as it does."""
        query = {'subject': subject}
        return self._request(Explanation, _Call(_GET, '/explain', query))

    def configuration(self) -> ConfigurationView:
        """Request the configuration in force."""
        return self._request(ConfigurationView, _Call(_GET, '/configuration'))

    def confirm(self, version: int) -> Confirmation:
        """Request which nodes have a version in force."""
        query = {'version': str(version)}
        return self._request(Confirmation, _Call(_GET, '/confirmation', query))

    def plan(self, text: str) -> Plan:
        """Request what an apply would change."""
        return self._request(Plan, _Call(_POST, '/plan', body={'text': text}))

    def apply(self, text: str, expected_version: int) -> Change:
        """Apply a declaration.

        Without a response the declaration may have been accepted, so the
        request is repeated with the same apply id.

        :param expected_version: version that the text is based on.
        :raises LostApplyError: if no attempt got a certain response.
        """
        body = {
            'text': text,
            'expected_version': expected_version,
            'apply_id': uuid.uuid4().hex,
        }
        may_be_accepted = False
        for attempt in range(_APPLY_ATTEMPTS):
            try:
                return self._request(Change, _Call(_POST, '/apply', body=body))
            except NodeUnreachableError:
                may_be_accepted = True
            except NodeFailureError:
                # After a lost response, a failure of the store does not
                # show whether an earlier attempt was accepted; only an
                # acceptance, a conflict or a refusal does.
                if not may_be_accepted:
                    raise
            self._sleep(_INITIAL_BACKOFF_SECONDS * 2**attempt)
        raise LostApplyError(
            'no answer; the change may have been accepted. Run the same '
            'apply again: it says whether the text is in force.'
        )

    def stop(self, target: str) -> StopProgress:
        """Start a planned stop."""
        return self._request(
            StopProgress, _Call(_POST, '/stop', body={'target': target})
        )

    def get_stop_progress(self, target: str) -> StopProgress:
        """Request the progress of a planned stop."""
        query = {'target': target}
        return self._request(StopProgress, _Call(_GET, '/stop', query))

    def _request(self, kind: type[Answer], call: _Call) -> Answer:
        response = self._send_to_any(call)
        try:
            return _CONVERTER.structure(json.loads(response.data), kind)
        except (ValueError, cattrs.BaseValidationError) as error:
            message = f'unexpected answer to {call.method} {call.path}'
            raise NodeFailureError(message) from error

    def _send_to_any(self, call: _Call) -> urllib3.BaseHTTPResponse:
        reasons = []
        for address in self._access.address:
            try:
                response = self._send(address, call)
            except urllib3.exceptions.HTTPError as error:
                reasons.append(f'{address}: {_shorten_message(error)}')
                continue
            if response.status < _MIN_ERROR_STATUS:
                return response
            raise _parse_error(response.data)
        raise NodeUnreachableError(f'no answer from {"; ".join(reasons)}')

    def _send(self, address: Address, call: _Call) -> urllib3.BaseHTTPResponse:
        headers = {
            'Authorization': f'Bearer {self._access.token}',
            'X-Operator': self._access.name,
        }
        url = f'http://{address}{call.path}'
        if call.method == _GET:
            return self._pool.request(
                _GET, url, fields=call.query, headers=headers, redirect=False
            )
        return self._pool.request(
            call.method, url, json=call.body, headers=headers, redirect=False
        )


def _shorten_message(error: Exception) -> str:
    text = str(error).rpartition(': ')[2]
    return text.strip("')( ") or type(error).__name__


def _parse_error(content: bytes) -> UserError:
    try:
        error = json.loads(content)['error']
        return _make_error(ApiCode(error['code']), error)
    except (ValueError, LookupError, TypeError):
        return NodeFailureError('the node answered with an unknown error')


def _make_error(code: ApiCode, error: dict[str, Any]) -> UserError:
    message = str(error['message'])
    if code is ApiCode.CONFLICT:
        return ConfigurationConflictError(
            message, error['version'], error['changes']
        )
    if code is ApiCode.INVALID_DECLARATION:
        problems = [Problem(**problem) for problem in error['problems']]
        return DeclarationError(problems)
    if code is ApiCode.REFUSED:
        return OperationRefusedError(message)
    if code in {ApiCode.UNAUTHORIZED, ApiCode.OPERATOR_REQUIRED}:
        return AccessError(message)
    if code is ApiCode.ANSWER_LOST:
        return NodeUnreachableError(message)
    if code is ApiCode.STORE_DOWN:
        return NodeFailureError(
            f'the store is down; nothing was changed ({message})'
        )
    return NodeFailureError(f'{code}: {message}')
