"""Database proxy with session consistency.

Egretstep is a proxy between callers and groups of database servers that have
one primary and several replicas each. Callers speak the MySQL protocol or the
platform's line protocol. Settings are read with `egretstep.settings`; the
programs of a host are in `egretstep.programs`.
"""

__version__ = '0.1.0'
