"""The program that the platform starts on each instance."""

import asyncio
import configparser
import pathlib
import sys

from godwitknot.mesh.httpclient import HttpClient
from godwitknot.mesh.model import Placement
from godwitknot.mesh.node import MeshNode
from godwitknot.platform.dialect import PlatformDialect
from godwitknot.platform.settings import read_placement, settings_path
from godwitknot.platform.store import PlatformStore
from godwitknot.units import Address, parse_address

# The store keeps idle connections at least this long.
_STORE_IDLE_SECONDS = 20.0
# Largest response of the store. A feed behind by its whole history of 20 s, at
# 400 writes a second and 374 bytes a row, takes 3 MB; larger fleets write more.
_STORE_ANSWER_BYTES = 16777216


def _read_placement() -> Placement:
    text = pathlib.Path(settings_path()).read_text(encoding='utf-8')
    return read_placement(text)


def _read_listener(own: configparser.ConfigParser) -> Address | None:
    """Give the address to listen on for other nodes, if it is set.

    It differs from the announced one where a relay stands in between.
    """
    place = own.get('relay', 'listen', fallback='')
    return parse_address(place) if place else None


async def _run(own: configparser.ConfigParser) -> None:
    placement = _read_placement()
    client = HttpClient(_STORE_IDLE_SECONDS, _STORE_ANSWER_BYTES)
    store = PlatformStore(client, placement.store)
    node = MeshNode(
        placement,
        PlatformDialect(),
        store,
        own.getint('metrics', 'port'),
        _read_placement,
        _read_listener(own),
    )
    await node.run()


def main() -> None:
    """Run a node until SIGTERM; the argument names its own settings."""
    own = configparser.ConfigParser()
    own.read_string(pathlib.Path(sys.argv[1]).read_text(encoding='utf-8'))
    asyncio.run(_run(own))
