import subprocess
import sys

from standins.ports import PortLeases

SCRIPT = """
import pathlib, sys
from standins.ports import PortLeases
leases = PortLeases(pathlib.Path(sys.argv[1]))
print(*(address.port for address in leases.lease(40)), flush=True)
sys.stdin.read()
"""


def start_leasing_process(folder):
    return subprocess.Popen(
        [sys.executable, '-c', SCRIPT, str(folder)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def test_two_processes_never_lease_the_same_port(tmp_path, monkeypatch):
    """Guards against concurrent test runs that use each other's ports."""
    # The search for ports starts at one derived from the process id.
    monkeypatch.setattr('os.getpid', lambda: 1)
    first = PortLeases(tmp_path)
    second = PortLeases(tmp_path)
    ports = [*first.lease(40), *second.lease(40)]
    assert len(set(ports)) == 80


def test_ports_are_leased_until_the_process_ends(tmp_path, monkeypatch):
    """Guards against a lease that ends before its process does."""
    process = start_leasing_process(tmp_path)
    leased = process.stdout.readline().split()
    monkeypatch.setattr('os.getpid', lambda: process.pid)
    while_leased = [
        str(address.port) for address in PortLeases(tmp_path).lease(40)
    ]
    process.stdin.close()
    process.wait(10)
    after_exit = [
        str(address.port) for address in PortLeases(tmp_path).lease(40)
    ]
    assert set(leased).isdisjoint(while_leased)
    assert set(leased) & set(after_exit)
