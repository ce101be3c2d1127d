"""Reload of the platform's settings while a node runs."""

import asyncio
from collections.abc import Callable

from godwitknot.errors import PlatformFormatError
from godwitknot.mesh.events import EventLog
from godwitknot.mesh.model import Placement

_POLL_SECONDS = 2.0


class SettingsReload:
    """Applies changed settings; unreadable ones leave the old in force."""

    def __init__(
        self,
        placement: Placement,
        read_placement: Callable[[], Placement],
        log: EventLog,
    ) -> None:
        """Create a reload of the settings in force.

        :param placement: settings in force, which are changed in place.
        :param read_placement: reads the settings again.
        """
        self._placement = placement
        self._read_placement = read_placement
        self._log = log
        self._last_problem = ''

    def reload(self) -> None:
        """Read the settings again and apply what may change."""
        reloaded = self._read()
        if reloaded is not None:
            self._apply(reloaded)

    async def poll(self) -> None:
        """Reload settings that changed without a signal."""
        while True:
            await asyncio.sleep(_POLL_SECONDS)
            reloaded = self._read()
            if reloaded and reloaded.service != self._placement.service:
                self._apply(reloaded)

    def _read(self) -> Placement | None:
        """Return the current settings, ``None`` if they are unreadable.

        A problem is logged once, however often the settings are read.
        """
        try:
            reloaded = self._read_placement()
        except (PlatformFormatError, OSError) as error:
            problem = str(error)
            if problem != self._last_problem:
                self._log.write('settings unreadable', detail=problem)
            self._last_problem = problem
            return None
        self._last_problem = ''
        return reloaded

    def _apply(self, reloaded: Placement) -> None:
        changed = reloaded != self._placement
        self._log.write('settings reloaded', changed=changed)
        self._placement.service = reloaded.service
        self._placement.bounds = reloaded.bounds
