"""Programs `lacewing-direct-entry` before a plain service with a slow server."""

from http.client import HTTPConnection

from testtools import TestCase

from tests.entry_process import EntryProcess, make_config_item, run_entries, wait_for
from tests.platform_fakes import FakeServer, FakeStore, closing_all

SLOW_SECONDS = 0.25


class SlowServerProgramTest(TestCase):
    def test_entries_learn_of_a_slow_server_from_each_other(self) -> None:
        """Guards against a slow server that each entry has to find out by itself.

        The first two entries send all requests; the third one hears of their answers.
        The server is used again once it is fast.
        """
        store = FakeStore()
        servers = [FakeServer(f"i-{number}", delay=0.01) for number in range(3)]
        store.put("op/config", make_config_item())
        for server in servers:
            store.put(f"servers/{server.name}", server.store_record("s"))
        with closing_all(store, *servers), run_entries(store, 3) as entries:
            for entry in entries:
                entry.wait_until_ready(3)
            self._call(entries[:2], 24)
            servers[0].delay = SLOW_SECONDS
            self.assertTrue(self._call_until(entries[:2], entries, "server avoided"))
            for entry in entries:
                line = entry.log_lines("server avoided")[0]
                self.assertEqual("slow", line["reason"])
                self.assertTrue(line["server"].startswith("i-0:"))
            before = len(servers[0].served_requests)
            for number in range(12):
                entries[2].call("/order/x", "POST", b"x", request_id=f"o{number}")
            self.assertEqual(before, len(servers[0].served_requests))
            servers[0].delay = 0.01
            self.assertTrue(self._call_until(entries[:2], entries, "server used again"))

    def _call(self, entries: list[EntryProcess], count: int) -> None:
        for number in range(count):
            entry = entries[number % len(entries)]
            response, _ = entry.call("/get/x", request_id=f"g{number}")
            self.assertEqual(200, response.status)

    def _call_until(
        self, entries: list[EntryProcess], logging: list[EntryProcess], event: str
    ) -> bool:
        """Send requests until all entries have logged an event."""

        def is_logged() -> bool:
            self._call(entries, 6)
            return all(entry.log_lines(event) for entry in logging)

        return wait_for(is_logged, 40.0)

    def test_metrics_count_avoided_servers(self) -> None:
        """Guards against metrics that cannot be read while no server is avoided."""
        store = FakeStore()
        store.put("op/config", make_config_item())
        with closing_all(store), run_entries(store, 1) as entries:
            entries[0].wait_until_ready(0)
            connection = HTTPConnection("127.0.0.1", entries[0].ready_port, timeout=5)
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
            connection.close()
            self.assertIn('lacewing_direct_avoided_servers{service="s"} 0.0', text)
