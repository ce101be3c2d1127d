import collections
import random

import pytest
from test_candidates import locate

from godwitknot.clock import ManualClock
from godwitknot.control.records import ServerState
from godwitknot.proxying.candidates import CandidatePool, ReportedLoad
from godwitknot.proxying.selection import (
    RegionBudget,
    SelectionCriteria,
    Selector,
)

FULL_LOAD = ReportedLoad(4, 8, 4, 1)


class SelectorFixture:
    """A selector over given servers, in the domain of ``locate(0, 0)``."""

    def __init__(self, *servers):
        self.clock = ManualClock()
        self.pool = CandidatePool(locate(99).node, self.clock, random.Random(1))
        self.pool.update('booking', servers)
        self.budget = RegionBudget(self.clock, 5)
        self.selector = Selector(self.pool, self.budget, random.Random(2))

    def report_load(self, number, load):
        self.pool.record_sent((f'n{number}', 's'))
        self.pool.record_done((f'n{number}', 's'), load)

    def choose(self, **options):
        fields = {'repeatable': True, 'remaining': 5, 'service_time': 0.05}
        fields.update(options)
        return self.selector.choose(SelectionCriteria('booking', **fields))

    def count_choices(self, count, **options):
        """Return how often each node was chosen."""
        chosen = collections.Counter()
        for _ in range(count):
            choice = self.choose(**options)
            chosen[choice.candidate.key[0]] += 1
        return chosen


def test_own_failure_domain_first_then_region():
    ingress = SelectorFixture(locate(1), locate(2, 1), locate(3, 2))
    assert ingress.count_choices(20) == {'n1': 20}
    ingress.report_load(1, ReportedLoad(4, 0, 4, 1))
    assert ingress.count_choices(20) == {'n2': 20}


def test_less_loaded_of_two_and_ramp_share():
    """Guards against full load on a server that is still ramping up."""
    ingress = SelectorFixture(locate(1), locate(2))
    ingress.report_load(1, ReportedLoad(1, 0, 4, 0.1))
    ingress.report_load(2, ReportedLoad(3, 0, 4, 1))
    assert ingress.count_choices(20) == {'n2': 20}


def test_other_region_only_at_risk_and_within_the_budget():
    """Guards against needless cross-region traffic and a saturated link."""
    ingress = SelectorFixture(locate(1), locate(2, 2))
    ingress.report_load(1, ReportedLoad(4, 4, 4, 1))
    assert ingress.count_choices(20) == {'n1': 20}
    at_risk = {'service_time': 1, 'remaining': 1.5}
    assert ingress.count_choices(20, **at_risk) == {'n2': 20}
    assert ingress.choose(**at_risk).crosses_region
    assert ingress.count_choices(20, any_region=False, **at_risk) == {'n1': 20}
    ingress.budget.charge(10_000_000)
    assert ingress.count_choices(20, **at_risk) == {'n1': 20}
    ingress.clock.advance(30)
    ingress.report_load(1, FULL_LOAD)
    assert ingress.choose(**at_risk).crosses_region


def test_region_budget_follows_its_rate():
    clock = ManualClock()
    budget = RegionBudget(clock, 5)
    budget.charge(3 * 375_000)
    assert not budget.has_room()
    clock.advance(1.1)
    assert budget.has_room()


def test_tried_servers_are_not_chosen_again():
    ingress = SelectorFixture(locate(1), locate(2))
    tried = frozenset((('n1', 's'),))
    assert ingress.count_choices(20, tried=tried) == {'n2': 20}
    assert ingress.choose(tried=tried | {('n2', 's')}) is None


@pytest.mark.parametrize('repeatable', [True, False])
def test_probation_gets_few_and_only_repeatable_requests(repeatable):
    """Guards against non-repeatable requests to a server on probation."""
    ingress = SelectorFixture(locate(1), locate(2, state=ServerState.PROBATION))
    chosen = ingress.count_choices(400, repeatable=repeatable)
    assert (chosen['n2'] > 0) is repeatable
    assert chosen['n2'] < 40


def test_ejected_server_is_the_last_resort():
    """Guards against refusals while an ejected server may still respond."""
    ingress = SelectorFixture(locate(1), locate(2, state=ServerState.EJECTED))
    assert ingress.count_choices(20) == {'n1': 20}
    ingress.pool.record_link_failed('n1')
    choice = ingress.choose(repeatable=False)
    assert choice.last_resort
    assert choice.candidate.key == ('n2', 's')
