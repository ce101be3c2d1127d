"""Waiting of a stand-in process for its end."""

import signal
import threading


def wait_for_signal() -> None:
    """Return when the process is asked to end."""
    ended = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: ended.set())
    signal.signal(signal.SIGINT, lambda *_: ended.set())
    ended.wait()
