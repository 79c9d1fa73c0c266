"""Whether messages of a key keep their order and rest over two hot upgrades in a row.

    .venv/bin/python -m benchmarks.upgrade_order [--seeds 1..8]

Real processes. Ten keys, a message of each every 0.02 to 0.8 s, half of them on connections that the old
process has accepted; 3 in 100 calls hang, 6 in 100 get 503; deadlines of 1.5 to 6 s; the old process gets
SIGTERM (even seeds) or SIGKILL (odd seeds) at the new one's yes.

Prints a line a seed. Broken is a message that was called before an earlier one of its key had ended
(delivered or notified), or before the key had settled after a call of an earlier one was given up, each with
0.05 s of slack. Calls of a process that was killed bind nobody. The exit code is 1 if a seed broke the order.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from collections import defaultdict
from contextlib import suppress
from functools import partial
from itertools import count
from pathlib import Path
from random import Random
from time import monotonic

import gevent
from gevent import socket
from msgspec import Struct

from ashpath.emulator.errors import RequestError
from ashpath.emulator.http_client import HttpClient
from ashpath.emulator.soak.plan import StopMethod
from ashpath.emulator.soak.sender import SoakSender
from ashpath.emulator.soak.settings import soak_settings
from ashpath.emulator.stand_ins import STAND_IN_LIMITS
from ashpath.server import wire_names
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from benchmarks.soak import parse_seeds
from benchmarks.upgrade_sender import UPGRADES, upgradable_sender

KEYS = 10
DESTINATIONS = 2
INTERVAL_S = (0.02, 0.8)  # between two messages of a key
DEADLINES_S = (1.5, 3.0, 6.0)
HANG_SHARE = 0.03
REFUSED_SHARE = 0.06
SERVICE_S = (0.01, 0.15)
SETTLE_S = 0.2  # `order-settle` of the soak's settings
SLACK_S = 0.05
RESPONSE_TIMEOUT_S = 0.4
OLD_CONNECTIONS = 20  # opened before each upgrade
CALM_S = 3.0
FINAL_S = 7.0  # the longest deadline, and a second more
OK = encode_message(b"HTTP/1.1 200 OK", [], b"")
REFUSED = encode_message(b"HTTP/1.1 503 X", [], b"")


class Call(Struct):
    """One call that an endpoint has read."""

    begun_at: float
    ended_at: float = 0.0
    """0 if it has not ended."""
    delivered: bool = False
    hung: bool = False


class Submission(Struct, frozen=True):
    """One message that was accepted."""

    message_id: str
    key: int
    sent_at: float
    answered_at: float


class Play:
    """One seed: clients, endpoints, and what they have seen."""

    def __init__(self, seed: int) -> None:
        self.random = Random(f"order {seed}")
        self.how = StopMethod.KILL if seed % 2 else StopMethod.TERMINATE
        self.calls: dict[str, list[Call]] = defaultdict(list)
        self.accepted: list[Submission] = []
        self.old_clients: list[HttpClient] = []
        self.kills: list[float] = []
        self.notices: dict[str, float] = {}
        self.numbers = count()

    def serve(self, sock: socket.socket, _: int) -> None:
        """Serves a connection of the sender to an endpoint."""
        connection = HttpConnection(sock, STAND_IN_LIMITS)
        with suppress(OSError, ConnectionClosedError, ProtocolError):
            while self.respond(connection):
                pass
        connection.close()

    def respond(self, connection: HttpConnection) -> bool:
        """Serves one call; returns whether the connection is kept."""
        request = connection.read_request()
        call = Call(monotonic())
        self.calls[request.headers[wire_names.TRACE_ID_HEADER].decode()].append(call)
        drawn = self.random.random()
        if drawn < HANG_SHARE:
            call.hung = True
            connection.receive()  # returns when the sender gives up
            call.ended_at = monotonic()
            return False
        gevent.sleep(self.random.uniform(*SERVICE_S))
        call.ended_at = monotonic()
        call.delivered = drawn >= HANG_SHARE + REFUSED_SHARE
        connection.write(OK if call.delivered else REFUSED)
        return True

    def submit_often(self, address: tuple[str, int], key: int) -> None:
        """Submits messages of a key, one after the other. Never returns."""
        own = HttpClient(address, STAND_IN_LIMITS, RESPONSE_TIMEOUT_S)
        while True:
            gevent.sleep(self.random.uniform(*INTERVAL_S))
            use_old = bool(self.old_clients) and self.random.random() < 0.5
            self.submit(self.old_clients.pop() if use_old else own, key)

    def submit(self, client: HttpClient, key: int) -> None:
        """Submits one message."""
        message_id = f"m{next(self.numbers)}"
        headers = [
            (wire_names.TRACE_ID_HEADER, message_id.encode()),
            (wire_names.TRAFFIC_CLASS_HEADER, b"tag"),
            (wire_names.IDEMPOTENCY_KEY_HEADER, message_id.encode()),
            (wire_names.TIME_LEFT_HEADER, b"%d" % (1000 * self.random.choice(DEADLINES_S))),
            (wire_names.DESTINATION_HEADER, b"dest=%d" % (key % DESTINATIONS)),
            (b"cookie", b"about=k%d" % key),
        ]
        sent_at = monotonic()
        with suppress(RequestError):
            status = client.request(b"POST %s HTTP/1.1" % wire_names.SUBMIT_PATH, headers).status
            if status == 202:
                self.accepted.append(Submission(message_id, key, sent_at, monotonic()))

    def connect_old(self, address: tuple[str, int]) -> None:
        """Opens connections that the process which ends next accepts, as the only one."""
        self.old_clients = [
            HttpClient(address, STAND_IN_LIMITS, RESPONSE_TIMEOUT_S) for _ in range(OLD_CONNECTIONS)
        ]
        for client in self.old_clients:
            with suppress(RequestError):
                client.request(b"GET %s HTTP/1.1" % wire_names.READINESS_PATH)

    def run(self, sender: SoakSender) -> None:
        """Plays the upgrades until all messages have ended."""
        jobs = [gevent.spawn(partial(self.submit_often, sender.address, key)) for key in range(KEYS)]
        gevent.sleep(CALM_S)
        for _ in range(UPGRADES):
            self.connect_old(sender.address)
            sender.upgrade(self.how)
            if self.how is StopMethod.KILL:
                self.kills.append(monotonic())
            gevent.sleep(self.random.uniform(*INTERVAL_S))
        gevent.sleep(CALM_S)
        gevent.killall(jobs)
        gevent.sleep(FINAL_S)
        for agent in sender.agents:
            for notice, at in agent.notices:
                self.notices.setdefault(str(notice["id"]), at)

    def broken(self) -> list[str]:
        """Returns what broke the order, or the rest of a key."""
        found = []
        for key in range(KEYS):
            queue = [one for one in self.accepted if one.key == key]
            for number, later in enumerate(queue):
                if self.calls[later.message_id]:
                    begun_at = self.calls[later.message_id][0].begun_at
                    earlier = [one for one in queue[:number] if one.answered_at < later.sent_at]
                    found += [text for one in earlier for text in self.broken_by(one, later, begun_at)]
        return found

    def broken_by(self, earlier: Submission, later: Submission, begun_at: float) -> list[str]:
        """Returns how the first call of a message breaks the order after an earlier one."""
        calls = self.calls[earlier.message_id]
        ends = [call.ended_at for call in calls if call.delivered]
        ends += [self.notices[earlier.message_id]] if earlier.message_id in self.notices else []
        found = []
        if not ends or min(ends) > begun_at + SLACK_S:
            found.append(f"{later.message_id} was called before {earlier.message_id} had ended")
        for call in calls:
            rested_s = begun_at - call.ended_at
            if call.hung and 0 <= rested_s < SETTLE_S - SLACK_S and not self.was_killed(call):
                found.append(f"{later.message_id} was called {rested_s:.3f} s after {earlier.message_id}")
        return found

    def was_killed(self, call: Call) -> bool:
        """Whether a process was killed while the call was out."""
        return any(call.begun_at <= at <= call.ended_at + SLACK_S for at in self.kills)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1..8"))
    failed = 0
    for seed in parser.parse_args().seeds:
        play = Play(seed)
        with tempfile.TemporaryDirectory(prefix="order-") as folder:
            settings = soak_settings()
            with upgradable_sender(Path(folder) / "n0", settings, DESTINATIONS, play.serve) as sender:
                play.run(sender)
        broken = play.broken()
        failed += bool(broken)
        line = f"seed {seed}, {play.how.name}: {len(play.accepted)} accepted, {len(broken)} broken"
        print(line, *broken[:4], sep="\n  ", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
