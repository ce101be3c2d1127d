"""Schema of the frames between mesh nodes."""

import pathlib
import typing

import capnp

_SCHEMA_FILE = 'mesh.capnp'


def _load_schema() -> typing.Any:
    capnp.remove_import_hook()
    path = pathlib.Path(__file__).with_name(_SCHEMA_FILE)
    return capnp.load(str(path))


SCHEMA = _load_schema()
