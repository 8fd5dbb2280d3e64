"""Database proxy with session consistency.

Egretstep stands between callers that speak the MySQL protocol and groups of
database servers with one primary and several replicas. The package is flat
for its users: settings are read with `egretstep.settings`, and the programs
of a host live in `egretstep.programs`.
"""

__version__ = '0.1.0'
