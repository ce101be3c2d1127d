"""The operator port: JSON over HTTP with a bearer token."""

import hmac
import json
import re
import sys
from collections.abc import Callable
from typing import Any

import cattrs
import cherrypy

from godwitknot.errors import (
    ConfigurationConflictError,
    DeclarationError,
    GodwitknotError,
    InvalidFileError,
    LostAnswerError,
    OperationRefusedError,
    StoreDownError,
    StoreError,
)
from godwitknot.logs import log_event
from godwitknot.metrics import Metrics
from godwitknot.operators.operations import ApiCode, FleetView, Operations
from godwitknot.units import parse_count

OPERATOR_HEADER = 'X-Operator'
MAX_BODY_BYTES = 8388608
_SCHEME = 'Bearer '
_OPERATOR_PATTERN = re.compile(r'^[A-Za-z0-9][A-Za-z0-9._@+-]{0,62}$')
_JSON_TYPE = 'application/json'
_CONVERTER = cattrs.Converter()
_UNAUTHORIZED = 401
_BAD_REQUEST = 400
_TOO_LARGE = 413
_UNAVAILABLE = 503
_INTERNAL = 500
_GET = 'GET'
_POST = 'POST'
# The first matching type is used, so subclasses come first.
_ERROR_RESPONSES = (
    (DeclarationError, ApiCode.INVALID_DECLARATION, 422),
    (ConfigurationConflictError, ApiCode.CONFLICT, 409),
    (OperationRefusedError, ApiCode.REFUSED, 403),
    (LostAnswerError, ApiCode.ANSWER_LOST, _UNAVAILABLE),
    (StoreDownError, ApiCode.STORE_DOWN, _UNAVAILABLE),
    (StoreError, ApiCode.STORE_FAILED, _UNAVAILABLE),
)


class ApiError(GodwitknotError):
    """A request to the operator port is not acceptable.

    :param code: error code of the response.
    :param status: HTTP status of the response.
    :param message: one sentence for the operator.
    """

    def __init__(self, code: ApiCode, status: int, message: str) -> None:
        """Create an error with a code, an HTTP status and a message."""
        super().__init__(message)
        self.code = code
        self.status = status


class OperatorApi:
    """HTTP request handlers of the operator port."""

    def __init__(
        self,
        view: FleetView,
        operations: Operations,
        token: str,
        metrics: Metrics,
    ) -> None:
        """Set up the handlers for a node.

        :param view: answers the read requests.
        :param operations: makes the changes.
        :param token: bearer token of the operators.
        """
        self._view = view
        self._operations = operations
        self._token = token.encode()
        self._metrics = metrics

    def authorize(self) -> None:
        """Check the token and the body's size before the body is read.

        :raises ApiError: if the token is not valid or the body too large.
        """
        headers = cherrypy.request.headers
        credential = headers.get('Authorization', '').removeprefix(_SCHEME)
        if not hmac.compare_digest(credential.encode(), self._token):
            self._metrics.count('operator.unauthorized')
            raise ApiError(
                ApiCode.UNAUTHORIZED, _UNAUTHORIZED, 'a valid token is needed'
            )
        length = headers.get('Content-Length', '0')
        if not _is_allowed_length(length):
            raise ApiError(
                ApiCode.BAD_REQUEST,
                _TOO_LARGE,
                f'at most {MAX_BODY_BYTES} bytes are accepted',
            )

    @cherrypy.expose
    @cherrypy.tools.allow(methods=[_GET])
    def status(self) -> Any:
        """Return the state of the fleet as this node knows it."""
        return _CONVERTER.unstructure(self._view.status())

    @cherrypy.expose
    @cherrypy.tools.allow(methods=[_GET])
    def report(self) -> Any:
        """Return the error budgets of the whole fleet."""
        return _CONVERTER.unstructure(self._view.report())

    @cherrypy.expose
    @cherrypy.tools.allow(methods=[_GET])
    def explain(self, subject: str = '') -> Any:
        """Explain the treatment of a server, a request or the fleet."""
        return _CONVERTER.unstructure(self._view.explain(subject))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=[_GET])
    def configuration(self) -> Any:
        """Return the configuration in force."""
        return _CONVERTER.unstructure(self._view.configuration())

    @cherrypy.expose
    @cherrypy.tools.allow(methods=[_GET])
    def confirmation(self, version: str) -> Any:
        """Return the nodes that have a version in force."""
        try:
            number = parse_count(version)
        except ValueError as error:
            raise _make_bad_request('version', 'a whole number') from error
        return _CONVERTER.unstructure(self._view.confirm(number))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=[_POST])
    def plan(self) -> Any:
        """Compare a declaration with the one in force."""
        text = _read_body('text', str)
        return _CONVERTER.unstructure(self._operations.plan(text))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=[_POST])
    def apply(self) -> Any:
        """Accept a declaration as the next configuration."""
        text = _read_body('text', str)
        expected = _read_body('expected_version', int)
        apply_id = _read_body('apply_id', str)
        author = _read_operator()
        return self._change(
            lambda: self._operations.apply(text, expected, apply_id, author),
            action='apply',
            operator=author,
            apply_id=apply_id,
        )

    @cherrypy.expose
    @cherrypy.tools.allow(methods=[_GET, _POST])
    def stop(self, target: str = '') -> Any:
        """Start a planned stop, or return the progress of a running one."""
        if cherrypy.request.method == _GET:
            progress = self._operations.get_stop_progress(target)
            return _CONVERTER.unstructure(progress)
        stop_target = _read_body('target', str)
        author = _read_operator()
        return self._change(
            lambda: self._operations.stop(stop_target, author),
            action='stop',
            operator=author,
            target=stop_target,
        )

    def _change(self, call: Callable[[], Any], **fields: str) -> Any:
        try:
            outcome = call()
        except GodwitknotError as error:
            reason = type(error).__name__
            log_event('operator change failed', reason=reason, **fields)
            raise
        log_event('operator change', **fields)
        self._metrics.count('operator.changes')
        return _CONVERTER.unstructure(outcome)


