"""The Cap'n Proto schema of the calls between hosts of one fleet.

The schema file is loaded at import; there is no generated code.
"""

import pathlib

import capnp

capnp.remove_import_hook()
_schema = capnp.load(str(pathlib.Path(__file__).with_name('fleet.capnp')))

Host = _schema.Host
