"""Signals that end a stand-in process."""

import signal
import threading


def watch_signals() -> threading.Event:
    """Return an event that SIGTERM and SIGINT set."""
    stop_requested = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop_requested.set())
    signal.signal(signal.SIGINT, lambda *_: stop_requested.set())
    return stop_requested


def wait_for_signal() -> None:
    """Block until the process receives SIGTERM or SIGINT."""
    watch_signals().wait()
