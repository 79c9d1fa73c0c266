"""Faults on the paths of a real sender reach it or its peers, and are recorded."""

from __future__ import annotations

import signal
from collections.abc import Iterator

import gevent
import pytest
from support.sender_harness import PLATFORM, SenderHarness, request, wait_until
from support.server import READINESS_REQUEST

from ashpath.emulator.fault_injection.tcp_proxy import FaultProxy, ProxyMode
from ashpath.emulator.soak.paths import LATE_S, ClientPath, NoticePath
from ashpath.emulator.soak.records import SoakRecords
from ashpath.emulator.stand_ins import STAND_IN_LIMITS
from ashpath.server.addresses import parse_address
from ashpath.server.http.connection import open_connection
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError

FAULT_S = 1.0
CLIENT_TIMEOUT_S = 0.6
NO_RESPONSE, CLOSED = 0, -1


@pytest.fixture
def records() -> SoakRecords:
    return SoakRecords()


@pytest.fixture
def client_path(harness: SenderHarness, records: SoakRecords) -> Iterator[ClientPath]:
    harness.start()
    path = ClientPath(0, harness.address, records)
    yield path
    path.stop()


def submit(path: ClientPath, message_id: str) -> int:
    """Returns the status of the response, NO_RESPONSE, or CLOSED if the connection ended without one."""
    connection = open_connection(path.address, STAND_IN_LIMITS)
    try:
        with gevent.Timeout(CLIENT_TIMEOUT_S):
            connection.write(request(message_id, "free", "200", 1))
            return connection.read_response().status
    except (OSError, ConnectionClosedError):
        return CLOSED
    except (ProtocolError, gevent.Timeout):
        return NO_RESPONSE
    finally:
        connection.close()


@pytest.mark.parametrize(
    ("mode", "status", "is_received"),
    [
        (ProxyMode.LATE, 202, True),
        (ProxyMode.RESET, CLOSED, False),
        (ProxyMode.RESET_AFTER_BYTE, CLOSED, False),
        (ProxyMode.HALF_RESPONSE, NO_RESPONSE, True),
        (ProxyMode.SILENT, NO_RESPONSE, False),
    ],
)
def test_client_path_fault_reaches_clients_of_real_sender(
    harness: SenderHarness, client_path: ClientPath, mode: ProxyMode, status: int, is_received: bool
) -> None:
    """`is_received`: whether the sender accepts the request, whatever the client receives."""
    fault = gevent.spawn(client_path.fail, mode, FAULT_S)
    gevent.sleep(0)
    assert submit(client_path, "during") == status
    fault.get()
    assert submit(client_path, "after") == 202
    wait_until(lambda: harness.attempt_count("after"))
    assert harness.attempt_count("during") == int(is_received)
    assert client_path.proxy.accepted[mode] == 1


@pytest.mark.parametrize(
    ("mode", "closes"), [(ProxyMode.RESET, True), (ProxyMode.LATE, False), (ProxyMode.SILENT, False)]
)
def test_client_fault_is_recorded_for_times_at_which_proxy_closes_connections(
    client_path: ClientPath, records: SoakRecords, mode: ProxyMode, closes: bool
) -> None:
    client_path.fail(mode, 2 * LATE_S)
    faults = records.client_faults
    recorded_s = sum(fault.ended_at - fault.began_at for fault in faults)
    assert recorded_s >= 2 * LATE_S if closes else recorded_s < 0.1
    assert faults[-1].ended_at - faults[0].began_at >= 2 * LATE_S


def test_reset_by_sender_reaches_client_through_proxy(
    harness: SenderHarness, client_path: ClientPath
) -> None:
    connection = open_connection(client_path.address, STAND_IN_LIMITS)
    wait_until(lambda: client_path.proxy.accepted[ProxyMode.FORWARD])
    gevent.sleep(0.1)  # the sender accepts the connection, and is then killed with unread bytes in it
    assert harness.process is not None
    harness.process.send_signal(signal.SIGSTOP)  # the bytes stay unread
    connection.write(b"POST")
    gevent.sleep(0.1)
    harness.kill()
    with pytest.raises(ConnectionResetError):
        connection.receive()


@pytest.fixture
def notice_path(harness: SenderHarness, records: SoakRecords) -> Iterator[NoticePath]:
    path = NoticePath(0, [f"127.0.0.1:{harness.servers[PLATFORM].server_port}"], records)
    harness.config["discovery"] = path.addresses[0]
    harness.configure()
    harness.start()
    yield path
    path.stop()


@pytest.mark.parametrize(
    ("mode", "is_received"),
    [
        (ProxyMode.LATE, True),
        (ProxyMode.RESET_AFTER_BYTE, False),
        (ProxyMode.HALF_RESPONSE, True),
        (ProxyMode.SILENT, False),
    ],
)
def test_notice_that_proxy_cuts_is_sent_again(
    harness: SenderHarness, records: SoakRecords, notice_path: NoticePath, mode: ProxyMode, is_received: bool
) -> None:
    """`is_received`: whether the notice reaches the agent during the fault. Polls pass meanwhile."""
    fault = gevent.spawn(notice_path.fail, mode, 2.0)
    gevent.sleep(0)
    polls_before = sum(harness.poll_counts.values())
    assert harness.submit("cut", "free", "hang", 1, time_left_ms=300) == 202
    wait_until(lambda: notice_path.proxies[0].accepted[mode])
    fault.get()
    received_during = len(harness.notified("cut"))
    assert bool(received_during) is is_received
    assert sum(harness.poll_counts.values()) > polls_before
    is_acknowledged = mode is ProxyMode.LATE
    wait_until(lambda: is_acknowledged or len(harness.notified("cut")) > received_during)
    assert records.notice_faults[0].cuts_acknowledgements is (mode is ProxyMode.HALF_RESPONSE)


def test_proxy_with_first_byte_forwards_and_keeps_other_connections(harness: SenderHarness) -> None:
    harness.start()
    proxy = FaultProxy(harness.address, first_byte=b"P")
    spared, failing = (open_connection(parse_address(proxy.address), STAND_IN_LIMITS) for _ in range(2))
    for connection in (spared, failing):
        connection.write(READINESS_REQUEST if connection is spared else request("m", "free", "200", 1))
        assert connection.read_response().status in {200, 202}
    proxy.reset_connections()
    with pytest.raises(ConnectionResetError):
        failing.receive()
    spared.finish_response()
    spared.write(READINESS_REQUEST)
    assert spared.read_response().status == 200
    proxy.stop()
