"""Settings that cannot be read leave the old ones in force."""

import asyncio

import attrs
import pytest

from godwitknot.errors import PlatformFormatError
from godwitknot.mesh.settingsreload import SettingsReload


class Source:
    """Settings to read, or the error to raise instead."""

    def __init__(self, placement):
        self.placement = placement
        self.error = None
        self.reads = 0

    def read(self):
        self.reads += 1
        if self.error is not None:
            raise self.error
        return self.placement


@pytest.fixture
def source(placement):
    return Source(attrs.evolve(placement, service='documents'))


@pytest.fixture
def reload(source, placement, log, monkeypatch):
    monkeypatch.setattr('godwitknot.mesh.settingsreload._POLL_SECONDS', 0.001)
    return SettingsReload(placement, source.read, log)


async def poll_until(reload, condition):
    task = asyncio.ensure_future(reload.poll())
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.001)
    assert not task.done()
    task.cancel()


def test_changed_settings_are_applied(reload, placement, logged):
    reload.reload()
    assert placement.service == 'documents'
    assert '"changed":true' in logged()


@pytest.mark.parametrize('error', [PlatformFormatError('odd'), OSError('odd')])
def test_unreadable_settings_are_logged_once(
    reload, source, placement, logged, error
):
    """Guards against one log line for each read of a damaged file."""
    source.error = error
    asyncio.run(poll_until(reload, lambda: source.reads > 5))
    reload.reload()
    assert placement.service == 'booking'
    assert logged().count('settings unreadable') == 1
    source.error = None
    asyncio.run(poll_until(reload, lambda: placement.service == 'documents'))
    source.error = error
    reload.reload()
    assert logged().count('settings unreadable') == 1
