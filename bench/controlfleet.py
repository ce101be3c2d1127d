"""Starts and controls the processes of ``bench.fleetnode``."""

import contextlib
import json
import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor

_BASE_PORT = 21000
_WAIT_SECONDS = 60
_INCARNATION = 1_764_800_000_000 * 65536


class Process:
    """A control-plane process and the pipes to it."""

    def __init__(self, index: int, incarnation: int = _INCARNATION) -> None:
        """Start the process."""
        self.index = index
        self._process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'bench.fleetnode',
                str(index),
                str(_BASE_PORT),
                str(incarnation),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )

    def send_command(self, *words: object) -> object:
        """Send a command and return the reply."""
        command = ' '.join(map(str, words))
        self._process.stdin.write(f'{command}\n')
        self._process.stdin.flush()
        return json.loads(self._process.stdout.readline())

    def kill(self) -> float:
        """Kill the process.

        :returns: time of the kill, monotonic seconds.
        """
        self._process.kill()
        killed_at = time.monotonic()
        self._process.wait()
        return killed_at


class Fleet:
    """Control-plane processes on consecutive ports."""

    def __init__(self, size: int) -> None:
        """Start the processes."""
        self.processes = [Process(index) for index in range(size)]
        self._executor = ThreadPoolExecutor(16)

    def send_to_all(self, *words: object) -> list:
        """Send a command to all processes and return their replies."""
        return list(
            self._executor.map(
                lambda process: process.send_command(*words), self.processes
            )
        )

    def send_to(self, processes: Iterable[Process], *words: object) -> list:
        """Send a command to the given processes and return their replies."""
        return list(
            self._executor.map(
                lambda process: process.send_command(*words), processes
            )
        )

    def poll_until(
        self,
        condition: Callable[[list], bool],
        *words: object,
        timeout: float = _WAIT_SECONDS,
    ) -> tuple[list, bool]:
        """Repeat a command until a condition on all replies holds.

        :param timeout: seconds after which it is not repeated any more.
        :returns: the last replies and whether the condition held.
        """
        deadline = time.monotonic() + timeout
        replies = self.send_to_all(*words)
        while not condition(replies) and time.monotonic() < deadline:
            time.sleep(0.3)
            replies = self.send_to_all(*words)
        return replies, condition(replies)

    def wait_until_converged(self) -> bool:
        """Wait until all directories are equal and list every node.

        :returns: whether they did so in time.
        """
        size = len(self.processes)
        return self.poll_until(
            lambda replies: (
                len({each['hash'] for each in replies}) == 1
                and replies[0]['count'] == size
            ),
            'stats',
        )[1]

    def stop(self) -> None:
        """Kill all processes."""
        for process in self.processes:
            process.kill()
        self._executor.shutdown()


@contextlib.contextmanager
def run_fleet(size: int) -> Iterator[Fleet]:
    """Run a fleet for the duration of a measurement."""
    fleet = Fleet(size)
    try:
        yield fleet
    finally:
        fleet.stop()
