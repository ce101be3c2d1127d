"""The program that the platform starts on each instance."""

import asyncio
import configparser
import pathlib
import sys

from godwitknot.mesh.httpclient import HttpClient
from godwitknot.mesh.httpconnection import MAX_RESPONSE_BYTES
from godwitknot.mesh.model import NodeSettings, Placement
from godwitknot.mesh.node import MeshNode
from godwitknot.platform.dialect import PlatformDialect
from godwitknot.platform.settings import read_placement, settings_path
from godwitknot.platform.store import PlatformStore
from godwitknot.units import parse_address

# The store keeps idle connections at least this long.
_STORE_IDLE_SECONDS = 20.0
# Largest response of the store. A feed behind by its whole history of 20 s, at
# 400 writes a second and 374 bytes a row, takes 3 MB; larger fleets write more.
_STORE_ANSWER_BYTES = 16777216


def _read_placement() -> Placement:
    text = pathlib.Path(settings_path()).read_text(encoding='utf-8')
    return read_placement(text)


def read_settings(text: str) -> NodeSettings:
    """Read the settings of a node beside those of the platform.

    :param text: in INI format.
    :raises configparser.Error: if it is no INI file, or lacks a setting.
    :raises ValueError: if a number is none.
    """
    own = configparser.ConfigParser()
    own.read_string(text)
    listener = own.get('relay', 'listen', fallback='')
    return NodeSettings(
        own.getint('metrics', 'port'),
        own.getint('answers', 'largest-bytes', fallback=MAX_RESPONSE_BYTES),
        parse_address(listener) if listener else None,
    )


async def _run(settings: NodeSettings) -> None:
    placement = _read_placement()
    client = HttpClient(_STORE_IDLE_SECONDS, _STORE_ANSWER_BYTES)
    store = PlatformStore(client, placement.store)
    node = MeshNode(
        placement,
        PlatformDialect(),
        store,
        settings,
        _read_placement,
    )
    await node.run()


def main() -> None:
    """Run a node until SIGTERM; the argument names its own settings."""
    text = pathlib.Path(sys.argv[1]).read_text(encoding='utf-8')
    asyncio.run(_run(read_settings(text)))
