"""Offers that were checked before an account lost a key are recognized."""

from godwitknot.accounts.clientaccount import ClientAccount
from godwitknot.accounts.keylosses import MAX_ACCOUNTS, KeyLosses


def change(losses, version, before, after):
    """Record a change; each character is a key of the account it names."""
    tables = [
        {name: ClientAccount(name, frozenset(keys)) for name, keys in each}
        for each in (before.items(), after.items())
    ]
    losses.record(version, *tables)


def test_loss_outlasts_later_versions_and_the_return_of_the_account():
    """Guards against an old key that works once its account is back."""
    losses = KeyLosses()
    change(losses, 5, {'a': '12', 'b': '3'}, {'b': '34'})
    change(losses, 6, {'b': '34'}, {'a': '1', 'b': '34'})
    assert [losses.find_version(name) for name in 'ab'] == [5, 0]


def test_number_of_remembered_accounts_is_bounded():
    """Guards against memory that grows with each account ever removed."""
    losses = KeyLosses()
    for version in range(1, MAX_ACCOUNTS + 1):
        change(losses, version, {str(version): 'k'}, {})
    change(losses, MAX_ACCOUNTS + 1, {'1': 'k', 'new': 'k'}, {})
    versions = [losses.find_version(name) for name in ('1', '2', '3')]
    assert versions == [MAX_ACCOUNTS + 1, 0, 3]
