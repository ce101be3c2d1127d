"""Decision to use another region before the own one makes requests wait long."""

from collections.abc import Collection

from godwitknot.clock import Clock
from godwitknot.overload.slotforecast import SlotForecast

# Share of busy slots in the own region, with the requests that wait, from which
# others are asked. At 1.0 more requests were served in time (0.994 and not 0.992
# at load 0.7), but far more crossed regions (0.139 and not 0.091).
_OWN_BUSY_SHARE = 1.2
# A region with more busy slots soon needs the others itself.
_OTHER_BUSY_SHARE = 0.75
# The forecast for another region looks this far ahead, about the time of one
# run, so that a rising wave does not find it full of requests from elsewhere.
_AHEAD_SECONDS = 1.0
# While servers of the own region hang, runs that hang fill its slots, and asking
# another region gained nothing (0.782 in time, 0.784 without). Servers that hang
# more probably than this get no work that is sent for the last time.
_MAX_DOUBT = 0.17
_HANG_SECONDS = 5.0
_MAX_SERVICES = 64


class RegionOverflow:
    """Compares the forecasts of the regions that serve a service."""

    def __init__(self, clock: Clock, region: str) -> None:
        """Create a decision without reports, which keeps requests here.

        :param region: of this node.
        """
        self._forecast = SlotForecast(clock)
        self._clock = clock
        self._region = region
        # When a server of the own region was last doubtful, by service.
        self._doubted: dict[str, float] = {}

    def record_load(
        self, service: str, region: str, busy_share: float, doubt: float = 0
    ) -> None:
        """Add the load that a server of a region has reported.

        :param busy_share: requests that run or wait, divided by the slots.
        :param doubt: probability that the server hangs.
        """
        self._forecast.record(service, region, busy_share)
        if region != self._region or doubt <= _MAX_DOUBT:
            return
        if service in self._doubted or len(self._doubted) < _MAX_SERVICES:
            self._doubted[service] = self._clock.now()

    def find_region_with_room(
        self, service: str, regions: Collection[str]
    ) -> str | None:
        """Return the region that is to take a request ahead of need.

        :param regions: with servers of the service.
        :returns: ``None`` if the request is to stay in its own region first.
        """
        own = self._forecast.expect_busy_share(service, self._region)
        if own < _OWN_BUSY_SHARE or self._has_hangs(service):
            return None
        shares = {
            region: self._forecast.expect_busy_share(
                service, region, _AHEAD_SECONDS
            )
            for region in regions
            if region != self._region
        }
        best = min(shares, key=shares.__getitem__, default=None)
        if best is None or shares[best] >= _OTHER_BUSY_SHARE:
            return None
        return best

    def _has_hangs(self, service: str) -> bool:
        doubted = self._doubted.get(service)
        if doubted is None:
            return False
        return self._clock.now() - doubted < _HANG_SECONDS
