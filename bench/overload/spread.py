"""Compares ways to distribute requests over failure domains and regions.

Prints a Markdown table for all services and one for the scarce service. Nothing
runs in real time; a play of 34 s takes some tens of seconds of processor time.
"""

import argparse
import itertools
import statistics
from collections.abc import Sequence
from concurrent import futures

from bench.overload.spreadplay import (
    SCARCE,
    SELECTORS,
    ZONES,
    SpreadPlay,
    SpreadTally,
    Wave,
)

_HEADER = (
    '| load | lag | selection | in time | by seed | worst domain '
    '| offers per request | refusals per request | from other domain '
    '| from other region | offers to other region | scarce: in time | worst domain '
    '| offers per request | refusals per request | from other region |'
)
_OTHER_ZONE, _OTHER_REGION = 1, 2


def _compute_in_time(tally: SpreadTally, service: str, zone: str = '') -> float:
    """Return the share served in time.

    :param service: empty for all.
    :param zone: failure domain of the callers' nodes, empty for all.
    """
    keys = [
        key
        for key in tally.requests
        if (not service or key[0] == service) and (not zone or key[1] == zone)
    ]
    requests = sum(tally.requests[key] for key in keys)
    return sum(tally.in_time[key] for key in keys) / requests


def _count(counter, service: str, distance: int | None = None) -> int:
    return sum(
        count
        for key, count in counter.items()
        if (not service or key[0] == service)
        and (distance is None or key[1] == distance)
    )


def _list_columns(
    tallies: Sequence[SpreadTally], service: str
) -> dict[str, float]:
    """Return the means over the seeds.

    :param service: empty for all.
    """
    columns: dict[str, list[float]] = {}
    for tally in tallies:
        accepted = _count(tally.accepted, service)
        refused = _count(tally.refused, service)
        far_refused = _count(tally.refused, service, _OTHER_REGION)
        far = _count(tally.accepted, service, _OTHER_REGION)
        near = _count(tally.accepted, service, _OTHER_ZONE)
        figures = {
            'in time': _compute_in_time(tally, service),
            'worst': min(
                _compute_in_time(tally, service, zone) for zone in ZONES
            ),
            'offers': (accepted + refused) / accepted,
            'refusals': refused / accepted,
            'near': near / accepted,
            'far': far / accepted,
            'far offers': (far + far_refused) / accepted,
        }
        for name, figure in figures.items():
            columns.setdefault(name, []).append(figure)
    return {name: statistics.mean(each) for name, each in columns.items()}


def _format_row(play: SpreadPlay, tallies: Sequence[SpreadTally]) -> str:
    every = _list_columns(tallies, '')
    scarce = _list_columns(tallies, SCARCE)
    by_seed = [f'{_compute_in_time(each, ""):.3f}' for each in tallies]
    figures = [
        f'{every["in time"]:.4f}',
        ' '.join(by_seed),
        f'{every["worst"]:.3f}',
        f'{every["offers"]:.2f}',
        f'{every["refusals"]:.2f}',
        f'{every["near"]:.3f}',
        f'{every["far"]:.4f}',
        f'{every["far offers"]:.3f}',
        f'{scarce["in time"]:.3f}',
        f'{scarce["worst"]:.3f}',
        f'{scarce["offers"]:.2f}',
        f'{scarce["refusals"]:.2f}',
        f'{scarce["far"]:.3f}',
    ]
    columns = [str(play.load), str(play.wave.lag), play.selector, *figures]
    return f'| {" | ".join(columns)} |'


def main() -> None:
    """Run the plays and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--load', type=float, nargs='+', default=(0.5, 0.7))
    parser.add_argument('--lag', type=float, nargs='+', default=(4.25,))
    parser.add_argument(
        '--selection', nargs='+', choices=SELECTORS, default=list(SELECTORS)
    )
    parser.add_argument('--seconds', type=float, default=34)
    parser.add_argument('--seeds', type=int, default=2, help='seeds 0 to N-1')
    parser.add_argument('--jobs', type=int, default=2)
    arguments = parser.parse_args()
    print(_HEADER)
    columns = _HEADER.count(' | ') + 1
    print(f'{"|---" * columns}|')
    cases = itertools.product(
        arguments.load, arguments.lag, arguments.selection
    )
    with futures.ProcessPoolExecutor(arguments.jobs) as executor:
        groups = []
        for load, lag, selection in cases:
            plays = [
                SpreadPlay(
                    selection, Wave(lag=lag), load, seed, arguments.seconds
                )
                for seed in range(arguments.seeds)
            ]
            pending = [executor.submit(each.run) for each in plays]
            groups.append((plays[0], pending))
        for play, pending in groups:
            tallies = [each.result() for each in pending]
            print(_format_row(play, tallies), flush=True)


if __name__ == '__main__':
    main()
