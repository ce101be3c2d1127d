"""Compares quota homes with fixed shares and with gossip of counts.

Plays each event with each strategy on virtual time and prints a table.
"""

import argparse
import functools
import itertools
import sys
from collections.abc import Sequence
from concurrent import futures

from bench.accounts.load import DEMAND_SHARE
from bench.accounts.plays import EVENTS, HOMES, STRATEGIES, Play, Result

_NODES = (30, 100, 300)
_ACCOUNTS = (100, 1000, 10000)
_STRATEGIES = (HOMES, *STRATEGIES)
_SECONDS = 15
_HEADER = (
    '| nodes | accounts | event | strategy | wrongly refused '
    '| of the hot account | waited over 0.5 s | overruns | worst '
    '| messages/s | per request | kB/s | of these between regions |'
)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--nodes', type=int, nargs='+', default=_NODES)
    parser.add_argument('--accounts', type=int, nargs='+', default=_ACCOUNTS)
    parser.add_argument('--events', nargs='+', choices=EVENTS, default=EVENTS)
    parser.add_argument(
        '--strategies', nargs='+', choices=_STRATEGIES, default=_STRATEGIES
    )
    parser.add_argument(
        '--demand',
        type=float,
        default=DEMAND_SHARE,
        help='of an account, as a share of its rate',
    )
    parser.add_argument('--seeds', type=int, default=2, help='seeds 0 to N-1')
    parser.add_argument('--jobs', type=int, default=2)
    return parser.parse_args()


def format_row(play: Play, results: Sequence[Result]) -> str:
    """Return a line of a Markdown table.

    :param play: any of those with the results.
    """
    total = functools.reduce(Result.add, results)
    seconds = _SECONDS * len(results)
    hot = total.hot_refused / max(1, total.hot_central)
    columns = (
        play.nodes,
        play.accounts,
        play.event,
        play.strategy,
        f'{total.refused / total.central:.2%}',
        f'{hot:.2%}',
        f'{total.delayed / max(1, total.waits):.2%}',
        total.overruns,
        f'{total.worst:.1%}',
        f'{total.traffic.messages / seconds:.0f}',
        f'{total.traffic.messages / total.admitted:.2f}',
        f'{total.traffic.sent_bytes / seconds / 1000:.0f}',
        f'{total.traffic.region_bytes / seconds / 1000:.0f}',
    )
    return f'| {" | ".join(map(str, columns))} |'


def main() -> None:
    """Run the comparison."""
    arguments = _parse_arguments()
    print(_HEADER)
    columns = _HEADER.count(' | ') + 1
    print(f'{"|---" * columns}|')
    cases = itertools.product(
        arguments.nodes, arguments.accounts, arguments.events
    )
    with futures.ProcessPoolExecutor(arguments.jobs) as executor:
        groups = []
        for nodes, accounts, event in cases:
            for strategy in arguments.strategies:
                plays = [
                    Play(
                        strategy, nodes, accounts, event, seed, arguments.demand
                    )
                    for seed in range(arguments.seeds)
                ]
                pending = [executor.submit(each.run) for each in plays]
                groups.append((plays[0], pending))
        for play, pending in groups:
            print(format_row(play, [each.result() for each in pending]))
            sys.stdout.flush()


if __name__ == '__main__':
    main()
