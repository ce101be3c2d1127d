import subprocess
import sys

# Stands for the long import of the program.
SCRIPT = """
import os, runpy, signal, sys, types
program = types.ModuleType('godwitknot.mesh.program')
program.main = lambda: os.kill(os.getpid(), signal.SIGHUP) or print('runs on')
sys.modules[program.__name__] = program
runpy.run_module('godwitknot.mesh', run_name='__main__')
"""


def test_reload_while_the_program_loads_does_not_end_it():
    """Guards against a node that ends by itself when told to reload."""
    done = subprocess.run(
        [sys.executable, '-c', SCRIPT], capture_output=True, text=True
    )
    assert done.returncode == 0
    assert done.stdout == 'runs on\n'
