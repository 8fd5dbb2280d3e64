"""Metrics of this process as a page in the Prometheus text format."""

import aioprometheus
from aioprometheus import renderer

from egretstep.observability import metrics
from egretstep.settings import node
from egretstep.web import endpoint

PATH = '/metrics'


def page() -> endpoint.Page:
    """Return the current values of all metrics."""
    metrics.publish_all()
    body, headers = renderer.render(aioprometheus.REGISTRY, ())
    return endpoint.Page(
        status=endpoint.OK,
        body=body,
        content_type=headers['Content-Type'],
    )


def make_endpoint(
    address: node.Address,
    other_pages: endpoint.Pages,
) -> endpoint.Endpoint:
    """Return an endpoint that serves the metrics and other pages."""
    return endpoint.Endpoint(
        address=address,
        pages={PATH: page, **other_pages},
    )
