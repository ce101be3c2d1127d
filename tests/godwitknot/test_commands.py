import json
import os
import re

import pytest
from fake_node import TOKEN, FakeFleet, serve

from godwitknot.commands import main
from godwitknot.declarations.census import ServiceCount
from godwitknot.errors import LostAnswerError

TEXT = """[fleet]
owner = hafnarvagn

[service booking]
floor = 75%

[class slot-booking]
service = booking
match =
  POST /bookings
  POST,PUT /bookings/*
success = 99%
latency = 90% within 400ms
never-repeat = yes
weigh = detection

[class slot-lookup]
service = booking
match = GET /slots/*
success = 99%
latency = 95% within 200ms
"""
LOWER_TARGET = ('success = 99%\nlatency = 90%', 'success = 98%\nlatency = 90%')
VARIABLE_PARTS = re.compile(r'127\.0\.0\.1:\d+|[0-9a-f]{64}|[0-9a-f]{32}')


@pytest.fixture
def fleet():
    return FakeFleet()


@pytest.fixture
def shell(fleet, tmp_path, monkeypatch, capsys):
    """Return a function that runs a command and records its transcript."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.setenv('GODWITKNOT_TOKEN', TOKEN)
    monkeypatch.setenv('GODWITKNOT_NAME', 'mies')
    monkeypatch.setattr('godwitknot.operators.completion._POLL_SECONDS', 0)
    monkeypatch.setattr(
        'godwitknot.operators.operatorclient._INITIAL_BACKOFF_SECONDS', 0
    )

    def run(*arguments):
        capsys.readouterr()
        try:
            main(list(arguments))
        except SystemExit as exited:
            code = exited.code or 0
        printed = capsys.readouterr()
        text = VARIABLE_PARTS.sub('<id>', printed.out + printed.err)
        line = f'$ godwitknot {" ".join(arguments)}\n{text}[exit {code}]\n'
        run.transcript += line
        run.codes.append(code)
        return printed.out

    run.transcript = ''
    run.codes = []
    run.path = tmp_path
    with serve(fleet) as port:
        monkeypatch.setenv('GODWITKNOT_OPERATOR', f'127.0.0.1:{port}')
        yield run


def write(shell, name='fleet.ini', text=TEXT):
    (shell.path / name).write_text(text, encoding='utf-8')


def test_first_change(shell, fleet, snapshot):
    """Guards against unintended changes of the output for operators."""
    write(shell)
    for command in ('check', 'plan', 'apply', 'plan', 'apply'):
        shell(command, 'fleet.ini')
    write(shell, text=TEXT.replace(*LOWER_TARGET))
    shell('plan', 'fleet.ini')
    shell('apply', 'fleet.ini', '--wait')
    for command in ('status', 'explain', 'report', 'configuration'):
        shell(command)
    assert shell.codes == [0 for _ in range(11)]
    assert shell.transcript == snapshot


def test_json_can_be_piped(shell, fleet):
    """Guards against other text in the output of ``--json``."""
    write(shell)
    outputs = [
        shell(*command, '--json')
        for command in (
            ('check', 'fleet.ini'),
            ('plan', 'fleet.ini'),
            ('apply', 'fleet.ini'),
            ('apply', 'fleet.ini', '--wait'),
            ('status',),
            ('report',),
            ('explain', 'b7'),
            ('configuration',),
        )
    ]
    parsed = [json.loads(output) for output in outputs]
    assert parsed[2] == {'version': 1}
    assert parsed[7]['change']['author'] == 'mies'


def test_bad_files_and_usage(shell, snapshot):
    """Guards against a ``check`` that reports only some of six errors."""
    invalid = (
        TEXT.replace('floor = 75%', 'floor = most')
        .replace('success = 99%\nlatency = 90%', 'success = 999\nlatency = 90%')
        .replace('90% within 400ms', '400ms')
        .replace('weigh = detection', 'weigh = fast')
        .replace('GET /slots/*', 'slots')
        .replace('never-repeat', 'never-repeats')
    )
    write(shell, 'six.ini', invalid)
    shell('check', 'six.ini')
    problems = json.loads(shell('check', 'six.ini', '--json'))['problems']
    assert len(problems) == 6
    shell('apply', 'six.ini')
    shell('check', 'nothing.ini')
    shell('node', 'six.ini')
    shell('--token', 'x', 'status')
    shell('--operator', 'here', 'status')
    shell('aply', 'six.ini')
    assert shell.codes == [3, 3, 3, 3, 3, 2, 2, 2]
    assert shell.transcript == snapshot


def test_conflict_shows_what_the_other_changed(shell, snapshot):
    """Guards against overwriting another operator's change."""
    write(shell)
    shell('apply', 'fleet.ini')
    shared = shell('configuration')
    for name in ('mine.ini', 'other.ini'):
        write(shell, name, shared)
    write(shell, 'other.ini', shared.replace('200ms', '150ms'))
    write(shell, 'mine.ini', shared.replace(*LOWER_TARGET))
    shell('--name', 'jan', 'apply', 'other.ini')
    shell('apply', 'mine.ini')
    merged = shared.replace('200ms', '150ms').replace(*LOWER_TARGET)
    write(shell, 'mine.ini', merged)
    shell('apply', 'mine.ini', '--expect', '2')
    assert shell.codes == [0, 0, 0, 4, 0]
    assert (shell.path / 'mine.ini').read_text().startswith('# version 3\n')
    assert shell.transcript == snapshot


