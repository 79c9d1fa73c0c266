"""Faults on the paths of a real sender reach it or its peers, and are recorded."""

from __future__ import annotations

import signal
from collections.abc import Iterator

import gevent
import pytest
from support.world import World, request, wait_until

from ashpath.emulator.fault_injection.tcp_proxy import ProxyMode
from ashpath.emulator.soak.paths import LATE_S, ClientPath
from ashpath.emulator.soak.records import SoakRecords
from ashpath.emulator.stand_ins import stand_in_limits
from ashpath.server.http.connection import open_connection
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError

FAULT_S = 1.0
CLIENT_TIMEOUT_S = 0.6
NO_RESPONSE, CLOSED = 0, -1
LIMITS = stand_in_limits(descriptors=256, timeout_s=60.0)


@pytest.fixture
def records() -> SoakRecords:
    return SoakRecords()


@pytest.fixture
def client_path(world: World, records: SoakRecords) -> Iterator[ClientPath]:
    world.start()
    path = ClientPath(0, world.address, records)
    yield path
    path.stop()


def submit(path: ClientPath, message_id: str) -> int:
    """Returns the status of the response, NO_RESPONSE, or CLOSED if the connection ended without one."""
    connection = open_connection(path.address, LIMITS)
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
    world: World, client_path: ClientPath, mode: ProxyMode, status: int, is_received: bool
) -> None:
    """`is_received`: whether the sender accepts the request, whatever the client receives."""
    fault = gevent.spawn(client_path.fail, mode, FAULT_S)
    gevent.sleep(0)
    assert submit(client_path, "during") == status
    fault.get()
    assert submit(client_path, "after") == 202
    wait_until(lambda: world.attempt_count("after"))
    assert world.attempt_count("during") == int(is_received)
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


def test_reset_by_sender_reaches_client_through_proxy(world: World, client_path: ClientPath) -> None:
    connection = open_connection(client_path.address, LIMITS)
    wait_until(lambda: client_path.proxy.accepted[ProxyMode.FORWARD])
    gevent.sleep(0.1)  # the sender accepts the connection, and is then killed with unread bytes in it
    assert world.process is not None
    world.process.send_signal(signal.SIGSTOP)  # the bytes stay unread
    connection.write(b"POST")
    gevent.sleep(0.1)
    world.kill()
    with pytest.raises(ConnectionResetError):
        connection.receive()
