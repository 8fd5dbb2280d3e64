"""Tracing: a span for each hop, linked by the W3C trace context."""

import collections
import contextlib
import typing

from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export, sampling
from opentelemetry.trace.propagation import tracecontext

MAX_KEPT_SPANS = 2000
_HEADER = 'traceparent'
_propagator = tracecontext.TraceContextTextMapPropagator()


class RecentSpans(export.SpanExporter):
    """Keeps the latest spans in memory.

    Hosts have no disk, so that spans are read from the program itself.
    """

    def __init__(self) -> None:
        self._spans: collections.deque[sdk_trace.ReadableSpan] = (
            collections.deque(maxlen=MAX_KEPT_SPANS)
        )

    def export(
        self,
        spans: typing.Sequence[sdk_trace.ReadableSpan],
    ) -> export.SpanExportResult:
        """Keep finished spans; the oldest ones are dropped when it is full."""
        self._spans.extend(spans)
        return export.SpanExportResult.SUCCESS

    def of_trace(self, trace_id: str) -> list[sdk_trace.ReadableSpan]:
        """Return the kept spans of one trace.

        `trace_id` has 32 hexadecimal digits.
        """
        return [
            span
            for span in self._spans
            if format(span.context.trace_id, '032x') == trace_id
        ]


class Tracer:
    """Starts spans for a share `sample` of the traces.

    A trace that another program sampled is always continued. If `sample` is
    zero, a call without a parent costs one comparison.
    """

    def __init__(self, *, program: str, sample: float) -> None:
        self._sample = sample
        self._recent = RecentSpans()
        provider = sdk_trace.TracerProvider(
            sampler=sampling.ParentBased(sampling.TraceIdRatioBased(sample)),
            resource=resources.Resource.create({'service.name': program}),
        )
        provider.add_span_processor(
            export.SimpleSpanProcessor(self._recent),
        )
        self._tracer = provider.get_tracer('egretstep')

    @property
    def recent(self) -> RecentSpans:
        """Return the spans that are kept in memory."""
        return self._recent

    @contextlib.contextmanager
    def span(
        self,
        name: str,
        traceparent: str = '',
    ) -> typing.Generator[str, None, None]:
        """Run a block inside a span; yield the context for the next hop.

        The context is a `traceparent` header, or empty without a span.
        """
        if not self._sample and not traceparent:
            yield ''
            return
        parent = _propagator.extract({_HEADER: traceparent})
        with self._tracer.start_as_current_span(name, context=parent) as span:
            carrier: dict[str, str] = {}
            _propagator.inject(carrier, trace.set_span_in_context(span))
            yield carrier.get(_HEADER, '')
