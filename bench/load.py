"""Generates requests at a constant rate and counts their results."""

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
    """A series of similar requests.

    :param paths: one is drawn at random for each request.
    :param rate: mean requests per second.
    """

    name: str
    method: str
    paths: tuple[str, ...]
    rate: float
    body: bytes = b''


class Load:
    """Sends streams of requests to random nodes until it is stopped.

    Each stream has a thread that starts one more thread for each request, so
    that slow responses do not reduce the rate.
    """

    def __init__(self, fleet: Fleet, streams: tuple[Stream, ...], seed: int):
        """Set up the load; nothing is sent yet.

        :param seed: of the random choice of nodes and paths.
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
        """Start sending."""
        for stream in self._streams:
            thread = threading.Thread(
                target=self._run, args=(stream,), daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stop sending and wait for outstanding responses."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, stream: Stream) -> None:
        rng = random.Random(f'{stream.name}/{self._seed}')
        nodes = sorted(self._fleet.nodes)
        request_threads = []
        due = time.monotonic()
        while not self._stopped.wait(max(0, due - time.monotonic())):
            due += rng.expovariate(stream.rate)
            thread = threading.Thread(
                target=self._send,
                args=(
                    stream,
                    rng.choice(nodes),
                    rng.choice(stream.paths),
                ),
                daemon=True,
            )
            thread.start()
            request_threads.append(thread)
        for thread in request_threads:
            thread.join(_TIMEOUT_SECONDS)

    def _send(self, stream: Stream, node_id: str, path: str) -> None:
        request_headers = {}
        started = time.monotonic()
        try:
            if stream.method == 'POST':
                request_headers['Idempotency-Key'] = (
                    f'{stream.name}-{time.time_ns()}'
                )
            response = self._fleet.request(
                node_id,
                stream.method,
                path,
                body=stream.body,
                headers=request_headers,
                timeout=_TIMEOUT_SECONDS,
            )
            result = 'good' if response.status < _SERVER_ERROR else 'refused'
        except urllib3.exceptions.HTTPError:
            result = 'broken'
        with self._lock:
            self.counts[stream.name, result] += 1
            self.seconds[stream.name].append(time.monotonic() - started)
