"""transport: writing of answers to callers.

An answer that may still fail is held back up to a limit, so that another backend server
can be tried before the caller has seen a byte. Streams are passed on event by event.
"""

from typing import Any

from twisted.internet import defer

from lacewingcleat import event_stream
from lacewingcleat import http_headers as names
from lacewingcleat.clock import read_now
from lacewingcleat.entry_call import BodyWatch, EntryCall
from lacewingcleat.event_stream import EventSplitter, encode_event
from lacewingcleat.http_headers import Outcome
from lacewingcleat.http_client import (
    BodyReceiver,
    Throttle,
    copy_headers,
    first_header,
)
from lacewingcleat.problems import Problem
from lacewingcleat.retries import ResponseKind
from lacewingcleat.token_stream import Deliver, Fail

HELD_BACK_BYTES = 1 << 20
IDLE_SECONDS = 10.0


class AnswerWriter:
    """Pass answers of attempts on to one caller.

    :param call: the caller's request.
    """

    def __init__(self, reactor: Any, call: EntryCall) -> None:
        self._reactor = reactor
        self._call = call

    async def pass_on(self, response: Any, ticket: str) -> ResponseKind:
        """Pass an answer on and say how it ended."""
        content_type = first_header(response.headers, "Content-Type")
        if content_type.startswith(event_stream.CONTENT_TYPE):
            return await self._pass_on_stream(response)
        return await self._pass_on_body(response, ticket)

    async def _pass_on_stream(self, response: Any) -> ResponseKind:
        call = self._call
        request = call.request
        splitter = EventSplitter()
        attempt = call.progress.begin_attempt()
        start = call.progress.delivered
        ended: defer.Deferred[bool] = defer.Deferred()

        def receive(data: bytes) -> None:
            watch.touch()
            before = splitter.events
            try:
                events = splitter.feed(data)
            except ValueError:
                receiver.abort()
                return
            if not events or not request.is_open:
                return
            if not call.head_written:
                self._write_head(response, "")
            count = splitter.events - before
            if count:
                match call.progress.accept(attempt, start + before, count):
                    case Deliver(skip=0):
                        pass
                    case Fail():
                        receiver.abort()
                        return
                    case _:
                        return
            request.write(events)

        receiver = BodyReceiver(receive, ended.callback)
        call.receiver = receiver
        watch = BodyWatch(
            self._reactor,
            IDLE_SECONDS,
            call.deadline - read_now(),
            call.give_up,
            call.drop_caller,
        )
        response.deliverBody(receiver)
        if request.is_open:
            request.registerProducer(Throttle(receiver, watch.set_paused), True)
        complete = await ended
        watch.stop()
        call.receiver = None
        if request.is_open:
            request.unregisterProducer()
        call.used_tokens = call.progress.delivered
        if not (complete and splitter.done):
            return ResponseKind.BROKEN
        if not call.head_written:
            self._write_head(response, "")
        self._finish()
        return ResponseKind.COMPLETE

    async def _pass_on_body(self, response: Any, ticket: str) -> ResponseKind:
        call = self._call
        request = call.request
        held: list[bytes] = []
        held_bytes = 0
        ended: defer.Deferred[bool] = defer.Deferred()

        def receive(data: bytes) -> None:
            nonlocal held_bytes
            watch.touch()
            if call.head_written:
                if request.is_open:
                    request.write(data)
                return
            held.append(data)
            held_bytes += len(data)
            if held_bytes > HELD_BACK_BYTES and request.is_open:
                self._write_head(response, ticket)
                throttle = Throttle(receiver, watch.set_paused)
                request.registerProducer(throttle, True)
                request.write(b"".join(held))
                held.clear()

        receiver = BodyReceiver(receive, ended.callback)
        call.receiver = receiver
        remaining = call.deadline - read_now()
        watch = BodyWatch(
            self._reactor,
            remaining,
            remaining,
            call.give_up,
            call.drop_caller,
        )
        response.deliverBody(receiver)
        complete = await ended
        watch.stop()
        call.receiver = None
        if request.is_open and request.producer is not None:
            request.unregisterProducer()
        if not complete:
            return ResponseKind.BROKEN
        if not call.head_written:
            body = b"".join(held)
            self._write_head(response, ticket, len(body))
            if request.is_open and body:
                request.write(body)
        self._finish()
        return ResponseKind.COMPLETE

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

    def _finish(self) -> None:
        call = self._call
        call.outcome = Outcome.RAN
        if call.request.is_open:
            call.request.finish()

    def refuse(self, problem: Problem) -> None:
        """Answer with a problem, inside the stream if it has begun."""
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
        # Without the end of the chunked body the caller sees that the answer is not
        # whole.
        request.channel.loseConnection()
