"""transport: distributed tracing with one span per hop.

Ended spans are stored in a bounded queue, which the reactor exports once a second as
OTLP over HTTP. The exporters of the OpenTelemetry library start their own threads, so
only their encoder is used.
"""

from collections import deque
from collections.abc import Mapping
from typing import Any

from opentelemetry.context import Context
from opentelemetry.exporter.otlp.proto.common.trace_encoder import encode_spans
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, Span, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span as ApiSpan
from opentelemetry.trace import SpanKind, Status, StatusCode
from opentelemetry.trace.propagation import set_span_in_context
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)
from result import Err
from twisted.web.http_headers import Headers

from lacewingcleat.http_client import HttpClient
from lacewingcleat.http_headers import TRACEPARENT
from lacewingcleat.logs import ComponentLogger

MAX_QUEUED_SPANS = 2048
MAX_SPANS_PER_EXPORT = 512
EXPORT_TIMEOUT_SECONDS = 2.0
OTLP_TRACES_PATH = "/v1/traces"

_PROPAGATOR = TraceContextTextMapPropagator()


class SpanQueue(SpanProcessor):
    """Queue ended spans for export; drop the oldest span when the queue is full."""

    def __init__(self) -> None:
        self.spans: deque[ReadableSpan] = deque(maxlen=MAX_QUEUED_SPANS)
        self.dropped_spans = 0

    def on_start(self, span: Span, parent_context: Context | None = None) -> None:
        """Ignore the start of a span."""

    def on_end(self, span: ReadableSpan) -> None:
        """Queue an ended span if it is sampled."""
        if span.context is None or not span.context.trace_flags.sampled:
            return
        if len(self.spans) == MAX_QUEUED_SPANS:
            self.dropped_spans += 1
        self.spans.append(span)


class Tracing:
    """Start spans and export them.

    :param instance: value of the resource attribute `service.instance.id`.
    :param service_name: value of the resource attribute `service.name`.
    :param sampling_ratio: fraction of new traces that are sampled; the caller's
        decision in `traceparent` takes precedence.
    :param export_address: IP and port of an OTLP/HTTP receiver, empty to disable the
        export.
    :param http_client: HTTP client for the export.
    """

    def __init__(
        self,
        instance: str,
        service_name: str,
        sampling_ratio: float,
        export_address: str,
        http_client: HttpClient,
    ) -> None:
        resource = Resource(
            {"service.name": service_name, "service.instance.id": instance},
        )
        sampler = ParentBased(TraceIdRatioBased(sampling_ratio))
        self.span_queue = SpanQueue()
        provider = TracerProvider(
            sampler=sampler,
            resource=resource,
            shutdown_on_exit=False,
        )
        provider.add_span_processor(self.span_queue)
        self._tracer = provider.get_tracer("lacewingcleat")
        self._export_address = export_address
        self._http_client = http_client
        self._log = ComponentLogger("tracing")
        self._export_failing = False

    def start_span(
        self,
        name: str,
        kind: SpanKind,
        traceparent: str = "",
        parent: ApiSpan | None = None,
        attributes: Mapping[str, str] | None = None,
    ) -> ApiSpan:
        """Start a span as a child of a local span or of a caller's `traceparent`.

        :param parent: local parent span; takes precedence over `traceparent`.
        """
        context: Context | None = None
        if parent is not None:
            context = set_span_in_context(parent)
        elif traceparent:
            context = _PROPAGATOR.extract({TRACEPARENT: traceparent})
        return self._tracer.start_span(
            name,
            context=context if context is not None else Context(),
            kind=kind,
            attributes=attributes,
        )

    async def export_batch(self) -> None:
        """Export a batch of queued spans; leave them queued without a receiver."""
        if not self._export_address or not self.span_queue.spans:
            return
        spans = self.span_queue.spans
        batch = [spans.popleft() for _ in range(min(len(spans), MAX_SPANS_PER_EXPORT))]
        headers = Headers({"Content-Type": ["application/x-protobuf"]})
        body: bytes = encode_spans(batch).SerializeToString()
        export_result = await self._http_client.fetch(
            "POST",
            self._export_address,
            OTLP_TRACES_PATH,
            headers,
            body,
            EXPORT_TIMEOUT_SECONDS,
            1 << 16,
        )
        failed = isinstance(export_result, Err)
        if failed and not self._export_failing:
            self._log.warning(
                "trace export failed; spans are dropped until it succeeds."
            )
        self._export_failing = failed


def format_traceparent(span: ApiSpan) -> str:
    """Return the `traceparent` value that makes a remote span a child of this one."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, set_span_in_context(span))
    return carrier.get(TRACEPARENT, "")


def end_span(span: ApiSpan, attributes: Mapping[str, Any], failed: bool) -> None:
    """End a span with attributes that describe its outcome.

    :param failed: whether to set the status of the span to an error.
    """
    if span.is_recording():
        span.set_attributes(dict(attributes))
        if failed:
            span.set_status(Status(StatusCode.ERROR))
    span.end()
