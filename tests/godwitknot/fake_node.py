"""Serves the operator port of a node with an in-memory fleet."""

import contextlib
import threading

from cheroot import wsgi
from fake_platform import FakeObjects, FakeTables

from godwitknot.clock import ManualClock
from godwitknot.config.configuration import ConfigurationKeeper
from godwitknot.declarations.census import Census, ServiceCount
from godwitknot.errors import OperationRefusedError
from godwitknot.keys import FleetKeys
from godwitknot.metrics import Metrics
from godwitknot.operators.budgetreport import make_report
from godwitknot.operators.operations import (
    ConfigurationView,
    Confirmation,
    Explanation,
    FleetStatus,
    FleetView,
    Operations,
    ServerStatus,
    ServiceStatus,
    StopProgress,
)
from godwitknot.operators.operatorapi import make_application
from godwitknot.operators.requestcounts import RequestCounter

TOKEN = 'a-token-of-the-tests'

# Declaration that the tests apply.
TEXT = """
[fleet]
owner = hafnarvagn

[service booking]
floor = 2

[class slot-booking]
service = booking
match = POST /bookings
success = 99%
latency = 90% within 400ms
"""


class FakeFleet(FleetView, Operations, Census):
    """A node of a fleet with preset server counts, progress and failures."""

    def __init__(self):
        self.clock = ManualClock(600000)
        self.tables = FakeTables()
        self.objects = FakeObjects()
        self.keeper = self.make_keeper()
        self.counter = RequestCounter('n1', self.clock)
        self.counts = {}
        self.missing = {}
        self.progress = []
        self.failures = []

    def make_keeper(self):
        keys = FleetKeys('k1', {'k1': b'0' * 16})
        return ConfigurationKeeper(
            self.tables, self.objects, keys, self.clock, Metrics()
        )

    def count(self, service):
        return self.counts.get(service, ServiceCount(5, 5))

    def status(self):
        current = self.keeper.current
        return FleetStatus(
            node_id='n1',
            state='ready',
            version=self.keeper.version,
            author=current.change.author if current else '',
            store=not self.tables.down,
            nodes=4,
            unreachable=('n4',),
            services=(ServiceStatus('booking', 19, 25, 24),),
            servers=(
                ServerStatus('n1', 'b1', 'booking', 'r', 'r-a', 'ready'),
                ServerStatus('n2', 'b7', 'booking', 'r', 'r-b', 'ejected'),
            ),
            warnings=('booking is at its floor; b7 cannot be ejected',),
        )

    def report(self):
        if self.keeper.current is None:
            raise OperationRefusedError('no configuration is in force')
        return make_report(
            self.keeper.current.declaration,
            self.keeper.version,
            self.counter.snapshot(),
            ('n4',),
            self.clock.wall(),
        )

    def explain(self, subject):
        if subject == 'nobody':
            raise OperationRefusedError('nothing is known of nobody')
        lines = ('b7 is ejected: 3.1 times slower than its siblings',)
        return Explanation(subject, lines, {'evidence': '19.2'})

    def configuration(self):
        current = self.keeper.current
        if current is None:
            return ConfigurationView(None, '')
        return ConfigurationView(current.change, current.declaration.text)

    def confirm(self, version):
        return Confirmation(version, ('n1', 'n2'), self.missing)

    def plan(self, text):
        return self.keeper.plan(text, self)

    def apply(self, text, expected_version, apply_id, author):
        change = self.keeper.accept(
            text, expected_version, apply_id, author, self
        )
        if self.failures:
            raise self.failures.pop()
        return change

    def stop(self, target, author):
        return self.get_stop_progress(target)

    def get_stop_progress(self, target):
        if not self.progress:
            raise OperationRefusedError(f'no server or node is named {target}')
        return StopProgress(target, *self.progress.pop(0))


@contextlib.contextmanager
def serve(fleet, metrics=None):
    """Serve a fleet on a free loopback port and yield the port."""
    application = make_application(fleet, fleet, TOKEN, metrics or Metrics())
    server = wsgi.Server(('127.0.0.1', 0), application, numthreads=2)
    server.shutdown_timeout = 1
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield server.bind_addr[1]
    finally:
        server.stop()
        thread.join()
