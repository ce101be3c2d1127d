"""Waiting of a stand-in process for its end."""

import signal
import threading


def watch_signals() -> threading.Event:
    """Give an event that is set when the process is asked to end."""
    ended = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: ended.set())
    signal.signal(signal.SIGINT, lambda *_: ended.set())
    return ended


def wait_for_signal() -> None:
    """Return when the process is asked to end."""
    watch_signals().wait()
