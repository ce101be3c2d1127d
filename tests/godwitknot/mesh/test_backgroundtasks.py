"""Endless background work goes on after an unexpected error."""

import asyncio
import random

import pytest

from godwitknot.mesh.backgroundtasks import BackgroundTasks, keep_running
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.telemetry import Telemetry


@pytest.fixture
def runtime(clock, log, monkeypatch):
    monkeypatch.setattr(
        'godwitknot.mesh.backgroundtasks._RESTART_DELAY_SECONDS', 0.001
    )
    return Runtime(clock, log, Telemetry(), random.Random(1))


def test_failed_work_is_started_again_and_logged_once(runtime, logged):
    """Guards against a feed that nobody follows after an error."""
    runs = []

    async def fail():
        runs.append(len(runs))
        raise OverflowError('odd')

    async def scenario():
        task = asyncio.ensure_future(keep_running(fail, runtime))
        async with asyncio.timeout(5):
            while len(runs) < 5:
                await asyncio.sleep(0.001)
        task.cancel()

    asyncio.run(scenario())
    assert logged().count('task failed') == 1
    assert b'unexpected_errors_total 5' in runtime.telemetry.render()


def test_error_of_a_task_is_logged(runtime, logged):
    async def fail():
        raise OverflowError('odd')

    async def scenario():
        BackgroundTasks(runtime).spawn(fail())
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    asyncio.run(scenario())
    assert logged().count('OverflowError: odd') == 1
