"""Readiness endpoint, which the load balancer polls."""

import functools
import typing

from egretstep.settings import node
from egretstep.web import endpoint

PATH = '/v1/readiness'


def make_endpoint(
    *,
    address: node.Address,
    is_ready: typing.Callable[[], bool],
) -> endpoint.Endpoint:
    """Return the endpoint that tells whether this host accepts callers."""
    page = functools.partial(_page, is_ready)
    return endpoint.Endpoint(address=address, pages={PATH: page})


def _page(is_ready: typing.Callable[[], bool]) -> endpoint.Page:
    status = endpoint.OK if is_ready() else endpoint.UNAVAILABLE
    return endpoint.Page(status=status)
