"""Callers that send requests to entries at a steady rate."""

import threading
import time

from tests.entry_process import EntryProcess


class SteadyCallers:
    """Send requests to each of some entries at a steady rate.

    :param rate: requests per second and entry.
    :param path: target of the requests.
    :ivar answers: time, status and Retry-After of each response.
    :ivar last_status_by_port: latest status by the port of the entry.
    """

    def __init__(
        self, entries: list[EntryProcess], rate: float, path: str = "/get/x"
    ) -> None:
        self._rate = rate
        self._path = path
        self.answers: list[tuple[float, int, str | None]] = []
        self.last_status_by_port: dict[int, int] = {}
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(entry,)) for entry in entries
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, entry: EntryProcess) -> None:
        number = 0
        while not self._stopped.wait(1.0 / self._rate):
            number += 1
            response, _ = entry.call(
                self._path,
                request_id=f"{threading.get_ident()}-{number}",
                key="k",
            )
            retry_after = response.headers.get("Retry-After")
            self.answers.append((time.monotonic(), response.status, retry_after))
            self.last_status_by_port[entry.port] = response.status

    @property
    def statuses(self) -> set[int]:
        """Return the statuses of all responses."""
        return {status for _, status, _ in self.answers}

    def stop(self) -> None:
        """Stop all callers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
