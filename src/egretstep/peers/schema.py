"""The Cap'n Proto schema of the messages between programs.

The schema file is loaded at import; there is no generated code.
"""

import pathlib

import capnp

capnp.remove_import_hook()
_schema = capnp.load(
    str(pathlib.Path(__file__).with_name('egretstep.capnp')),
)

StatementRequest = _schema.StatementRequest
Answer = _schema.Answer
Pool = _schema.Pool
Agent = _schema.Agent
DatabaseStatus = _schema.DatabaseStatus
Member = _schema.Member
Gossip = _schema.Gossip
HostView = _schema.HostView
