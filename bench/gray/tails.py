"""Losses of at-most-once work beside servers that hang for seconds.

Prints a Markdown table: share of the at-most-once requests that were lost
after they were sent, and that were refused, and the same of the others. The
rule "all evidence" is an oracle: the least loss to be expected from a choice
among the free servers of all regions that does not wait. With "known hangs",
what is lost all the same is lost to other causes, such as failed calls.
"""

import argparse
import itertools
from concurrent import futures

import attrs

from bench.gray.fleet import GrayFleet, PlayResult, Rule
from bench.gray.oracle import EvidenceOracle, TruthOracle
from bench.gray.patterns import NO_FAULT, SHORT_HANGS, make_tail_workload
from bench.gray.servers import FaultPlan
from bench.gray.virtualtime import run_virtually
from godwitknot.outcomes import Code

_PATTERNS = {'no fault': NO_FAULT, 'short hangs': SHORT_HANGS}
_PLAY_SECONDS = 30


def _make_truth(plan: FaultPlan) -> TruthOracle:
    return TruthOracle()


# The nodes' rule, and two that know more than a node does.
_RULES = {
    rule.name: rule
    for rule in (
        Rule('estimate'),
        Rule('all evidence', make_oracle=EvidenceOracle),
        Rule('known hangs', make_oracle=_make_truth),
    )
}


@attrs.frozen
class TailPlay:
    """One play of the long-tailed workload."""

    nodes: int
    slots: int
    load: float
    pattern: str
    seed: int
    rule: str = 'estimate'

    def run(self) -> PlayResult:
        """Play it and return the results."""
        return run_virtually(self._run())

    async def _run(self) -> PlayResult:
        fleet = GrayFleet(
            self.nodes,
            make_tail_workload(self.nodes, self.load, self.slots),
            _PATTERNS[self.pattern],
            _RULES[self.rule],
            self.seed,
        )
        return await fleet.play(_PLAY_SECONDS)


def compute_shares(results: list[PlayResult], prefix: str) -> dict[str, float]:
    """Return the shares of the requests of some classes by result.

    :param prefix: of the names of the classes.
    """
    tallies = [
        tally
        for result in results
        for name, tally in result.tallies.items()
        if name.startswith(prefix)
    ]
    requests = sum(tally.requests for tally in tallies)
    fields = ('in_time', 'late', 'refused', 'failed')
    return {
        field: sum(getattr(tally, field) for tally in tallies) / requests
        for field in fields
    }


def _compute_hung_share(results: list[PlayResult]) -> float:
    """Return the share of the at-most-once requests that got no answer."""
    hung = sum(
        count
        for result in results
        for (name, code), count in result.refusals.items()
        if name.startswith('book') and code == Code.DEADLINE_PASSED
    )
    requests = sum(
        tally.requests
        for result in results
        for name, tally in result.tallies.items()
        if name.startswith('book')
    )
    return hung / requests


def _format_row(play: TailPlay, results: list[PlayResult]) -> str:
    book = compute_shares(results, 'book')
    view = compute_shares(results, 'view')
    call = compute_shares(results, 'call')
    offers = sum(result.offers.total() for result in results)
    requests = sum(
        tally.requests
        for result in results
        for tally in result.tallies.values()
    )
    columns = (
        play.nodes,
        play.slots,
        play.load,
        play.pattern,
        play.rule,
        f'{book["failed"]:.4f}',
        f'{_compute_hung_share(results):.4f}',
        f'{book["refused"]:.4f}',
        f'{book["in_time"]:.3f}',
        f'{view["failed"]:.4f}',
        f'{view["refused"]:.4f}',
        f'{view["in_time"]:.3f}',
        f'{call["failed"] + call["refused"]:.4f}',
        f'{offers / requests:.2f}',
    )
    return f'| {" | ".join(map(str, columns))} |'


def main() -> None:
    """Run the plays and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--nodes', type=int, nargs='+', default=(24, 94))
    parser.add_argument('--slots', type=int, nargs='+', default=(5, 8))
    parser.add_argument('--load', type=float, nargs='+', default=(0.5, 0.65))
    parser.add_argument('--seeds', type=int, default=3, help='seeds 0 to N-1')
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument(
        '--patterns', nargs='+', choices=_PATTERNS, default=tuple(_PATTERNS)
    )
    parser.add_argument(
        '--rules', nargs='+', choices=_RULES, default=tuple(_RULES)
    )
    arguments = parser.parse_args()
    print(
        '| nodes | slots | load | pattern | rule | at most once: lost '
        '| of these on a server that hung | refused | in time | others: lost | refused | in time | calls not served '
        '| offers a request |'
    )
    columns = 14
    print(f'{"|---" * columns}|')
    cases = itertools.product(
        arguments.patterns,
        arguments.nodes,
        arguments.slots,
        arguments.load,
        arguments.rules,
    )
    with futures.ProcessPoolExecutor(arguments.jobs) as executor:
        groups = []
        for pattern, nodes, slots, load, rule in cases:
            plays = [
                TailPlay(nodes, slots, load, pattern, seed, rule)
                for seed in range(arguments.seeds)
            ]
            pending = [executor.submit(each.run) for each in plays]
            groups.append((plays[0], pending))
        for play, pending in groups:
            results = [each.result() for each in pending]
            print(_format_row(play, results), flush=True)


if __name__ == '__main__':
    main()
