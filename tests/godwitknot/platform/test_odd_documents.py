"""Documents of another writer raise the project's error and name the field."""

import contextlib
import copy
import json

import pytest
from hypothesis import given, settings, strategies as st

from godwitknot.errors import PlatformFormatError
from godwitknot.mesh.model import Departure
from godwitknot.platform.dialect import PlatformDialect
from test_dialect import CONFIGURATION, HEARTBEAT, HEARTBEAT_TARGET

DEPARTURE_TARGET = '/api/rpc?call=instances.deregister&of=i-1'
DEPTH = 100000
NESTED = f'{"[" * DEPTH}{"]" * DEPTH}'
OPENING = '{"a":'
MARK = 'the odd value'
# JSON texts that fit no field of a configuration or a heartbeat.
ODD_VALUES = {
    'nested list': NESTED,
    'nested object': f'{OPENING * DEPTH}1{"}" * DEPTH}',
    'nested within the limit': '[' * 900 + ']' * 900,
    'infinite': '1e999',
    'minus infinite': '-1e999',
    'constant': 'NaN',
    'digits': '9' * 400,
    'more digits than int reads': '9' * 5000,
    'negative': '-1',
    'flag': 'true',
    'surrogate': r'"\ud800"',
    'other script': '"\u0661\u0662"',
    'line end': r'"a\r\nb"',
    'long text': json.dumps('x' * 60000),
    'list': '[1]',
    'object': '{"a": 1}',
}
ANY_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(exclude_categories=()), max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=5,
)


def list_paths(document, prefix=()):
    """Return the paths of all values in a document."""
    if not isinstance(document, dict | list):
        return [prefix]
    if isinstance(document, dict):
        entries = list(document.items())
    else:
        entries = list(enumerate(document))
    paths = [prefix] if prefix else []
    for key, inner in entries:
        paths.extend(list_paths(inner, (*prefix, key)))
    return paths


def replace(document, path, replacement):
    """Return the JSON text of a document with one value replaced.

    :param replacement: JSON text.
    """
    changed = copy.deepcopy(document)
    holder = changed
    for key in path[:-1]:
        holder = holder[key]
    holder[path[-1]] = MARK
    text = json.dumps(changed).replace(json.dumps(MARK), replacement)
    return text.encode('utf-8', 'surrogatepass')


def read_heartbeat(body):
    dialect = PlatformDialect()
    return dialect.read_announcement('POST', HEARTBEAT_TARGET, body)


def read_configuration(source):
    return PlatformDialect().read_configuration(source)


# Fields of a heartbeat that this node does not read.
UNREAD = {('zone',), ('version',)}
HEARTBEAT_PATHS = [path for path in list_paths(HEARTBEAT) if path not in UNREAD]
# The list of servers allowed by a service is not read.
CONFIGURATION_PATHS = [
    path for path in list_paths(CONFIGURATION) if path[-1] != 'max_connections'
]


@pytest.mark.parametrize('kind', ODD_VALUES)
@pytest.mark.parametrize('path', HEARTBEAT_PATHS, ids='.'.join)
def test_odd_field_of_a_heartbeat_is_refused(path, kind):
    """Guards against a heartbeat that ends its connection or stops gossip."""
    body = replace(HEARTBEAT, path, ODD_VALUES[kind])
    with pytest.raises(PlatformFormatError) as raised:
        read_heartbeat(body)
    assert len(str(raised.value)) < 200


@pytest.mark.parametrize('kind', ODD_VALUES)
@pytest.mark.parametrize(
    'path', CONFIGURATION_PATHS, ids=lambda path: '.'.join(map(str, path))
)
def test_odd_field_of_a_configuration_is_refused(path, kind):
    """Guards against a configuration that ends the task which follows it."""
    source = replace(CONFIGURATION, path, ODD_VALUES[kind])
    with pytest.raises(PlatformFormatError) as raised:
        read_configuration(source)
    assert len(str(raised.value)) < 200


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.sampled_from(HEARTBEAT_PATHS), ANY_JSON)
def test_any_field_of_a_heartbeat_raises_the_project_error(path, odd):
    """Guards against errors that the announcement port does not handle."""
    with contextlib.suppress(PlatformFormatError):
        heartbeat = read_heartbeat(replace(HEARTBEAT, path, json.dumps(odd)))
        assert 1 <= heartbeat.slots < 2**32
        assert 0 <= heartbeat.born < 2**63


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.sampled_from(CONFIGURATION_PATHS), ANY_JSON)
def test_any_field_of_a_configuration_raises_the_project_error(path, odd):
    """Guards against errors that end the task which follows the store."""
    source = replace(CONFIGURATION, path, json.dumps(odd))
    with contextlib.suppress(PlatformFormatError):
        configuration = read_configuration(source)
        assert 0 <= configuration.version < 2**63


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.binary(max_size=50))
def test_any_bytes_raise_the_project_error(body):
    """Guards against bytes that are not JSON or not in its charset."""
    for read in (read_heartbeat, read_configuration):
        with pytest.raises(PlatformFormatError):
            read(body)


