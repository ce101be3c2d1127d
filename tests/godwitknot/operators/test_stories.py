"""The story of a request is told from the logs of all nodes in order."""

import json

import pytest

from godwitknot.commands import main
from godwitknot.errors import UnknownRequestError
from godwitknot.operators.stories import tell_story

REQUEST = '665c79d5f4e4380c'


def write(time, node, event, **fields):
    return json.dumps({'time': time, 'node': node, 'event': event, **fields})


@pytest.fixture
def logs():
    return [
        write(9, 'b-3', 'server ejected', zone='z1', reason='hung'),
        write(2, 'b-3', 'server ejected', zone='z1', reason='status 500'),
        write(9.5, 'c-1', 'server ejected', zone='z1', reason='hung'),
        write(
            12.4,
            'b-5',
            'attempt ended',
            request=REQUEST,
            peer='b-3',
            code='deadline-passed',
        ),
        write(10, 'b-5', 'attempt started', request=REQUEST, peer='b-3'),
        write(10.1, 'b-5', 'attempt started', request='other', peer='b-3'),
        write(11, 'b-3', 'run failed', request='other', reason='hung'),
        write(11, 'b-3', 'server crashed', peer='d-4'),
        'a stack trace',
        '{"time": 12, "node": "b-3", "ev',
        '[]',
    ]


def test_lines_are_told_in_order_with_what_ailed_the_server(logs):
    """Guards against a cause that only a search of other logs would show."""
    story = tell_story(logs, REQUEST)
    assert [line.split(':')[0].split('  ')[-2:] for line in story.lines] == [
        ['b-3', 'server ejected'],
        ['b-5', 'attempt started'],
        ['b-3', 'run failed'],
        ['b-5', 'attempt ended'],
    ]
    assert [line[0] for line in story.lines] == ['|', ' ', '|', ' ']
    assert 'code=deadline-passed' in story.lines[-1]
    assert story.lines[-1].startswith('     +2.400 s')


def test_text_that_is_no_log_line_is_counted(logs):
    """Nothing is dropped silently."""
    story = tell_story(logs, REQUEST)
    assert story.facts == {'lines that are no log lines': '3'}


def test_unknown_request_is_an_error(logs):
    with pytest.raises(UnknownRequestError):
        tell_story(logs, 'nothing')


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
