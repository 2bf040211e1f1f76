"""Test killed, paused and draining processes while requests are in flight."""

import http.client
import json
import signal
import threading
import time

from testtools import TestCase

from bench.process_fleet import ENTRIES, KEY, ProcessFleet
from lacewingcleat.engine_stand_in import (
    CRASH_MARKER,
    FAILED_RESUME_MARKER,
    answer_tokens,
)
from lacewingcleat.stand_in_main import CRASH_EXIT_CODE

CHAT = "/v1/chat/completions"
NOT_RUN = "https://lacewingcleat.invalid/problems/not-run"
UNKNOWN = "https://lacewingcleat.invalid/problems/unknown"
DEADLINE_SECONDS = 15.0
# Crashes after which all entries and agents have to refuse what causes them.
KNOWN_AFTER_CRASHES = 5


def _chat_body(prompt: str, count: int, stream: bool = False) -> dict[str, object]:
    return {
        "model": "drafting",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": count,
        "stream": stream,
    }


def _ruled_chat_body(rule: str, prompt: str) -> dict[str, object]:
    """Return a chat whose first message is shared by many requests."""
    messages = [
        {"role": "system", "content": rule},
        {"role": "user", "content": prompt},
    ]
    return {**_chat_body(prompt, 3), "messages": messages}


def _parse_tokens(content: bytes) -> list[str]:
    tokens = []
    for event in content.split(b"\n\n"):
        data = event.removeprefix(b"data: ")
        if data and data != b"[DONE]":
            choices = json.loads(data).get("choices", [])
            tokens += [choice["delta"]["content"] for choice in choices]
    return tokens


class _StreamCaller(threading.Thread):
    """Read one stream in a thread, because `http.client` blocks."""

    def __init__(
        self, fleet: ProcessFleet, entry: str, prompt: str, count: int
    ) -> None:
        super().__init__()
        self.fleet = fleet
        self.entry = entry
        self.prompt = prompt
        self.count = count
        self.content = b""
        self.status = 0
        self.connection_broken = False
        self.seconds = 0.0

    def run(self) -> None:
        started_at = time.monotonic()
        connection = http.client.HTTPConnection(
            self.fleet.request_by_entry[self.entry],
            timeout=DEADLINE_SECONDS + 10,
        )
        headers = {
            "Authorization": f"Bearer {KEY}",
            "Lacewing-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
        }
        body = json.dumps(_chat_body(self.prompt, self.count, stream=True))
        try:
            connection.request("POST", CHAT, body, headers)
            response = connection.getresponse()
            self.status = response.status
            while chunk := response.read1(65536):
                self.content += chunk
        except (OSError, http.client.HTTPException):
            self.connection_broken = True
        finally:
            connection.close()
            self.seconds = time.monotonic() - started_at

    def has_response_or_error(self) -> bool:
        """Return whether the caller has the complete response or a correct error."""
        expected = answer_tokens(self.prompt, self.count)
        if self.status == 200 and self.content.endswith(b"data: [DONE]\n\n"):
            return _parse_tokens(self.content) == expected
        tokens = _parse_tokens(self.content) if self.status == 200 else []
        has_error = (
            self.connection_broken
            or b"problems/" in self.content
            or b'"error"' in self.content
        )
        # The tokens received before the error must be a prefix of the response.
        return has_error and tokens == expected[: len(tokens)]


class ProcessFailureTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = ProcessFleet(token_seconds=0.03)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def _start_callers(self, count: int) -> list[_StreamCaller]:
        callers = [
            _StreamCaller(self.fleet, ENTRIES[index % 3], f"prompt {index}", 60)
            for index in range(count)
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.8)
        return callers

    def _join_and_check(self, callers: list[_StreamCaller]) -> None:
        for caller in callers:
            caller.join(DEADLINE_SECONDS + 15)
            self.assertFalse(caller.is_alive(), f"{caller.prompt} hangs")
            self.assertLess(caller.seconds, DEADLINE_SECONDS + 5)
            self.assertTrue(
                caller.has_response_or_error(),
                f"{caller.prompt}: {caller.status} {caller.content[-300:]!r}",
            )

    def test_engine_killed_in_the_middle_of_streams(self) -> None:
        """Guards against lost or duplicated tokens when a stream resumes elsewhere.

        An engine is killed; its streams resume on the other engine.
        """
        callers = self._start_callers(6)
        self.fleet.kill("backend-draft-1")
        self._join_and_check(callers)
        complete = [
            caller for caller in callers if caller.content.endswith(b"[DONE]\n\n")
        ]
        self.assertEqual(6, len(complete))

    def test_no_error_of_the_next_engine_is_in_a_stream(self) -> None:
        """Guards against an error text in the middle of a stream.

        The stream breaks off, and the engine that should go on answers with 500.
        """
        caller = _StreamCaller(self.fleet, "entry-1", FAILED_RESUME_MARKER, 10)
        caller.start()
        caller.join(DEADLINE_SECONDS + 5)
        events = caller.content.split(b"\n\n")
        self.assertEqual(b"", events.pop())
        self.assertTrue(all(event.startswith(b"data: ") for event in events), events)
        tokens = _parse_tokens(caller.content)
        self.assertEqual(answer_tokens(FAILED_RESUME_MARKER, 10)[:5], tokens[:5])
        self.assertNotIn(b"cannot resume", caller.content)
        self.assertNotIn(b"[DONE]", caller.content)
        self.assertTrue(caller.connection_broken)

    def test_agent_killed_in_the_middle_of_streams(self) -> None:
        """Guards against callers that hang after their agent was killed."""
        callers = self._start_callers(6)
        self.fleet.kill("draft-1")
        self._join_and_check(callers)

    def test_entry_killed_in_the_middle_of_streams(self) -> None:
        """Guards against a response that looks complete although its entry was killed.

        Streams through the other entries must complete.
        """
        callers = self._start_callers(6)
        self.fleet.kill("entry-1")
        self._join_and_check(callers)
        others = [caller for caller in callers if caller.entry != "entry-1"]
        for caller in others:
            self.assertTrue(caller.content.endswith(b"[DONE]\n\n"))

    def test_configuration_service_killed(self) -> None:
        """Guards against a fleet that needs the configuration service to serve."""
        callers = self._start_callers(3)
        self.fleet.kill("config")
        self._join_and_check(callers)
        for caller in callers:
            self.assertTrue(caller.content.endswith(b"[DONE]\n\n"))
        status, _, _ = self.fleet.send("entry-2", "POST", CHAT, _chat_body("after", 3))
        self.assertEqual(200, status)

    def test_new_entry_without_configuration_service(self) -> None:
        """Guards against a new instance that cannot fetch the sheet from its peers."""
        self.fleet.kill("config")
        self.fleet.kill("entry-3")
        self.fleet.start_entry("entry-3")
        self.fleet.wait_until_ready(["entry-3"])
        status, _, _ = self.fleet.send("entry-3", "POST", CHAT, _chat_body("again", 3))
        self.assertEqual(200, status)

    def test_stale_configuration_service_does_not_roll_back(self) -> None:
        """Guards against a new instance that applies an old revision.

        The configuration service serves an older revision than the entries have.
        """
        self.fleet.publish(5)
        self._wait_for_revision(5, ENTRIES)
        self.fleet.publish(3)
        self.fleet.kill("entry-3")
        self.fleet.start_entry("entry-3")
        self.fleet.wait_until_ready(["entry-3"])
        for name in (*ENTRIES, "draft-1"):
            self.assertEqual(5, self.fleet.revision(name))

    def test_revision_of_a_restored_configuration_service_is_in_force(self) -> None:
        """Guards against readers that wait for a version that is given out again.

        The configuration service comes back from an older copy, and the next revision
        is published before the readers reach it again.
        """
        for revision in (2, 3, 4):
            self.fleet.publish(revision)
            self._wait_for_revision(revision, ENTRIES)
        self.fleet.kill("config")
        self.fleet.write_sheet(5)
        self.fleet.start_config()
        self._wait_for_revision(5, (*ENTRIES, "draft-1"))

    def _wait_for_revision(self, revision: int, names: tuple[str, ...]) -> None:
        end = time.monotonic() + 6.0
        while time.monotonic() < end:
            if all(self.fleet.revision(name) == revision for name in names):
                return
            time.sleep(0.1)
        self.fail(f"revision {revision} was not in force within 6 s")

    def test_paused_agent_and_entry(self) -> None:
        """Guards against hanging callers and against stale state after a pause.

        An agent and an entry are stopped with SIGSTOP while a new sheet is published.
        """
        callers = self._start_callers(4)
        self.fleet.signal("draft-1", signal.SIGSTOP)
        self.fleet.signal("entry-3", signal.SIGSTOP)
        time.sleep(4.0)
        self.fleet.publish(7)
        time.sleep(1.0)
        self.fleet.signal("draft-1", signal.SIGCONT)
        self.fleet.signal("entry-3", signal.SIGCONT)
        self._join_and_check(callers)
        self._wait_for_revision(7, (*ENTRIES, "draft-1"))
        self.assertIn("was paused", self.fleet.log("entry-3"))

    def test_a_stream_outlasts_the_silence_of_its_only_engine(self) -> None:
        """Guards against a sound stream that is cut though no other engine takes it."""
        self.fleet.signal("draft-2", signal.SIGTERM)
        self.fleet.process_by_name["draft-2"].wait(10)
        caller = _StreamCaller(self.fleet, "entry-1", "prompt", 60)
        caller.start()
        time.sleep(0.8)
        self.fleet.signal("backend-draft-1", signal.SIGSTOP)
        time.sleep(11.0)
        self.fleet.signal("backend-draft-1", signal.SIGCONT)
        self._join_and_check([caller])
        self.assertTrue(caller.content.endswith(b"[DONE]\n\n"), caller.content[-300:])

    def test_sigterm_interrupts_no_stream(self) -> None:
        """Guards against a graceful stop that interrupts responses in flight."""
        callers = self._start_callers(6)
        self.fleet.signal("entry-1", signal.SIGTERM)
        self.fleet.signal("draft-1", signal.SIGTERM)
        self._join_and_check(callers)
        for caller in callers:
            self.assertTrue(
                caller.content.endswith(b"[DONE]\n\n"),
                f"{caller.prompt}: {caller.status} {caller.content[-400:]!r}",
            )
        for name in ("entry-1", "draft-1"):
            self.assertEqual(0, self.fleet.process_by_name[name].wait(10))
        status, _, _ = self.fleet.send("entry-2", "POST", CHAT, _chat_body("later", 3))
        self.assertEqual(200, status)

    def test_kept_connections_end_with_a_planned_stop(self) -> None:
        """Guards against requests taken until a stopping entry exits and cuts them.

        Callers kept their connections busy, so the stop never became idle.
        """
        address = self.fleet.request_by_entry["entry-1"]
        connections = [http.client.HTTPConnection(address, timeout=10) for _ in "12"]
        headers = {"Authorization": f"Bearer {KEY}"}
        for connection in connections:
            connection.request("GET", "/services/orders/x", headers=headers)
            connection.getresponse().read()
        busy, idle = connections
        self.fleet.signal("entry-1", signal.SIGTERM)
        statuses: list[int] = []
        closes = False
        deadline = time.monotonic() + DEADLINE_SECONDS
        while not closes and time.monotonic() < deadline:
            busy.request("GET", "/services/orders/x", headers=headers)
            response = busy.getresponse()
            response.read()
            statuses.append(response.status)
            closes = response.getheader("Connection") == "close"
        self.assertTrue(closes, f"{len(statuses)} requests were answered")
        self.assertEqual(b"", idle.sock.recv(1))
        self.assertEqual(0, self.fleet.process_by_name["entry-1"].wait(10))

    def test_request_that_crashes_engines(self) -> None:
        """Guards against a request that crashes one engine after the other.

        After two crashes the request must be refused with status 422.
        """
        body = _chat_body(f"please {CRASH_MARKER}", 3)
        statuses = []
        crashes = 0
        for entry in ("entry-1", "entry-2", "entry-3", "entry-1"):
            status, _, _ = self.fleet.send(entry, "POST", CHAT, body)
            statuses.append(status)
            crashes += self._restart_crashed_engines()
            time.sleep(2.0)
        self.assertEqual(422, statuses[-1])
        logs = "\n".join(self.fleet.log(name) for name in ("draft-1", "draft-2"))
        self.assertLessEqual(crashes, 2, f"{statuses}\n{logs}")

    def _restart_crashed_engines(self) -> int:
        """Start the engines again that have crashed and return their number."""
        crashes = 0
        for name in ("draft-1", "draft-2"):
            code = self.fleet.process_by_name[f"backend-{name}"].poll()
            if code is not None:
                log = self.fleet.log(f"backend-{name}")
                self.assertEqual(CRASH_EXIT_CODE, code, log[-500:])
                crashes += 1
                self.fleet.start_backend(name)
        return crashes

    def test_requests_that_share_a_message_that_crashes_engines(self) -> None:
        """Guards against similar requests that crash one engine after the other."""
        crashes = 0
        statuses = []
        for number in range(8):
            entry = f"entry-{number % 3 + 1}"
            body = _ruled_chat_body(f"rule {CRASH_MARKER}", f"question {number}")
            status, _, _ = self.fleet.send(entry, "POST", CHAT, body)
            statuses.append(status)
            crashes += self._restart_crashed_engines()
            time.sleep(1.0)
        self.assertEqual([422] * 3, statuses[-3:])
        self.assertLessEqual(crashes, KNOWN_AFTER_CRASHES, statuses)
        body = _ruled_chat_body("another rule", "question")
        self.assertEqual(200, self.fleet.send("entry-1", "POST", CHAT, body)[0])


