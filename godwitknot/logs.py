"""Logging set-up and structured events, one line for each state change."""

import json
import logging as stdlib_logging
import sys

from absl import logging

_FIELDS = 'fields'


class JsonFormatter(stdlib_logging.Formatter):
    """Formats a record as one JSON object per line."""

    def format(self, record: stdlib_logging.LogRecord) -> str:
        """Return time, level, event and the event's fields."""
        entry = {
            'time': round(record.created, 3),
            'level': record.levelname,
            'event': record.getMessage(),
            **getattr(record, _FIELDS, {}),
        }
        return json.dumps(entry, sort_keys=True, default=str)


class TextFormatter(stdlib_logging.Formatter):
    """Formats a record as time, level, event and ``key=value`` pairs."""

    def format(self, record: stdlib_logging.LogRecord) -> str:
        """Return one line of text."""
        fields = getattr(record, _FIELDS, {})
        pairs = ' '.join(f'{key}={fields[key]}' for key in sorted(fields))
        timestamp = self.formatTime(record)
        event = record.getMessage()
        return f'{timestamp} {record.levelname} {event} {pairs}'.rstrip()


def configure_logs(style: str) -> None:
    """Send absl logs to standard error.

    :param style: ``text`` or ``json``.
    """
    formatter = JsonFormatter() if style == 'json' else TextFormatter()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(formatter)
    handler.python_handler.stream = sys.stderr
    logging.set_verbosity(logging.INFO)


def log_event(event: str, **fields: object) -> None:
    """Log a state change.

    :param event: what changed, as a short constant phrase.
    :param fields: ids and values; never keys, tokens or bodies.
    """
    logging.get_absl_logger().info(event, extra={_FIELDS: fields})
