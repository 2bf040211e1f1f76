"""Mutation tests: disable one safety mechanism at a time and check that a test fails.

`python -m tests.safety_mutations` runs all mutations on copies in a temporary directory
and prints one line for each; `python -m tests.safety_mutations NUMBER...` runs only
those with the given numbers.
"""

import shutil
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

ROOT = Path(__file__).parent.parent
REQUESTS = "tests/test_safety_machines.py::test_machine[RequestMachine]"
MEMBERS = "tests/test_safety_machines.py::test_machine[MembershipMachine]"
CRASHES = "tests/test_safety_machines.py::test_machine[CrashMachine]"


@dataclass(frozen=True, slots=True)
class Mutation:
    """Describe a replacement of text in a module and the test that must fail then."""

    what: str
    module: str
    old: str
    new: str
    test: str


MUTATIONS = [
    Mutation(
        "a second copy runs instead of attaching",
        "tickets",
        "        if record.state is not _State.MINTED:\n            # A",
        "        if record.state is _State.DONE:\n            # A",
        REQUESTS,
    ),
    Mutation(
        "a refusal leaves no tombstone",
        "tickets",
        "record.state = _State.REFUSED",
        "record.state = _State.MINTED",
        REQUESTS,
    ),
    Mutation(
        "a lost run may start again",
        "tickets",
        "                record.state = _State.LOST",
        "                record.state = _State.MINTED",
        REQUESTS,
    ),
    Mutation(
        "a running request can be revoked",
        "tickets",
        "        if record.state in (_State.MINTED, _State.QUEUED):\n"
        "            return self._refuse(record, TicketCode.REVOKED)",
        "        if record.state is not _State.DONE:\n"
        "            return self._refuse(record, TicketCode.REVOKED)",
        REQUESTS,
    ),
    Mutation(
        "a key runs under each of its tickets",
        "tickets",
        "        other = self._record_by_id.get(use.ticket_id)\n",
        "        return None\n",
        REQUESTS,
    ),
    Mutation(
        "a key is evicted together with its first ticket",
        "tickets",
        "        if use.last_expiry + EXPIRED_RETENTION_SECONDS <= now:",
        "        if True:",
        "tests/test_tickets.py",
    ),
    Mutation(
        "a ticket starts although it expired in the queue",
        "tickets",
        "        if now >= record.ticket.expires:\n"
        "            return self._refuse(record, TicketCode.EXPIRED)\n"
        "        record.state = _State.RUNNING",
        "        record.state = _State.RUNNING",
        "tests/test_tickets.py",
    ),
    Mutation(
        "the tag of a token is not checked",
        "tickets",
        "if not verify_ticket(token, self._secret):",
        "if False:",
        "tests/test_tickets.py",
    ),
    Mutation(
        "a ticket is valid for any request",
        "tickets",
        "if fingerprint != record.fingerprint:",
        "if False:",
        "tests/test_tickets.py",
    ),
    Mutation(
        "a non-idempotent request is retried without revocation",
        "retries",
        "if not certain and not facts.idempotent:",
        "if False:",
        REQUESTS,
    ),
    Mutation(
        "an unsent revocation counts as not run",
        "retries",
        "    if attempt.revocation:\n",
        "    if False:\n",
        REQUESTS,
    ),
    Mutation(
        "a caller's ticket is replaced on retry",
        "retries",
        "    if facts.ticket is TicketOrigin.CALLER:\n        return _rep",
        "    if False:\n        return _rep",
        REQUESTS,
    ),
    Mutation(
        "an earlier attempt with unknown outcome is ignored",
        "retries",
        "may_have_run = facts.may_have_run or not certain",
        "may_have_run = not certain",
        "tests/test_retries.py",
    ),
    Mutation(
        "an entry reports not run for a caller's ticket that it did not send",
        "retries",
        "if facts.ticket is TicketOrigin.CALLER or facts.may",
        "if facts.may",
        REQUESTS,
    ),
    Mutation(
        "heartbeats are dated by their arrival instead of their sending",
        "peer_view",
        "return sent_at + allowed",
        "return now",
        MEMBERS,
    ),
    Mutation(
        "heartbeats from before a pause count as signs of life",
        "peer_view",
        "last_seen_at < not_before or ",
        "",
        MEMBERS,
    ),
    Mutation(
        "views of peers are not dropped after a pause",
        "peer_table",
        "            view.drop()",
        "            pass",
        MEMBERS,
    ),
    Mutation(
        "an unknown incarnation replaces a live one without being confirmed",
        "peer_view",
        " and not self._is_successor(peer, sent_at):",
        " and False:",
        "tests/test_membership.py",
    ),
    Mutation(
        "a pause resets the leaving state of a server",
        "peer_view",
        '        self.view_digest = ""\n        self._candidate = None',
        '        self.view_digest = ""\n        self.leaving = False',
        "tests/test_membership.py",
    ),
    Mutation(
        "leaving servers are not announced to other entries",
        "peer_messages",
        "        if not records:\n            return []\n        targets",
        "        if True:\n            return []\n        targets",
        MEMBERS,
    ),
    Mutation(
        "lost leaving notices are never sent again",
        "membership",
        "actions += self._late_notices(targets, now)",
        "pass",
        "tests/test_membership.py",
    ),
    Mutation(
        "agents do not drop entries that a peer list omits",
        "membership",
        "            self._expire_unlisted_entries(peers, sent_at)",
        "            pass",
        "tests/test_membership.py",
    ),
    Mutation(
        "agents are not sent lists when their view differs",
        "membership",
        "        if differs:\n",
        "        if False:\n",
        MEMBERS,
    ),
    Mutation(
        "suspects run concurrently with other requests",
        "crash_suspects",
        "        return RunAlone()",
        "        return Unsuspected()",
        CRASHES,
    ),
    Mutation(
        "the second crash does not convict",
        "crash_suspects",
        "            suspect.convicted = True",
        "            pass",
        CRASHES,
    ),
    Mutation(
        "crashes with several requests in flight convict",
        "crash_suspects",
        "(is_second and any(suspect.single_by_crash.values()))",
        "is_second",
        "tests/test_crash_suspects.py",
    ),
    Mutation(
        "lost crash reports are not repeated",
        "crash_suspects",
        "        self._repeats.append(_Repeat(body, now))\n",
        "",
        CRASHES,
    ),
    Mutation(
        "new processes are not sent the recent crashes",
        "crash_suspects",
        "        return [Send(instance, body) for body in bodies]",
        "        return []",
        CRASHES,
    ),
    Mutation(
        "copies of a crash report count as new crashes",
        "crash_suspects",
        "if report.crash_id in self._crash_by_id or",
        "if",
        "tests/test_crash_suspects.py",
    ),
    Mutation(
        "tokens that the caller has received are sent again",
        "token_stream",
        "skip = min(count, self.delivered - offset)",
        "skip = 0",
        "tests/test_token_stream.py",
    ),
    Mutation(
        "missing tokens in a stream are not detected",
        "token_stream",
        "        if offset > self.delivered:",
        "        if False:",
        "tests/test_token_stream.py",
    ),
    Mutation(
        "notices of leaving servers are not renewed",
        "membership",
        "if view.leaving and now - view.leaving_announced_at < NOTICE_RENEWAL_SECONDS:",
        "if view.leaving:",
        "tests/test_membership.py",
    ),
]