class OrderFailureTest(TestCase):
    """Resend orders after a failure; the service counts the executions."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = ProcessFleet(delay_seconds=1.0)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def _get_ticket_headers(self, key: str) -> dict[str, str]:
        headers = {"Idempotency-Key": key}
        status, answer, _ = self.fleet.send(
            "entry-1", "POST", "/services/orders/place", {"key": key}, headers
        )
        self.assertEqual(428, status)
        return headers | {"Lacewing-Ticket": answer["Lacewing-Ticket"]}

    def _send_in_thread(self, entry: str, key: str, headers: dict[str, str]) -> None:
        def send() -> None:
            try:
                self.fleet.send(
                    entry, "POST", "/services/orders/place", {"key": key}, headers
                )
            except (OSError, http.client.HTTPException):
                pass

        thread = threading.Thread(target=send)
        thread.start()
        self.addCleanup(thread.join)

    def _count_executions(self, key: str) -> int:
        calls = self.fleet.executions().items()
        return sum(count for call, count in calls if f'"{key}"' in call)

    def test_entry_killed_with_an_order_in_flight(self) -> None:
        """Guards against an order that runs twice after its entry was killed.

        The caller resends the order with the same ticket through another entry.
        """
        headers = self._get_ticket_headers("a")
        self._send_in_thread("entry-1", "a", headers)
        time.sleep(0.4)
        self.fleet.kill("entry-1")
        status, _, body = self.fleet.send(
            "entry-2", "POST", "/services/orders/place", {"key": "a"}, headers
        )
        self.assertEqual((200, 1), (status, self._count_executions("a")), body)

    def test_agent_killed_with_an_order_in_flight(self) -> None:
        """Guards against reporting "not run" for an order whose agent was restarted.

        The new process has no record of the ticket, but the order has run.
        """
        headers = self._get_ticket_headers("b")
        self._send_in_thread("entry-1", "b", headers)
        time.sleep(0.4)
        for name in ("orders-1", "orders-2"):
            self.fleet.kill(name)
        for server in self.fleet.sheet["backend_servers"]:
            if server["name"].startswith("orders"):
                self.fleet.start_agent(server)
        self.fleet.wait_until_ready(("orders-1", "orders-2"))
        status, _, body = self.fleet.send(
            "entry-2", "POST", "/services/orders/place", {"key": "b"}, headers
        )
        self.assertEqual(UNKNOWN, json.loads(body)["type"])
        self.assertEqual((502, 1), (status, self._count_executions("b")))

    def test_agent_paused_with_an_order_in_flight(self) -> None:
        """Guards against an order that an agent runs a second time after a pause."""
        headers = self._get_ticket_headers("c")
        self._send_in_thread("entry-1", "c", headers)
        time.sleep(0.4)
        for name in ("orders-1", "orders-2"):
            self.fleet.signal(name, signal.SIGSTOP)
        time.sleep(4.0)
        for name in ("orders-1", "orders-2"):
            self.fleet.signal(name, signal.SIGCONT)
        time.sleep(1.0)
        status, _, body = self.fleet.send(
            "entry-3", "POST", "/services/orders/place", {"key": "c"}, headers
        )
        self.assertEqual((200, 1), (status, self._count_executions("c")), body)

    def test_service_killed_with_an_order_in_flight(self) -> None:
        """Guards against reporting "not run" for an order that a service has begun.

        The service is killed while it runs the order.
        """
        headers = self._get_ticket_headers("e")
        self._send_in_thread("entry-1", "e", headers)
        time.sleep(0.4)
        for name in ("orders-1", "orders-2"):
            self.fleet.kill(f"backend-{name}")
        for _ in range(3):
            status, _, body = self.fleet.send(
                "entry-2", "POST", "/services/orders/place", {"key": "e"}, headers
            )
            self.assertEqual((502, UNKNOWN), (status, json.loads(body)["type"]))
            time.sleep(0.5)

    def test_refusal_of_a_ticket_by_an_entry_is_unknown(self) -> None:
        """Guards against reporting "not run" for an order that ran elsewhere.

        The order ran through one entry; another entry refuses a malformed copy.
        """
        headers = self._get_ticket_headers("f")
        status, _, _ = self.fleet.send(
            "entry-1", "POST", "/services/orders/place", {"key": "f"}, headers
        )
        self.assertEqual((200, 1), (status, self._count_executions("f")))
        malformed_headers = headers | {"Lacewing-Deadline-Ms": "soon"}
        status, _, body = self.fleet.send(
            "entry-2", "POST", "/services/orders/place", {"key": "f"}, malformed_headers
        )
        self.assertEqual((400, UNKNOWN), (status, json.loads(body)["type"]))

    def test_key_without_ticket_never_runs(self) -> None:
        """Guards against two entries that both run an order with the same key.

        Without a ticket each entry must respond with status 428 and run nothing.
        """
        for entry in ENTRIES:
            status, _, body = self.fleet.send(
                entry,
                "POST",
                "/services/orders/place",
                {"key": "d"},
                {"Idempotency-Key": "d"},
            )
            self.assertEqual(428, status)
            self.assertEqual(NOT_RUN, json.loads(body)["type"])
        self.assertEqual(0, self._count_executions("d"))

    def test_leaving_server_gets_no_new_work(self) -> None:
        """Guards against new requests to a server that the sheet marks as leaving."""
        for server in self.fleet.sheet["backend_servers"]:
            if server["name"] == "orders-1":
                server["state"] = "leaving"
        self.fleet.publish(9)
        time.sleep(3.0)
        before = self.fleet.get(
            self.fleet.backend_by_server["orders-1"], "/executions"
        )[1]
        for index in range(6):
            status, _, _ = self.fleet.send(
                ENTRIES[index % 3], "GET", f"/services/orders/proof/{index}"
            )
            self.assertEqual(200, status)
        after = self.fleet.get(self.fleet.backend_by_server["orders-1"], "/executions")[
            1
        ]
        self.assertEqual(before, after)
