"""The Cap'n Proto schema of the messages between programs.

The library reads the schema file at import, so that nothing is generated.
"""

import pathlib

import capnp

capnp.remove_import_hook()
_messages = capnp.load(
    str(pathlib.Path(__file__).with_name('egretstep.capnp')),
)

StatementRequest = _messages.StatementRequest
Answer = _messages.Answer
Pool = _messages.Pool
Agent = _messages.Agent
DatabaseStatus = _messages.DatabaseStatus
Member = _messages.Member
Gossip = _messages.Gossip
HostView = _messages.HostView
