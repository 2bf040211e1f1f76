"""transport: forward agents' responses to callers.

A response body is buffered up to a limit, so that the request can still be retried on
another backend server if the body breaks off. Streams are forwarded event by event.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from lacewingcleat import event_stream
from lacewingcleat import http_headers as names
from lacewingcleat.clock import read_now
from lacewingcleat.entry_call import BodyTimeouts, EntryCall
from lacewingcleat.event_stream import EventSplitter, encode_event
from lacewingcleat.http_client import (
    BackpressureProducer,
    BodyReceiver,
    copy_headers,
    discard_body,
    first_header,
)
from lacewingcleat.http_headers import Outcome
from lacewingcleat.problems import Problem
from lacewingcleat.response_buffers import ResponseBuffers
from lacewingcleat.retries import ResponseKind
from lacewingcleat.token_stream import Deliver, Fail

HTTP_OK = 200
MAX_BUFFERED_BYTES = 1 << 20
STREAM_IDLE_TIMEOUT_SECONDS = 10.0


class ResponseWriter:
    """Forward the responses of all attempts at a request to its caller.

    :param call: state of the caller's request.
    :param buffers: bound of all responses that are read at the same time.
    """

    def __init__(self, reactor: Any, call: EntryCall, buffers: ResponseBuffers) -> None:
        self._reactor = reactor
        self._call = call
        self._buffers = buffers

    async def forward(
        self, response: Any, ticket: str, may_move: Callable[[], bool]
    ) -> ResponseKind:
        """Forward a response and return how it ended.

        Once a stream has begun, only a stream can continue it. Anything else, such as
        an error of the server that should resume it, counts as a broken response.

        :param may_move: returns whether another server could go on with a stream.
        """
        content_type = first_header(response.headers, "Content-Type")
        is_stream = content_type.startswith(event_stream.CONTENT_TYPE)
        if self._call.head_written and not (is_stream and response.code == HTTP_OK):
            discard_body(response)
            return ResponseKind.BROKEN
        if is_stream:
            return await self._forward_stream(response, may_move)
        return await self._forward_body(response, ticket)

    async def _forward_stream(
        self, response: Any, may_move: Callable[[], bool]
    ) -> ResponseKind:
        call = self._call
        request = call.request
        splitter = EventSplitter()
        attempt = call.stream_progress.begin_attempt()
        start_offset = call.stream_progress.delivered
        body_ended: defer.Deferred[bool] = defer.Deferred()
        held_bytes = 0

        def receive(data: bytes) -> None:
            nonlocal held_bytes
            timeouts.restart_idle()
            previous_count = splitter.token_events
            try:
                events = splitter.feed(data)
            except ValueError:
                receiver.abort()
                return
            if not self._buffers.resize(held_bytes, splitter.incomplete_bytes):
                receiver.abort()
                return
            held_bytes = splitter.incomplete_bytes
            if not events or not request.is_open:
                return
            if not call.head_written:
                self._write_head(response, "")
            new_count = splitter.token_events - previous_count
            if new_count:
                match call.stream_progress.accept(
                    attempt, start_offset + previous_count, new_count
                ):
                    case Deliver(skip=0):
                        pass
                    case Fail():
                        receiver.abort()
                        return
                    case _:
                        return
            request.write(events)

        receiver = BodyReceiver(receive, body_ended.callback)
        call.body_receiver = receiver
        timeouts = BodyTimeouts(
            self._reactor,
            STREAM_IDLE_TIMEOUT_SECONDS,
            call.deadline - read_now(),
            call.time_out,
            call.abort_connection,
            may_move,
        )
        response.deliverBody(receiver)
        if request.is_open:
            request.registerProducer(
                BackpressureProducer(receiver, timeouts.set_paused), True
            )
        complete = await body_ended
        self._buffers.release(held_bytes)
        timeouts.stop()
        call.body_receiver = None
        if request.is_open:
            request.unregisterProducer()
        call.used_tokens = call.stream_progress.delivered
        if not (complete and splitter.done_received):
            return ResponseKind.BROKEN
        if not call.head_written:
            self._write_head(response, "")
        self._finish_response()
        return ResponseKind.COMPLETE

    async def _forward_body(self, response: Any, ticket: str) -> ResponseKind:
        call = self._call
        request = call.request
        buffered: list[bytes] = []
        buffered_bytes = 0
        body_ended: defer.Deferred[bool] = defer.Deferred()

        def receive(data: bytes) -> None:
            nonlocal buffered_bytes
            timeouts.restart_idle()
            if call.head_written:
                if request.is_open:
                    request.write(data)
                return
            buffered.append(data)
            if self._has_room(buffered_bytes, len(data)):
                buffered_bytes += len(data)
                return
            if not request.is_open:
                receiver.abort()
                return
            self._write_head(response, ticket)
            throttle = BackpressureProducer(receiver, timeouts.set_paused)
            request.registerProducer(throttle, True)
            request.write(b"".join(buffered))
            buffered.clear()
            self._buffers.release(buffered_bytes)
            buffered_bytes = 0

        receiver = BodyReceiver(receive, body_ended.callback)
        call.body_receiver = receiver
        remaining_seconds = call.deadline - read_now()
        timeouts = BodyTimeouts(
            self._reactor,
            remaining_seconds,
            remaining_seconds,
            call.time_out,
            call.abort_connection,
        )
        response.deliverBody(receiver)
        complete = await body_ended
        self._buffers.release(buffered_bytes)
        timeouts.stop()
        call.body_receiver = None
        if request.is_open and request.producer is not None:
            request.unregisterProducer()
        if not complete:
            return ResponseKind.BROKEN
        if not call.head_written:
            body = b"".join(buffered)
            self._write_head(response, ticket, len(body))
            if request.is_open and body:
                request.write(body)
        self._finish_response()
        return ResponseKind.COMPLETE

    def _has_room(self, buffered_bytes: int, added_bytes: int) -> bool:
        """Count a part of a body that is kept; return false if there is no room."""
        if buffered_bytes + added_bytes > MAX_BUFFERED_BYTES:
            return False
        return self._buffers.reserve(buffered_bytes, added_bytes)

    def _write_head(
        self, response: Any, ticket: str, length: int | None = None
    ) -> None:
        call = self._call
        request = call.request
        if not request.is_open:
            return
        call.head_written = True
        call.first_byte_at = read_now()
        call.on_first_byte()
        request.setResponseCode(response.code)
        request.responseHeaders = copy_headers(response.headers)
        request.setHeader(names.REQUEST_ID.encode(), call.request_id.encode())
        request.setHeader(names.OUTCOME.encode(), Outcome.RAN.value.encode())
        if ticket:
            request.setHeader(names.TICKET.encode(), ticket.encode())
        if length is not None:
            request.setHeader(b"Content-Length", str(length).encode())

    def _finish_response(self) -> None:
        call = self._call
        call.outcome = Outcome.RAN
        if call.request.is_open:
            call.request.finish()

    def send_problem(self, problem: Problem) -> None:
        """Respond with a problem, as an error event if a stream has started."""
        call = self._call
        request = call.request
        call.outcome = problem.outcome
        call.code = problem.code
        if not request.is_open:
            return
        if not call.head_written:
            request.setHeader(names.OUTCOME.encode(), problem.outcome.value.encode())
            request.setHeader(names.REQUEST_ID.encode(), call.request_id.encode())
            if problem.ticket:
                request.setHeader(names.TICKET.encode(), problem.ticket.encode())
            request.respond_problem(problem, call.request_id)
            return
        content_type = first_header(request.responseHeaders, "Content-Type")
        if content_type.startswith(event_stream.CONTENT_TYPE):
            error = {
                "message": problem.detail,
                "type": problem.outcome.value,
                "code": problem.code,
            }
            request.write(encode_event({"error": error}))
        # Without the final chunk, the caller can detect that the response is
        # incomplete.
        request.channel.loseConnection()
