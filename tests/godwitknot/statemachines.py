"""Runs of Hypothesis state machines, with the same steps in each run."""

from hypothesis import settings, stateful


def run_machine(machine, examples, steps, **options):
    """Run a state machine without a time limit for an example.

    :param machine: its class.
    :param examples: sequences of steps to try.
    :param steps: longest sequence.
    :param options: other settings of Hypothesis.
    :raises AssertionError: if a sequence violates the machine.
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
