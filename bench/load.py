"""A load of requests at a steady rate, with counts of how they ended."""

import collections
import random
import threading
import time

import attrs
import urllib3

from bench.fleet import Fleet

_TIMEOUT_SECONDS = 15.0
_SERVER_ERROR = 500


@attrs.frozen
class Stream:
    """Requests of one kind.

    :param paths: drawn at random for each request.
    :param rate: requests a second.
    """

    name: str
    method: str
    paths: tuple[str, ...]
    rate: float
    body: bytes = b''


class Load:
    """Sends streams of requests to random nodes until it is stopped.

    Each stream has a thread that starts one more thread for each request, so
    that slow answers do not slow the stream down.
    """

    def __init__(self, fleet: Fleet, streams: tuple[Stream, ...], seed: int):
        """Prepare.

        :param seed: of the random numbers that draw nodes and paths.
        """
        self._fleet = fleet
        self._streams = streams
        self._seed = seed
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self._lock = threading.Lock()
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.seconds: dict[str, list[float]] = collections.defaultdict(list)

    def start(self) -> None:
        """Start to send."""
        for stream in self._streams:
            thread = threading.Thread(
                target=self._run, args=(stream,), daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stop to send and wait for the last answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, stream: Stream) -> None:
        source = random.Random(f'{stream.name}/{self._seed}')
        nodes = sorted(self._fleet.nodes)
        sent = []
        due = time.monotonic()
        while not self._stopped.wait(max(0, due - time.monotonic())):
            due += source.expovariate(stream.rate)
            thread = threading.Thread(
                target=self._send,
                args=(
                    stream,
                    source.choice(nodes),
                    source.choice(stream.paths),
                ),
                daemon=True,
            )
            thread.start()
            sent.append(thread)
        for thread in sent:
            thread.join(_TIMEOUT_SECONDS)

    def _send(self, stream: Stream, node_id: str, path: str) -> None:
        fields = {}
        started = time.monotonic()
        try:
            if stream.method == 'POST':
                fields['Idempotency-Key'] = f'{stream.name}-{time.time_ns()}'
            answer = self._fleet.request(
                node_id,
                stream.method,
                path,
                body=stream.body,
                headers=fields,
                timeout=_TIMEOUT_SECONDS,
            )
            end = 'good' if answer.status < _SERVER_ERROR else 'refused'
        except urllib3.exceptions.HTTPError:
            end = 'broken'
        with self._lock:
            self.counts[stream.name, end] += 1
            self.seconds[stream.name].append(time.monotonic() - started)
