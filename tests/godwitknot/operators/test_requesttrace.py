"""Tests the trace of a request that is read from the logs of all nodes."""

import itertools
import json

import pytest

from godwitknot.commands import main
from godwitknot.errors import MissingRequestError, UnknownRequestError
from godwitknot.operators.requesttrace import parse_line, trace_request

REQUEST = '665c79d5f4e4380c'


def format_entry(time, node, event, **fields):
    return json.dumps({'time': time, 'node': node, 'event': event, **fields})


def repeat_line(times):
    line = format_entry(1, 'd-4', 'server state', state='up')
    return itertools.repeat(line, times)


@pytest.fixture
def logs():
    return [
        format_entry(9, 'b-3', 'server ejected', zone='z1', reason='hung'),
        format_entry(
            2, 'b-3', 'server ejected', zone='z1', reason='status 500'
        ),
        format_entry(9.5, 'c-1', 'server ejected', zone='z1', reason='hung'),
        format_entry(
            12.4,
            'b-5',
            'attempt ended',
            request=REQUEST,
            peer='b-3',
            code='deadline-passed',
        ),
        format_entry(10, 'b-5', 'attempt started', request=REQUEST, peer='b-3'),
        format_entry(
            10.1, 'b-5', 'attempt started', request='other', peer='b-3'
        ),
        format_entry(11, 'b-3', 'run failed', request='other', reason='hung'),
        format_entry(11, 'b-3', 'server crashed', peer='d-4'),
        'a stack trace',
        '{"time": 12, "node": "b-3", "ev',
        '[]',
    ]


def test_lines_are_told_in_order_with_what_ailed_the_server(logs):
    """Guards against a trace without the server events behind a failure."""
    trace = trace_request(logs, REQUEST)
    assert [line.split(':')[0].split('  ')[-2:] for line in trace.lines] == [
        ['b-3', 'server ejected'],
        ['b-5', 'attempt started'],
        ['b-3', 'run failed'],
        ['b-5', 'attempt ended'],
    ]
    assert [line[0] for line in trace.lines] == ['|', ' ', '|', ' ']
    assert 'code=deadline-passed' in trace.lines[-1]
    assert trace.lines[-1].startswith('     +2.400 s')


def test_text_that_is_no_log_line_is_counted(logs):
    """Guards against lines that are skipped without being counted."""
    trace = trace_request(logs, REQUEST)
    assert trace.facts == {'lines that are no log lines': '3'}


def test_lines_on_servers_beyond_the_limit_are_counted(logs):
    """Guards against dropped lines that the trace does not mention."""
    trace = trace_request(
        [*logs[:3], *repeat_line(200_000), *logs[3:5]], REQUEST
    )
    assert not any('ejected' in line for line in trace.lines)
    assert trace.facts == {'lines on servers beyond the limit, left out': '3'}


def test_no_line_is_left_out_at_the_limit(logs):
    trace = trace_request(
        [*logs[:3], *repeat_line(199_997), *logs[3:5]], REQUEST
    )
    assert 'server ejected' in trace.lines[0]
    assert not trace.facts


def test_empty_id_is_refused(logs):
    """Guards against a trace of all lines that are about no request."""
    with pytest.raises(MissingRequestError):
        trace_request(logs, '')


def test_command_refuses_logs_without_an_id(logs, tmp_path, capsys):
    path = tmp_path / 'a.log'
    path.write_text('\n'.join(logs))
    with pytest.raises(SystemExit) as ended:
        main(['explain', '--log', str(path)])
    assert ended.value.code == 2
    captured = capsys.readouterr()
    assert 'needs the id of a request' in captured.err
    assert not captured.out


def test_unknown_request_is_an_error(logs):
    with pytest.raises(UnknownRequestError):
        trace_request(logs, 'nothing')


def test_command_reads_files_and_asks_no_node(logs, tmp_path, capsys):
    first, second = tmp_path / 'a.log', tmp_path / 'b.log'
    first.write_text('\n'.join(logs[:5]))
    second.write_text('\n'.join(logs[5:]))
    arguments = ['explain', REQUEST, '--log', str(first), '--log', str(second)]
    with pytest.raises(SystemExit) as ended:
        main(arguments)
    assert not ended.value.code
    assert len(capsys.readouterr().out.splitlines()) == 6


def test_log_that_cannot_be_read_is_named(tmp_path, capsys):
    with pytest.raises(SystemExit) as ended:
        main(['explain', REQUEST, '--log', str(tmp_path / 'none.log')])
    assert ended.value.code == 1
    assert 'none.log' in capsys.readouterr().err


@pytest.mark.parametrize(
    'text',
    [
        '[' * 100000,
        *(
            f'{{"time": {time}, "node": "a", "event": "b"}}'
            for time in ('1e999', 'NaN', '9' * 400, '9' * 5000, 'true')
        ),
    ],
    ids=lambda text: text[:20],
)
def test_odd_line_is_no_log_line(text):
    """Guards against a line of another program that ends the command."""
    line = parse_line(text)
    assert line is None or line.time == 1
