"""Injected faults and planned operations of a fault soak.

The names of the unplanned events are the kinds of the recorded spans.
"""

import random
import signal
import threading
import time

from bench.faultsoak.fleet import SoakFleet, SoakMachine
from standins.meshserver import ServerFaults

_MAX_FAULT_SECONDS = 2.0
# Servers keep serving after their departure was acknowledged, for slightly
# longer than the time limit on draining.
_DEPARTED_SERVING_SECONDS = 3.5
_MAX_SKEW_SECONDS = 3.0
_MAX_GAP_SECONDS = 0.5
_MAX_COPY_AGE_SECONDS = 6.0


def kill_node(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Kill a node and restart it."""
    fleet.restart_node(machine, signal.SIGKILL)


def stop_node(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Stop a node as planned and restart it."""
    fleet.restart_node(machine, signal.SIGTERM)


def stop_together(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Stop and restart all nodes but one as planned, at the same time.

    Callers are left with a single node.
    """
    others = [each for each in fleet.machines if each is not machine]
    threads = [
        threading.Thread(
            target=fleet.restart_node, args=(other, signal.SIGTERM)
        )
        for other in others
    ]
    for thread in threads:
        thread.start()
    for restarting in threads:
        restarting.join()


def reload_node(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Have a node reload its settings."""
    with machine.lock:
        machine.reload()


def pause_node(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Suspend the process of a node."""
    machine.send_signal(signal.SIGSTOP)
    _sleep_random(rng)
    machine.send_signal(signal.SIGCONT)


def cut_one_way(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Drop the traffic in one direction of a path."""
    path = rng.choice(machine.paths)
    path.cut_forward = rng.choice((True, False))
    path.cut_backward = not path.cut_forward
    _sleep_random(rng)
    path.cut_forward = False
    path.cut_backward = False


def cut_both_ways(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Drop the traffic in both directions of a path."""
    path = rng.choice(machine.paths)
    path.cut_forward = True
    path.cut_backward = True
    _sleep_random(rng)
    path.cut_forward = False
    path.cut_backward = False


def silence(fleet: SoakFleet, machine: SoakMachine, rng: random.Random) -> None:
    """Blackhole the open connections of a path; new ones work."""
    rng.choice(machine.paths).blackhole_open_connections()


def reset(fleet: SoakFleet, machine: SoakMachine, rng: random.Random) -> None:
    """Reset the open connections of a path."""
    rng.choice(machine.paths).reset_open_connections()


def hold_up(fleet: SoakFleet, machine: SoakMachine, rng: random.Random) -> None:
    """Delay the traffic of a path."""
    path = rng.choice(machine.paths)
    path.delay = rng.uniform(0.05, 0.8)
    _sleep_random(rng)
    path.delay = 0


def narrow_link(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Limit the bandwidth of a path, which its connections share."""
    path = rng.choice(machine.paths)
    path.bytes_per_second = rng.uniform(3000, 30_000)
    _sleep_random(rng)
    path.bytes_per_second = 0


def store_down(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Make the store refuse all calls."""
    fleet.store.faults.down = True
    _sleep_random(rng)
    fleet.store.faults.down = False


def store_slow(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Make the store respond slowly."""
    fleet.store.faults.slow = rng.uniform(0.1, 2.5)
    _sleep_random(rng)
    fleet.store.faults.slow = 0


def store_loses(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Make the store apply writes and lose their responses."""
    fleet.store.faults.lose_answers = rng.uniform(0.2, 0.9)
    _sleep_random(rng)
    fleet.store.faults.lose_answers = 0


def store_forgets(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Make the store discard its change history."""
    fleet.store.drop_history()


def store_restored(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Restore the store from copies, up to three times in a row.

    The store refuses calls for a moment before each restore, and the operator
    writes again what was lost some time after the last one.
    """
    _sleep_random(rng)
    for _ in range(rng.randint(1, 3)):
        fleet.store.faults.down = rng.choice((True, False))
        time.sleep(rng.uniform(0, _MAX_GAP_SECONDS))
        fleet.store.restore(rng.uniform(0.2, _MAX_COPY_AGE_SECONDS))
        fleet.store.faults.down = False
        time.sleep(rng.uniform(0, _MAX_GAP_SECONDS))
    fleet.rewrite_lost_configurations()


def server_hangs(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Make a server hang without a response."""
    _inject_server_faults(machine, rng, ServerFaults(hang=True))


def server_cuts(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Make a server truncate its responses."""
    _inject_server_faults(machine, rng, ServerFaults(cut=True))


def server_fails(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Make a server respond with errors."""
    _inject_server_faults(machine, rng, ServerFaults(fail=True))


def server_answers_twice(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Make a server send a response to another request first."""
    _inject_server_faults(machine, rng, ServerFaults(stale=True))


def server_replays_refusals(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Make a server refuse requests and send its refusals again later."""
    machine.server.faults.replay = rng.choice(('with-id', 'without-id'))
    _sleep_random(rng)
    machine.server.faults.replay = ''


def server_cuts_heads(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Make a server close connections within the heads of its responses."""
    machine.server.faults.cut_head = True
    _sleep_random(rng)
    machine.server.faults.cut_head = False


def _inject_server_faults(
    machine: SoakMachine,
    rng: random.Random,
    faults: ServerFaults,
) -> None:
    machine.server.faults = faults
    _sleep_random(rng)
    machine.server.faults = ServerFaults()


def change_configuration(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Change the configuration, up to three times in a row."""
    for _ in range(rng.randint(1, 3)):
        fleet.change_configuration()
        time.sleep(rng.uniform(0, 0.2))


def replace_server(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Take a server out of the fleet and start another in its place."""
    fleet.drain_server(machine, abrupt=rng.choice((True, False)))
    time.sleep(_DEPARTED_SERVING_SECONDS)
    skew = rng.uniform(-_MAX_SKEW_SECONDS, _MAX_SKEW_SECONDS)
    fleet.replace_server(machine, skew)


def _sleep_random(rng: random.Random) -> None:
    time.sleep(rng.uniform(0.1, _MAX_FAULT_SECONDS))


UNPLANNED = (
    kill_node,
    pause_node,
    cut_one_way,
    cut_both_ways,
    silence,
    reset,
    hold_up,
    store_down,
    store_slow,
    store_loses,
    store_forgets,
    server_hangs,
    server_cuts,
    server_fails,
    server_answers_twice,
)
# These run in separate lanes, so that the random draws of the other lanes stay
# the same for each seed.
LINKS = (narrow_link,)
STOPS = (stop_together,)
RESTORES = (store_restored,)
RESPONSE_FAULTS = (server_replays_refusals, server_cuts_heads)
PLANNED = (
    stop_node,
    reload_node,
    change_configuration,
    replace_server,
)