def test_two_applies_at_once(shell, fleet, monkeypatch):
    """Guards against two concurrent applies that both report success."""
    write(shell)
    shell('apply', 'fleet.ini')
    other = TEXT.replace('200ms', '150ms')
    other_keeper = fleet.make_keeper()
    fleet.tables.before_write = lambda: other_keeper.accept(
        other, 1, 'x', 'jan', fleet
    )
    write(shell, text=TEXT.replace(*LOWER_TARGET))
    shell('apply', 'fleet.ini')
    assert shell.codes == [0, 4]
    assert '95% within 200ms -> 95% within 150ms' in shell.transcript
    write(shell)
    shell('plan', 'fleet.ini')
    assert 'changes to version 2' in shell.transcript


def test_lost_answer_is_repeated_and_accepted_once(shell, fleet):
    """Guards against a retried apply that takes effect twice or fails.

    The first responses are lost after the change was accepted.
    """
    write(shell)
    fleet.failures = [LostAnswerError('lost'), LostAnswerError('lost')]
    shell('apply', 'fleet.ini')
    assert shell.codes == [0]
    assert fleet.tables.rows['configuration/head'].version == 1
    fleet.failures = [LostAnswerError('lost') for _ in range(9)]
    write(shell, text=TEXT.replace(*LOWER_TARGET))
    shell('apply', 'fleet.ini')
    fleet.failures = []
    shell('apply', 'fleet.ini')
    assert shell.codes == [0, 1, 0]
    assert fleet.keeper.version == 2


def test_refusals_and_timeouts(shell, fleet, snapshot):
    """Guards against refusals and timeouts that leave the result unclear."""
    write(shell)
    fleet.counts = {'booking': ServiceCount()}
    shell('plan', 'fleet.ini')
    shell('apply', 'fleet.ini')
    fleet.counts = {}
    fleet.missing = {'n4': 'no answer', 'n3': 'version 0'}
    shell('apply', 'fleet.ini', '--wait', '--timeout', '0')
    shell('stop', 'b9')
    fleet.progress = [('draining', 2, ''), ('draining', 1, ''), ('gone', 0, '')]
    shell('stop', 'n2/b7', '--wait')
    fleet.progress = [('waiting', 2, 'stay promises: 18 of 19')]
    shell('stop', 'n2/b7', '--wait', '--timeout', '-1')
    shell('explain', 'nobody')
    assert shell.codes == [5, 5, 6, 5, 0, 6, 5]
    assert shell.transcript == snapshot


def test_access_file_and_second_node(shell, monkeypatch):
    """Guards against a command that fails because its first node is down."""
    address = os.environ['GODWITKNOT_OPERATOR']
    access = f'[operator]\naddress = 127.0.0.1:1, {address}\ntoken = {TOKEN}\n'
    write(shell, 'access.ini', access)
    write(shell, 'bad.ini', '[operator]\naddress = here\n')
    shell('--operator', '127.0.0.1:1', 'status')
    monkeypatch.delenv('GODWITKNOT_OPERATOR')
    monkeypatch.delenv('GODWITKNOT_TOKEN')
    shell('--access', 'access.ini', 'status')
    shell('--access', 'bad.ini', 'status')
    shell('status')
    assert shell.codes == [1, 0, 3, 2]
