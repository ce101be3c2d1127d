"""Reports the error budgets: what is left and what consumed the rest."""

import attrs

from godwitknot.declarations.declaration import Declaration, WorkClass
from godwitknot.operators.requestcounts import (
    MINUTE_SECONDS,
    WINDOW_MINUTES,
    ClassCounts,
    CountsSnapshot,
    Tally,
)
from godwitknot.operators.texttable import format_table

SHORT_MINUTES = 5
# An objective of 100% allows no bad requests, which would divide by 0; it
# counts as 99.9999%.
_MIN_BUDGET = 0.000001
_MEDIAN_QUANTILE = 0.5
_HIGH_QUANTILE = 0.99
_FAILED = 'failed'
_SLOW = 'slow'
_HEADINGS = (
    'CLASS',
    'OBJECTIVE',
    'REQUESTS',
    'ACHIEVED',
    'BUDGET LEFT',
    'BURN 5 MIN',
    'BURN 1 H',
    'CONSUMED BY',
)


@attrs.frozen
class Consumer:
    """A cause of bad requests and the part of a budget that it consumed.

    :param cause: ``failed``, ``slow`` or ``refused CODE``.
    :param share: part of the whole budget, above 1 if it is overspent.
    """

    cause: str
    count: int
    share: float


@attrs.frozen
class ObjectiveReport:
    """One objective over the last hour.

    :param objective: as declared.
    :param target: required share of good requests, from 0 to 1.
    :param requests: requests that count towards it.
    :param achieved: share of good requests, ``None`` without requests.
    :param budget_left: 1 is untouched, below 0 is overspent.
    :param burn_short: budget use over 5 min; 1 would use it up exactly.
    :param burn_long: the same over 1 h.
    """

    objective: str
    target: float
    requests: int
    achieved: float | None
    budget_left: float
    burn_short: float
    burn_long: float
    consumers: tuple[Consumer, ...]


@attrs.frozen
class ClassReport:
    """The objectives of one class.

    :param median: latency in seconds.
    :param high: 99th percentile of the latency in seconds.
    :param excluded: requests that failed by an error of the caller.
    """

    work_class: str
    median: float
    high: float
    excluded: int
    objectives: tuple[ObjectiveReport, ...]


@attrs.frozen
class BudgetReport:
    """All classes of the declaration in force.

    :param version: version of the configuration.
    :param nodes: ids of the nodes counted.
    :param missing: ids of the nodes that did not answer.
    """

    version: int
    nodes: tuple[str, ...]
    missing: tuple[str, ...]
    classes: tuple[ClassReport, ...]


def make_report(
    declaration: Declaration,
    version: int,
    snapshot: CountsSnapshot,
    missing: tuple[str, ...],
    now: float,
) -> BudgetReport:
    """Compare request counts with the declared targets.

    :param snapshot: merged counts of the nodes.
    :param missing: ids of the nodes whose counts are not in the snapshot.
    :param now: seconds since the epoch.
    """
    minute = int(now // MINUTE_SECONDS)
    classes = [
        _report_class(
            work, snapshot.classes.get(work.name, ClassCounts()), minute
        )
        for work in declaration.classes.values()
    ]
    nodes = tuple(sorted(snapshot.nodes))
    return BudgetReport(version, nodes, missing, tuple(classes))


def _report_class(
    work: WorkClass,
    counts: ClassCounts,
    minute: int,
) -> ClassReport:
    tallies = (
        counts.sum_since(minute - SHORT_MINUTES + 1),
        counts.sum_since(minute - WINDOW_MINUTES + 1),
    )
    success = f'success {_format_percent(work.success)}'
    quantile = _format_percent(work.latency.quantile)
    milliseconds = work.latency.seconds * 1000
    return ClassReport(
        work_class=work.name,
        median=counts.find_quantile(_MEDIAN_QUANTILE),
        high=counts.find_quantile(_HIGH_QUANTILE),
        excluded=tallies[1].excluded,
        objectives=(
            _report_objective(
                success,
                work.success,
                [_BudgetUse.from_success(tally) for tally in tallies],
            ),
            _report_objective(
                f'{quantile} within {milliseconds:g}ms',
                work.latency.quantile,
                [_BudgetUse.from_latency(tally) for tally in tallies],
            ),
        ),
    )


@attrs.frozen
class _BudgetUse:
    """Use of one objective's error budget in one window.

    :param total: requests that count towards the objective.
    :param bad: requests that missed it, by cause.
    """

    total: int
    bad: dict[str, int]

    @classmethod
    def from_success(cls, tally: Tally) -> '_BudgetUse':
        bad = {f'refused {code}': tally.refused[code] for code in tally.refused}
        return cls(tally.total, {_FAILED: tally.failed, **bad})

    @classmethod
    def from_latency(cls, tally: Tally) -> '_BudgetUse':
        return cls(tally.answered, {_SLOW: tally.slow})

    @property
    def bad_share(self) -> float:
        return sum(self.bad.values()) / self.total if self.total else 0


def _report_objective(
    objective: str,
    target: float,
    windows: list[_BudgetUse],
) -> ObjectiveReport:
    short, long = windows
    budget = max(1 - target, _MIN_BUDGET)
    burn = long.bad_share / budget
    consumers = [
        Consumer(cause, count, count / long.total / budget)
        for cause, count in long.bad.items()
        if count
    ]
    consumers.sort(key=lambda consumer: (-consumer.count, consumer.cause))
    return ObjectiveReport(
        objective=objective,
        target=target,
        requests=long.total,
        achieved=1 - long.bad_share if long.total else None,
        budget_left=1 - burn,
        burn_short=short.bad_share / budget,
        burn_long=burn,
        consumers=tuple(consumers),
    )


def format_report(report: BudgetReport) -> str:
    """Format a report as a plain-text table for the terminal."""
    rows = [_HEADINGS]
    for work in report.classes:
        name = work.work_class
        for objective in work.objectives:
            rows.append((name, *_format_objective(objective)))
            name = ''
    lines = [
        f'last hour, nodes counted: {len(report.nodes)}, '
        f'configuration version {report.version}',
        format_table(rows),
    ]
    if report.missing:
        names = ', '.join(report.missing)
        lines.append(f'not counted, no answer: {names}')
    return '\n'.join(lines)


def _format_objective(objective: ObjectiveReport) -> list[str]:
    achieved = objective.achieved
    consumers = [
        f'{consumer.cause} {consumer.share:.0%} ({consumer.count})'
        for consumer in objective.consumers
    ]
    return [
        objective.objective,
        str(objective.requests),
        '-' if achieved is None else f'{achieved:.3%}',
        f'{objective.budget_left:.0%}',
        f'{objective.burn_short:.2f}',
        f'{objective.burn_long:.2f}',
        ', '.join(consumers) or '-',
    ]


def _format_percent(share: float) -> str:
    return f'{share * 100:.6g}%'
