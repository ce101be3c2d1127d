"""Deterministic runs of Hypothesis state machines."""

from hypothesis import settings, stateful


def run_machine(machine, examples, steps, **options):
    """Run a state machine with the same steps in each run.

    Examples have no deadline, so that a slow machine fails no test.

    :param machine: class of the state machine.
    :param examples: maximum number of sequences of steps.
    :param steps: maximum number of steps in a sequence.
    :param options: additional Hypothesis settings.
    :raises AssertionError: if a sequence violates an assertion.
    """
    stateful.run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
            **options,
        ),
    )