def make_application(
    view: FleetView,
    operations: Operations,
    token: str,
    metrics: Metrics,
) -> cherrypy.Application:
    """Build the WSGI application of the operator port.

    :param token: bearer token of the operators.
    """
    api = OperatorApi(view, operations, token, metrics)
    application = cherrypy.Application(api, '')
    application.merge(
        {
            '/': {
                'hooks.on_start_resource': api.authorize,
                'tools.json_in.on': True,
                'tools.json_out.on': True,
                'request.error_response': _send_error,
                'request.show_tracebacks': False,
                'error_page.default': _format_http_error,
            },
        }
    )
    # The node's log records changes of state, not single requests.
    application.log.access_log.disabled = True
    application.log.error_log.disabled = True
    return application


def _read_body(name: str, kind: type) -> Any:
    body = cherrypy.request.json
    field = body.get(name) if isinstance(body, dict) else None
    # bool is a subclass of int, but not accepted as a number.
    if not isinstance(field, kind) or isinstance(field, bool):
        raise _make_bad_request(name, f'a JSON value of type {kind.__name__}')
    return field


def _read_operator() -> str:
    name = cherrypy.request.headers.get(OPERATOR_HEADER, '')
    if not _OPERATOR_PATTERN.match(name):
        message = f'the header {OPERATOR_HEADER} must name who makes the change'
        raise ApiError(ApiCode.OPERATOR_REQUIRED, _BAD_REQUEST, message)
    return name


def _is_allowed_length(text: str) -> bool:
    try:
        return parse_count(text) <= MAX_BODY_BYTES
    except ValueError:
        return False


def _make_bad_request(name: str, expected: str) -> ApiError:
    message = f'{name}: expected {expected}'
    return ApiError(ApiCode.BAD_REQUEST, _BAD_REQUEST, message)


def _send_error() -> None:
    """Respond to an exception of a handler with a JSON error."""
    error = sys.exc_info()[1]
    status, body = _describe_error(error)
    response = cherrypy.serving.response
    response.status = status
    response.headers.pop('Content-Length', None)
    response.headers['Content-Type'] = _JSON_TYPE
    response.body = json.dumps({'error': body}).encode()


def _describe_error(
    error: BaseException | None,
) -> tuple[int, dict[str, Any]]:
    if isinstance(error, ApiError):
        return error.status, {'code': error.code, 'message': str(error)}
    for kind, code, status in _ERROR_RESPONSES:
        if isinstance(error, kind):
            return status, {
                'code': code,
                'message': str(error),
                **_describe_details(error),
            }
    log_event('operator request failed', error=repr(error))
    message = 'the node failed to answer; its log has the reason'
    return _INTERNAL, {'code': ApiCode.INTERNAL, 'message': message}


def _describe_details(error: GodwitknotError) -> dict[str, Any]:
    if isinstance(error, ConfigurationConflictError):
        return {
            'message': error.message,
            'version': error.version,
            'changes': list(error.changes),
        }
    if isinstance(error, InvalidFileError):
        problems = _CONVERTER.unstructure(error.problems)
        return {'problems': problems}
    return {}


def _format_http_error(status: str, message: str, **_others: str) -> str:
    """Format an error that cherrypy itself raised as JSON."""
    headers = cherrypy.serving.response.headers
    headers['Content-Type'] = _JSON_TYPE
    not_found = status.startswith('404')
    code = ApiCode.NOT_FOUND if not_found else ApiCode.BAD_REQUEST
    return json.dumps({'error': {'code': code, 'message': message}})
