"""Helpers of the tests that run the sender on sockets."""

from __future__ import annotations

import signal
import socket as standard_socket

import gevent
import structlog
from gevent import Timeout, socket
from gevent.server import StreamServer

from ashpath.server.addresses import Address
from ashpath.server.http.client_socket import ClientSocket
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.listener import ClientListener
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from support.sender_harness import LIMITS, SenderHarness, wait_until


def live_messages(harness: SenderHarness) -> dict[int, StoredMessage]:
    """Returns the live messages by message id, read from a copy of the write-ahead log."""
    copy = harness.folder / f"copy{len(list(harness.folder.iterdir()))}"
    copy.mkdir()
    (copy / "journal").write_bytes((harness.folder / "state" / "journal").read_bytes())
    write_ahead_log = WriteAheadLog(copy, LIMITS.storage.disk_bytes)
    write_ahead_log.close()
    return write_ahead_log.messages.live


LOG = structlog.get_logger()


def address_of(server: StreamServer) -> Address:
    """Returns the loopback address of a test's server."""
    assert server.server_port is not None
    return "127.0.0.1", server.server_port


def tcp_pair() -> tuple[socket.socket, socket.socket]:
    """Returns both ends of a loopback TCP connection. A Unix socket pair does not show what a reset drops."""
    with standard_socket.create_server(("127.0.0.1", 0)) as server:
        client_end = socket.create_connection(server.getsockname())
        accepted = server.accept()[0]
        return socket.socket(fileno=accepted.detach()), client_end


def reload_configuration(harness: SenderHarness, event: str, **changes: object) -> None:
    """Changes the configuration file and sends SIGHUP. Returns when the log contains the event once more."""
    log = harness.folder / "log"
    before = log.read_text().count(event)
    harness.config |= changes
    harness.configure()
    assert harness.process is not None
    harness.process.send_signal(signal.SIGHUP)
    wait_until(lambda: log.read_text().count(event) > before)


def receive_all(client_end: socket.socket) -> bytes:
    """Returns all bytes up to an orderly close. Raises ConnectionResetError if the connection is reset."""
    data = b""
    with Timeout(20):
        while piece := client_end.recv(65536):
            data += piece
    return data


def serve(listener: ClientListener, server_end: socket.socket) -> gevent.Greenlet[[ClientSocket], None]:
    """Serves one connection in a new greenlet."""
    return gevent.spawn(listener.serve, listener.connection_of(server_end))


READINESS_REQUEST = encode_message(b"GET /health/ready HTTP/1.1", [], b"")


def terminate(harness: SenderHarness) -> None:
    """Sends SIGTERM and waits until the sender has exited with code 0."""
    assert harness.process is not None
    harness.process.send_signal(signal.SIGTERM)
    wait_until(lambda: harness.process is not None and harness.process.poll() is not None)
    assert harness.process.returncode == 0
