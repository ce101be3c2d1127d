"""Entry point of the node that the platform starts on each instance."""

import asyncio
import configparser
import pathlib
import sys

from godwitknot.mesh.clientconnection import MAX_RESPONSE_BYTES
from godwitknot.mesh.httpclient import HttpClient
from godwitknot.mesh.model import NodeSettings, Placement
from godwitknot.mesh.node import MeshNode
from godwitknot.platform.dialect import PlatformDialect
from godwitknot.platform.settings import read_placement, settings_path
from godwitknot.platform.store import PlatformStore
from godwitknot.units import parse_address

# The store keeps idle connections open for at least this long.
_STORE_IDLE_SECONDS = 20.0
# Limit of a response of the store, 16 MiB. The changes of the store's whole
# history of 20 s take 3 MB at 400 writes per second and 374 bytes per row;
# larger fleets write more.
_MAX_STORE_RESPONSE_BYTES = 16777216


def _read_placement() -> Placement:
    # Bytes that are not UTF-8 make only the field unreadable that has them.
    text = pathlib.Path(settings_path()).read_text('utf-8', 'replace')
    return read_placement(text)


def read_settings(text: str) -> NodeSettings:
    """Parse the settings of a node that do not come from the platform.

    :param text: in INI format.
    :raises configparser.Error: if the text is not valid INI, or a required
        setting is missing.
    :raises ValueError: if a number or an address is malformed.
    """
    parser = configparser.ConfigParser()
    parser.read_string(text)
    listener = parser.get('relay', 'listen', fallback='')
    return NodeSettings(
        parser.getint('metrics', 'port'),
        parser.getint('answers', 'largest-bytes', fallback=MAX_RESPONSE_BYTES),
        parse_address(listener) if listener else None,
    )


async def _run(settings: NodeSettings) -> None:
    placement = _read_placement()
    client = HttpClient(_STORE_IDLE_SECONDS, _MAX_STORE_RESPONSE_BYTES)
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
    """Run a node until SIGTERM.

    The first command line argument is the path of the node's settings.
    """
    text = pathlib.Path(sys.argv[1]).read_text(encoding='utf-8')
    asyncio.run(_run(read_settings(text)))
