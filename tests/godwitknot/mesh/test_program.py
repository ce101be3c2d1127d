import subprocess
import sys

from godwitknot.mesh.model import NodeSettings
from godwitknot.mesh.program import read_settings
from godwitknot.units import Address

# Replaces the program's slow imports by a module that signals its process.
SCRIPT = """
import os, runpy, signal, sys, types
program = types.ModuleType('godwitknot.mesh.program')
program.main = lambda: os.kill(os.getpid(), signal.SIGHUP) or print('runs on')
sys.modules[program.__name__] = program
runpy.run_module('godwitknot.mesh', run_name='__main__')
"""


def test_settings_have_defaults():
    settings = read_settings('[metrics]\nport = 7661\n')
    assert settings == NodeSettings(7661, 4 * 1024 * 1024, None)


def test_larger_answers_can_be_allowed():
    """Guards against large downloads that no setting can allow."""
    settings = read_settings(
        '[metrics]\nport = 7661\n'
        '[answers]\nlargest-bytes = 9000000\n'
        '[relay]\nlisten = 10.0.0.1:7660\n'
    )
    assert settings.max_response_bytes == 9000000
    assert settings.relay_listener == Address('10.0.0.1', 7660)


def test_reload_while_the_program_loads_does_not_end_it():
    """Guards against a node that SIGHUP terminates during its imports."""
    done = subprocess.run(
        [sys.executable, '-c', SCRIPT], capture_output=True, text=True
    )
    assert done.returncode == 0
    assert done.stdout == 'runs on\n'
