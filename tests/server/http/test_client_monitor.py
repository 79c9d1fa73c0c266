"""The log line on client connections that ended."""

from __future__ import annotations

from pathlib import Path
from unittest.mock import Mock

from support.sender_harness import wait_until
from support.sender_parts import client_listener
from support.server import receive_all, serve, tcp_pair

from ashpath.server.http.client_monitor import ClientMonitor
from ashpath.server.http.connection_table import ConnectionState


def test_closed_client_connections_are_logged_with_their_reasons(tmp_path: Path) -> None:
    """Guards against evictions and rejections that no line shows."""
    listener, _, _ = client_listener(tmp_path, silent_eviction_s=0.0)
    logger = Mock()
    monitor = ClientMonitor(listener.table, logger)
    (near, rejected), (other, silent) = tcp_pair(), tcp_pair()
    serve(listener, near)
    rejected.sendall(b"nonsense\r\n\r\n")
    assert receive_all(rejected).startswith(b"HTTP/1.1 400")
    rejected.close()
    waiting = serve(listener, other)
    wait_until(lambda: listener.table.count(ConnectionState.AWAITING_FIRST_REQUEST))
    assert listener.table.evict_one()
    wait_until(lambda: waiting.dead)
    wait_until(lambda: sum(listener.table.closed.values()) == 2)
    monitor.report()
    monitor.report()
    logger.info.assert_called_once_with(
        "client connections closed",
        reasons="evicted silent:1,rejected:1",
        rejections="ParserError:1",
        connections="",
    )
    silent.close()
