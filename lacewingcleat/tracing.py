"""transport: traces with a span per hop, exported from the reactor.

Spans end up in a bounded queue; the loop sends them as OTLP over HTTP once a second.
The exporters that come with the library use threads of their own, so only their
encoding is used.
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

from lacewingcleat.http_headers import TRACEPARENT
from lacewingcleat.http_client import RelayClient
from lacewingcleat.logs import PartLogger

MAX_QUEUED_SPANS = 2048
MAX_SPANS_PER_EXPORT = 512
EXPORT_TIMEOUT_SECONDS = 2.0
OTLP_TRACES_PATH = "/v1/traces"

_PROPAGATOR = TraceContextTextMapPropagator()


class SpanQueue(SpanProcessor):
    """Keep ended spans until they are exported; the oldest are dropped first."""

    def __init__(self) -> None:
        self.spans: deque[ReadableSpan] = deque(maxlen=MAX_QUEUED_SPANS)
        self.dropped = 0

    def on_start(self, span: Span, parent_context: Context | None = None) -> None:
        """Ignore the start of a span."""

    def on_end(self, span: ReadableSpan) -> None:
        """Queue a sampled span."""
        if span.context is None or not span.context.trace_flags.sampled:
            return
        if len(self.spans) == MAX_QUEUED_SPANS:
            self.dropped += 1
        self.spans.append(span)


class Tracing:
    """Start spans and export them.

    :param instance: name of the process.
    :param sampling_ratio: share of new traces that are recorded; a caller's decision in
        `traceparent` goes first.
    :param export_address: IP and port of an OTLP/HTTP receiver, empty for none.
    """

    def __init__(
        self,
        instance: str,
        program: str,
        sampling_ratio: float,
        export_address: str,
        client: RelayClient,
    ) -> None:
        resource = Resource(
            {"service.name": program, "service.instance.id": instance},
        )
        sampler = ParentBased(TraceIdRatioBased(sampling_ratio))
        self.queue = SpanQueue()
        provider = TracerProvider(
            sampler=sampler,
            resource=resource,
            shutdown_on_exit=False,
        )
        provider.add_span_processor(self.queue)
        self._tracer = provider.get_tracer("lacewingcleat")
        self._export_address = export_address
        self._client = client
        self._log = PartLogger("tracing")
        self._failing = False

    def start_span(
        self,
        name: str,
        kind: SpanKind,
        traceparent: str = "",
        parent: ApiSpan | None = None,
        attributes: Mapping[str, str] | None = None,
    ) -> ApiSpan:
        """Start a span below a local parent or below a caller's `traceparent`."""
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

    async def export(self) -> None:
        """Send queued spans, or keep them if nothing is configured."""
        if not self._export_address or not self.queue.spans:
            return
        spans = self.queue.spans
        batch = [spans.popleft() for _ in range(min(len(spans), MAX_SPANS_PER_EXPORT))]
        headers = Headers({"Content-Type": ["application/x-protobuf"]})
        body: bytes = encode_spans(batch).SerializeToString()
        sent = await self._client.fetch(
            "POST",
            self._export_address,
            OTLP_TRACES_PATH,
            headers,
            body,
            EXPORT_TIMEOUT_SECONDS,
            1 << 16,
        )
        failed = isinstance(sent, Err)
        if failed and not self._failing:
            self._log.warning("the trace receiver does not answer; spans are dropped.")
        self._failing = failed


def traceparent_of(span: ApiSpan) -> str:
    """Return the header value that makes the next hop's span a child of this one."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, set_span_in_context(span))
    return carrier.get(TRACEPARENT, "")


def end_span(span: ApiSpan, attributes: Mapping[str, Any], failed: bool) -> None:
    """End a span with its outcome."""
    if span.is_recording():
        span.set_attributes(dict(attributes))
        if failed:
            span.set_status(Status(StatusCode.ERROR))
    span.end()
