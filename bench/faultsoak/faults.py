"""What goes wrong in a fault soak, and what operators do meanwhile."""

import random
import signal
import threading
import time

from bench.faultsoak.fleet import SoakFleet, SoakMachine
from standins.meshserver import ServerFaults

_MOST_FAULT_SECONDS = 2.0
# Servers serve on after their leaving was acknowledged: the bound on
# draining, and a little longer.
_SERVE_ON_SECONDS = 3.5
_MOST_SKEW_SECONDS = 3.0


def kill_node(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Kill a node; it starts anew."""
    fleet.restart_node(machine, signal.SIGKILL)


def stop_node(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Stop a node as planned; it starts anew."""
    fleet.restart_node(machine, signal.SIGTERM)


def stop_together(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Stop all nodes but one as planned; callers have nowhere else to go."""
    others = [each for each in fleet.machines if each is not machine]
    threads = [
        threading.Thread(
            target=fleet.restart_node, args=(other, signal.SIGTERM)
        )
        for other in others
    ]
    for thread in threads:
        thread.start()
    for started in threads:
        started.join()


def reload_node(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Tell a node that its settings changed."""
    with machine.lock:
        machine.reload()


def pause_node(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Freeze a node."""
    machine.send_signal(signal.SIGSTOP)
    _wait(rng)
    machine.send_signal(signal.SIGCONT)


def cut_one_way(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Lose one direction of a path."""
    path = rng.choice(machine.paths)
    path.cut_forward = rng.choice((True, False))
    path.cut_backward = not path.cut_forward
    _wait(rng)
    path.cut_forward = False
    path.cut_backward = False


def cut_both_ways(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Lose both directions of a path."""
    path = rng.choice(machine.paths)
    path.cut_forward = True
    path.cut_backward = True
    _wait(rng)
    path.cut_forward = False
    path.cut_backward = False


def silence(fleet: SoakFleet, machine: SoakMachine, rng: random.Random) -> None:
    """Let the open connections of a path go silent for good."""
    rng.choice(machine.paths).blackhole_open_connections()


def reset(fleet: SoakFleet, machine: SoakMachine, rng: random.Random) -> None:
    """Reset the open connections of a path."""
    rng.choice(machine.paths).reset_open_connections()


def hold_up(fleet: SoakFleet, machine: SoakMachine, rng: random.Random) -> None:
    """Delay what a path carries."""
    path = rng.choice(machine.paths)
    path.delay = rng.uniform(0.05, 0.8)
    _wait(rng)
    path.delay = 0


def store_down(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Let the store refuse all calls."""
    fleet.store.faults.down = True
    _wait(rng)
    fleet.store.faults.down = False


def store_slow(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Let the store answer late."""
    fleet.store.faults.slow = rng.uniform(0.1, 2.5)
    _wait(rng)
    fleet.store.faults.slow = 0


def store_loses(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Let the store apply writes and lose the answers."""
    fleet.store.faults.lose_answers = rng.uniform(0.2, 0.9)
    _wait(rng)
    fleet.store.faults.lose_answers = 0


def store_forgets(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Drop the history of the store."""
    fleet.store.drop_history()


def server_hangs(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Let a server never answer."""
    _break_server(machine, rng, ServerFaults(hang=True))


def server_cuts(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Let a server break its answers off."""
    _break_server(machine, rng, ServerFaults(cut=True))


def server_fails(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Let a server answer with failures."""
    _break_server(machine, rng, ServerFaults(fail=True))


def server_answers_twice(
    fleet: SoakFleet, machine: SoakMachine, rng: random.Random
) -> None:
    """Let a server send an answer to another request first."""
    _break_server(machine, rng, ServerFaults(stale=True))


def _break_server(
    machine: SoakMachine,
    rng: random.Random,
    faults: ServerFaults,
) -> None:
    machine.server.faults = faults
    _wait(rng)
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
    """Let a server leave, and another start in its place."""
    fleet.drain_server(machine, abrupt=rng.choice((True, False)))
    time.sleep(_SERVE_ON_SECONDS)
    skew = rng.uniform(-_MOST_SKEW_SECONDS, _MOST_SKEW_SECONDS)
    fleet.replace_server(machine, skew)


def _wait(rng: random.Random) -> None:
    time.sleep(rng.uniform(0.1, _MOST_FAULT_SECONDS))


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
# In a lane of its own, so that the other lanes draw as before.
STOPS = (stop_together,)
PLANNED = (
    stop_node,
    reload_node,
    change_configuration,
    replace_server,
)
