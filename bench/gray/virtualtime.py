"""An event loop whose time advances at once to the next timer."""

import asyncio
import selectors

from godwitknot.clock import Clock

_START_SECONDS = 1000.0


class _AdvancingSelector(selectors.SelectSelector):
    """Advances the time instead of waiting; no input ever arrives."""

    def __init__(self) -> None:
        super().__init__()
        self.now = _START_SECONDS

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError('all tasks wait, and no timer is set')
        self.now += max(0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks and timers in order, without waiting for them."""

    def __init__(self) -> None:
        """Create a loop at the start of its time."""
        self._advancing = _AdvancingSelector()
        super().__init__(self._advancing)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._advancing.now


class LoopClock(Clock):
    """The time of the running event loop."""

    def now(self) -> float:
        """Return the time of the loop in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the time of the loop in seconds."""
        return self.now()


def run_virtually(coroutine) -> object:
    """Run a coroutine in a new virtual-time loop and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