@pytest.mark.parametrize(
    ('path', 'odd'),
    [
        (('version',), '"r"'),
        (('version',), '"r-5"'),
        (('version',), '"12"'),
        (('version',), '"r1_0"'),
        (('version',), f'"r{"9" * 400}"'),
        (('routes', 'a', 'attempts'), '0'),
        (('routes', 'a', 'attempts'), '1.5'),
        (('routes', 'a', 'timeout_ms'), '0'),
        (('routes', 'a', 'timeout_ms'), '1e12'),
        (('routes', 'a', 'target_latency_ms'), '1e12'),
        (('routes', 'a', 'priority'), '2147483648'),
        (('routes', 'a', 'prefix'), '"a/"'),
        (('limits', 'idle_timeout_ms'), '1e12'),
        (('limits', 'max_body_bytes'), '0'),
        (('services', 'x', 'health_check'), '"/h h"'),
    ],
)
def test_number_out_of_range_is_named(path, odd):
    """Guards against a configuration that no request could be served with."""
    with pytest.raises(PlatformFormatError, match=path[-1]):
        read_configuration(replace(CONFIGURATION, path, odd))


def test_route_with_weights_of_zero_is_refused():
    """Guards against a route whose requests find no service."""
    split = '[{"service": "x", "weight": 0}]'
    path = ('routes', 'a', 'traffic_split')
    with pytest.raises(PlatformFormatError, match='weight'):
        read_configuration(replace(CONFIGURATION, path, split))


def test_fields_without_a_value_have_their_defaults():
    """Guards against a range check that refuses a valid configuration."""
    source = CONFIGURATION
    for name in ('priority', 'attempts', 'target_latency_ms', 'traffic_split'):
        source = json.loads(replace(source, ('routes', 'b', name), 'null'))
    routes = read_configuration(json.dumps(source).encode()).routes
    route = routes['shop.example'][0]
    assert (route.name, route.attempts, route.priority) == ('b', 1, 0)
    assert route.objective == route.timeout


@pytest.mark.parametrize('server_id', ['%E2%82%AC', 'a%0D%0Ab', 'x' * 201])
def test_odd_id_of_a_server_is_refused(server_id):
    """Guards against an id that no request to the server could carry."""
    for call in ('heartbeat', 'deregister'):
        target = f'/api/rpc?call=instances.{call}&of={server_id}'
        with pytest.raises(PlatformFormatError):
            PlatformDialect().read_announcement(
                'POST', target, json.dumps(HEARTBEAT).encode()
            )


@pytest.mark.parametrize('odd', ODD_VALUES.values(), ids=ODD_VALUES)
def test_departure_holds_whatever_its_body(odd):
    """Guards against requests to a server that said that it leaves."""
    dialect = PlatformDialect()
    for body in (odd, f'{{"born": {odd}}}'):
        departure = dialect.read_announcement(
            'POST', DEPARTURE_TARGET, body.encode()
        )
        assert departure == Departure('i-1', 0)


@pytest.mark.parametrize(
    'text',
    ['nan', 'inf', '-1', '1e999', '9' * 400, '1_000', '\u0661', '', 'soon'],
    ids=ascii,
)
def test_odd_deadline_is_refused(text):
    """Guards against a deadline that compares as false with any time."""
    fields = [('Godwitknot-Deadline-Ms', text)]
    with pytest.raises(PlatformFormatError, match='Godwitknot-Deadline-Ms'):
        PlatformDialect().read_request(fields)


@pytest.mark.parametrize(('text', 'seconds'), [('0', 0), ('1500.5', 1.5005)])
def test_deadline_is_a_decimal_number(text, seconds):
    fields = [('Godwitknot-Deadline-Ms', text)]
    left = PlatformDialect().read_request(fields).seconds_left
    assert left == pytest.approx(seconds)


@pytest.mark.parametrize(
    ('text', 'waiting'),
    [
        ('3,2,8', 2),
        ('3,\u00b2,8', 0),
        (f'3,{"9" * 5000},8', 0),
        ('3,-1,8', 0),
        ('3,2', 0),
        ('', 0),
    ],
    ids=ascii,
)
def test_odd_load_counts_as_not_reported(text, waiting):
    """Guards against a response that is lost with its slot for its load."""
    fields = [('Godwitknot-Server-Load', text)]
    assert PlatformDialect().read_response(fields).waiting == waiting
