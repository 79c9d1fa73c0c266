"""The account of receive buffers, and connections that share it."""

from __future__ import annotations

from pathlib import Path

import pytest
from gevent import socket
from support.sender_harness import request, wait_until
from support.sender_parts import ListenerSetup, client_listener
from support.server import receive_all, serve, tcp_pair

from ashpath.policy.memory_budget import MemoryShares
from ashpath.server.http.buffer_memory import AccountedBuffer, BufferMemory, ResponseMemory
from ashpath.server.http.close_reason import ClientCloseReason
from ashpath.server.http.connection_table import ConnectionState
from ashpath.server.http.errors import MemoryBudgetError

BODY = "x" * 40_000


def shares(request_bytes: int, response_bytes: int = 0) -> MemoryShares:
    return MemoryShares(1 << 10, request_bytes, response_bytes, 1 << 30)


def listener_with(folder: Path, request_bytes: int, stalled_request_s: float = 0.5) -> ListenerSetup:
    setup = client_listener(folder, stalled_request_s=stalled_request_s)
    setup.listener.memory.shares = shares(request_bytes)
    return setup


def half_request(trace: str) -> bytes:
    return request(trace, "free", BODY, 1)[:-1]


def stall(setup: ListenerSetup, trace: str) -> socket.socket:
    """Returns a client that stops just before the end of a request with a large body."""
    near, far = tcp_pair()
    serve(setup.listener, near)
    far.sendall(half_request(trace))
    reserved = setup.listener.memory.reserved_bytes
    wait_until(lambda: setup.listener.memory.reserved_bytes > reserved)
    return far


def test_growth_is_reserved_and_given_back() -> None:
    memory = BufferMemory()
    buffer = AccountedBuffer(4, 64, lambda size: memory.reserve(size, 40), memory.release)
    buffer.free_space(4).release()
    assert memory.reserved_bytes == 0  # the first buffer
    buffer.free_space(30).release()
    assert memory.reserved_bytes == buffer.allocated_bytes - 4
    allocated = buffer.allocated_bytes
    with pytest.raises(MemoryBudgetError):
        buffer.free_space(60)
    assert buffer.allocated_bytes == allocated
    buffer.commit(30)
    buffer.consume(30)
    assert (memory.reserved_bytes, memory.peak_bytes, memory.refused) == (0, allocated - 4, 1)


def test_response_beyond_share_is_refused() -> None:
    memory = ResponseMemory()
    memory.shares = shares(0, response_bytes=100)
    memory.reserve_for(100)
    with pytest.raises(MemoryBudgetError):
        memory.reserve_for(1)


def test_body_without_memory_is_refused_before_it_is_read(tmp_path: Path) -> None:
    """Guards against crowds that fill the memory: the declared length alone is answered 503."""
    setup = listener_with(tmp_path, request_bytes=30_000)
    near, far = tcp_pair()
    serve(setup.listener, near)
    far.sendall(request("a", "free", BODY, 1)[:300])
    assert receive_all(far).startswith(b"HTTP/1.1 503 ")
    assert setup.listener.memory.reserved_bytes == 0
    assert setup.listener.table.rejections == {"MemoryBudgetError": 1}


def test_small_request_needs_no_share(tmp_path: Path) -> None:
    """A crowd that has all the memory keeps nobody from submitting a message of usual size."""
    setup = listener_with(tmp_path, request_bytes=0)
    near, far = tcp_pair()
    serve(setup.listener, near)
    far.sendall(request("a", "free", "x" * 500, 1))
    assert far.recv(999).startswith(b"HTTP/1.1 202 ")


def test_stalled_request_gives_its_memory_to_another(tmp_path: Path) -> None:
    """The stalled client is told to come back, and the other one's message is accepted."""
    setup = listener_with(tmp_path, request_bytes=60_000, stalled_request_s=0.0)
    stalled = stall(setup, "a")
    near, far = tcp_pair()
    serve(setup.listener, near)
    far.sendall(request("b", "free", BODY, 1))
    assert far.recv(999).startswith(b"HTTP/1.1 202 ")
    answer = receive_all(stalled)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert answer.count(b"HTTP/1.1") == 1
    stalled.close()
    wait_until(lambda: setup.listener.table.closed)
    assert setup.listener.table.closed == {ClientCloseReason.REJECTED: 1}  # no error in the drain behind it
    assert setup.receiver.events == ["submitted b"]
    assert setup.listener.memory.reserved_bytes == 0


def test_request_that_still_makes_progress_keeps_its_memory(tmp_path: Path) -> None:
    setup = listener_with(tmp_path, request_bytes=60_000, stalled_request_s=60.0)
    first = stall(setup, "a")
    near, far = tcp_pair()
    serve(setup.listener, near)
    far.sendall(half_request("b"))
    assert receive_all(far).startswith(b"HTTP/1.1 503 ")
    first.sendall(b"x")
    assert first.recv(999).startswith(b"HTTP/1.1 202 ")


def test_client_that_leaves_gives_its_memory_back(tmp_path: Path) -> None:
    setup = listener_with(tmp_path, request_bytes=60_000)
    stall(setup, "a").close()
    wait_until(lambda: setup.listener.memory.reserved_bytes == 0)
    stalled = stall(setup, "b")
    connection = setup.listener.table.connections(ConnectionState.READING)[0]
    connection.close()
    wait_until(lambda: setup.listener.memory.reserved_bytes == 0)
    stalled.close()


def test_buffer_that_is_freed_while_it_grows_keeps_the_account_right() -> None:
    """Guards against an account that falls below what is held: a stalled request that needs more memory may
    itself be the one that is given up."""
    memory = BufferMemory()

    def reserve(size: int) -> None:
        if memory.reserved_bytes:
            buffer.clear()
        memory.reserve(size, 1000)

    buffer = AccountedBuffer(4, 64, reserve, memory.release)
    buffer.free_space(30).release()
    buffer.commit(30)
    buffer.free_space(60).release()
    buffer.clear()
    assert memory.reserved_bytes == 0
