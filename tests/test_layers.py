"""Packages import only what stands below them."""

import ast
import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).parent.parent / 'godwitknot'
# What each package may import beside the base modules at the top.
ALLOWED = {
    'storage': set(),
    'web': set(),
    'control': set(),
    'declarations': {'storage'},
    'membership': {'control', 'storage'},
    'operators': {'control', 'declarations'},
    'config': {'declarations', 'operators', 'storage'},
    'health': {'control', 'declarations', 'membership'},
    'servers': {'control', 'declarations', 'health', 'membership', 'web'},
    'atmostonce': {'storage', 'web'},
    'proxying': {
        'atmostonce',
        'control',
        'declarations',
        'membership',
        'servers',
        'storage',
        'web',
    },
    'assembly': {
        'config',
        'control',
        'declarations',
        'health',
        'membership',
        'operators',
        'proxying',
        'servers',
        'storage',
        'web',
    },
    # Crash reports are the same for both kinds of node.
    'mesh': {'control', 'health'},
    # Decodes into the types of the mesh, behind its interfaces.
    'platform': {'mesh'},
}
# The program joins the mesh with the platform.
JOINING = PACKAGE / 'mesh' / 'program.py'
PACKAGES = {path.parent.name for path in PACKAGE.glob('*/__init__.py')}


def list_imports(path):
    tree = ast.parse(path.read_text(encoding='utf-8'))
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split('.')
            if parts[0] == 'godwitknot':
                names = parts[1:2] or [alias.name for alias in node.names]
                yield from names


def test_each_package_has_its_place():
    assert set(ALLOWED) == PACKAGES


@pytest.mark.parametrize('package', sorted(ALLOWED))
def test_imports_go_downwards(package):
    """Guards against packages that cannot be read one after the other."""
    allowed = ALLOWED[package] | {package}
    strangers = {
        f'{path.name}: {name}'
        for path in (PACKAGE / package).glob('*.py')
        for name in list_imports(path)
        if name in PACKAGES - allowed and path != JOINING
    }
    assert not strangers
