"""The Cap'n Proto schema of the calls between hosts of one fleet.

The library reads the schema file at import, so that nothing is generated.
"""

import pathlib

import capnp

capnp.remove_import_hook()
_messages = capnp.load(str(pathlib.Path(__file__).with_name('fleet.capnp')))

Host = _messages.Host