def run_mutation(number: int) -> bool:
    """Return whether the test fails with the mutation, and print the result."""
    mutation = MUTATIONS[number]
    with TemporaryDirectory() as name:
        copy = Path(name)
        for part in ("lacewingcleat", "tests", "pyproject.toml"):
            source = ROOT / part
            if source.is_dir():
                shutil.copytree(source, copy / part)
            else:
                shutil.copy(source, copy / part)
        path = copy / "lacewingcleat" / f"{mutation.module}.py"
        text = path.read_text()
        if text.count(mutation.old) != 1:
            print(f"{number:2} STALE    {mutation.what}")
            return False
        path.write_text(text.replace(mutation.old, mutation.new))
        command = [sys.executable, "-m", "pytest", "-x", "-q", mutation.test]
        completed = subprocess.run(command, cwd=copy, capture_output=True, check=False)
    # Pytest exits with 1 if tests failed. Other codes mean that it could not run them.
    detected = completed.returncode == 1
    print(f"{number:2} {'noticed ' if detected else 'SURVIVED'} {mutation.what}")
    return detected


if __name__ == "__main__":
    test_command = [sys.executable, "-m", "pytest", "-q"]
    if not sys.argv[1:] and subprocess.run(test_command, check=False).returncode:
        sys.exit("the tests fail on the unmodified code; fix them before mutating it")
    numbers = [int(text) for text in sys.argv[1:]] or range(len(MUTATIONS))
    with ThreadPoolExecutor(3) as pool:
        sys.exit(not all(list(pool.map(run_mutation, numbers))))
