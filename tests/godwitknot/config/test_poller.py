import pytest
from fake_node import TEXT, FakeFleet

from godwitknot.config.poller import ConfigurationPoller
from godwitknot.metrics import Metrics


def test_poller_survives_an_outage_and_a_corrupt_text(caplog):
    """Guards against a node that stops polling after a failure."""
    caplog.set_level('INFO', 'absl')
    fleet = FakeFleet()
    behind = fleet.make_configuration_manager()
    metrics = Metrics()
    poller = ConfigurationPoller(behind, 10, metrics)
    fleet.apply(TEXT, 0, 'a', 'mies')
    name, content = fleet.objects.objects.popitem()
    fleet.objects.objects[name] = content[:9]
    poller.poll()
    assert poller.store_up
    fleet.tables.down = True
    poller.poll()
    poller.poll()
    assert not poller.store_up
    assert behind.version == 0
    fleet.tables.down = False
    fleet.objects.objects[name] = content
    poller.poll()
    assert behind.version == 1
    assert metrics.snapshot()['configuration.poll-failed'] == 3
    results = [
        record.fields['result']
        for record in caplog.records
        if record.getMessage() == 'configuration poll'
    ]
    assert results == ['CorruptObjectError', 'StoreDownError', 'up']


def test_polls_are_spread():
    """Guards against 420 nodes that read the store at the same moment."""
    drawn = []

    def draw(low, high):
        drawn.append((low, high))
        return low

    poller = ConfigurationPoller(None, 10, Metrics(), draw)
    assert poller.draw_delay() == pytest.approx(7.5)
    assert drawn == [(-2.5, 2.5)]
