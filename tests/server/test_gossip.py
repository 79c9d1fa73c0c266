"""Gossip between senders over UDP datagrams."""

from __future__ import annotations

import errno
import os
from collections.abc import Iterator
from typing import Any
from unittest.mock import Mock

import gevent
import pytest
from gevent import socket
from support.sender_harness import free_address, wait_until

from ashpath.server.addresses import Address
from ashpath.server.gossip import MAX_MESSAGE_BYTES, Gossip, bind
from ashpath.server.local_errors import RETRY_PAUSE_S

UNLISTED_ADDRESS: Address = ("127.0.0.1", 9)
SEND_ERRORS = [
    errno.EAGAIN,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPERM,
    errno.EACCES,
    errno.EINVAL,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ECONNREFUSED,
]
LOCAL_RECEIVE_ERRORS = [errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM]
REPORTED_RECEIVE_ERRORS = [
    errno.ECONNREFUSED,
    errno.EHOSTUNREACH,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.EPROTO,
    errno.ETIMEDOUT,
]


class Peer:
    """The gossip of one sender at an address of its own, with the messages that it received."""

    def __init__(self) -> None:
        self.address: Address = free_address()
        self.received: list[bytes] = []
        self.logger = Mock()
        self.gossip = Gossip(self, self.logger)

    def receive_gossip(self, message: bytes) -> None:
        self.received.append(message)


@pytest.fixture
def peers() -> Iterator[tuple[Peer, Peer]]:
    """Two peers that list each other: the receiver and the publisher."""
    receiver, publisher = Peer(), Peer()
    receiver.gossip.change_addresses(receiver.address, frozenset({receiver.address, publisher.address}))
    publisher.gossip.change_addresses(publisher.address, frozenset({receiver.address}))
    yield receiver, publisher
    for peer in (receiver, publisher):
        peer.gossip.change_addresses(None, frozenset())


def test_message_reaches_peer_that_lists_its_sender(peers: tuple[Peer, Peer]) -> None:
    receiver, publisher = peers
    publisher.gossip.publish(b"first")
    wait_until(lambda: receiver.received == [b"first"])


def test_oversized_and_unlisted_messages_are_not_received(peers: tuple[Peer, Peer]) -> None:
    """Each message of an unlisted sender is counted; the first, second and fourth are logged."""
    receiver, publisher = peers
    publisher.gossip.publish(b"first")
    wait_until(lambda: receiver.received == [b"first"])
    publisher.gossip.publish(b"x" * (MAX_MESSAGE_BYTES + 44))  # too long to be sent
    assert publisher.gossip.sent == 1
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unlisted_socket:
        assert [unlisted_socket.sendto(b"back 7 x1", receiver.address) for _ in range(5)] == [9] * 5
        wait_until(lambda: receiver.gossip.dropped == 5)
    assert receiver.received == [b"first"]
    assert receiver.logger.info.call_count == 3


def test_gossip_resumes_after_it_was_switched_off(peers: tuple[Peer, Peer]) -> None:
    """A failed change to an address in use leaves the previous address in service."""
    receiver, publisher = peers
    receiver.gossip.change_addresses(None, frozenset())
    publisher.gossip.publish(b"lost")  # the receiver has no socket; no error is raised
    receiver.gossip.change_addresses(receiver.address, frozenset({publisher.address}))
    with pytest.raises(OSError, match="in use"):
        receiver.gossip.change_addresses(publisher.address, frozenset())
    publisher.gossip.publish(b"still received")
    wait_until(lambda: receiver.received == [b"still received"])


class FaultySocket(socket.socket):
    """A datagram socket whose next receives and sends raise the errors of two lists."""

    def __init__(self, *arguments: int) -> None:
        super().__init__(*arguments)
        self.receive_errors: list[int] = []
        self.send_errors: list[int] = []
        self.receives = 0
        self.sends = 0

    def recvfrom(self, *arguments: int) -> tuple[bytes, Address]:
        self.receives += 1
        if self.receive_errors:
            raise OSError(self.receive_errors.pop(0), "injected")
        received: tuple[bytes, Address] = super().recvfrom(*arguments)
        return received

    def sendto(self, *arguments: Any) -> int:  # noqa: ANN401 - as the real call
        self.sends += 1
        if self.send_errors:
            raise OSError(self.send_errors.pop(0), "injected")
        sent: int = super().sendto(*arguments)
        return sent


@pytest.fixture
def faulty_peers(monkeypatch: pytest.MonkeyPatch) -> Iterator[tuple[Peer, Peer]]:
    """The fixture `peers`, with faulty sockets."""
    monkeypatch.setattr(socket, "socket", FaultySocket)
    receiver, publisher = Peer(), Peer()
    receiver.gossip.change_addresses(receiver.address, frozenset({publisher.address}))
    publisher.gossip.change_addresses(publisher.address, frozenset({receiver.address}))
    gevent.sleep(0)  # both wait for their first message
    yield receiver, publisher
    for peer in (receiver, publisher):
        peer.gossip.change_addresses(None, frozenset())


def faulty_socket(peer: Peer) -> FaultySocket:
    """Returns the socket in use."""
    assert isinstance(peer.gossip.socket, FaultySocket)
    return peer.gossip.socket


def has_open_socket(peer: Peer) -> bool:
    """Whether a socket is bound to the peer's address."""
    return peer.gossip.socket is not None and peer.gossip.socket.getsockname() == peer.address


def test_lost_messages_are_not_a_lost_socket(faulty_peers: tuple[Peer, Peer]) -> None:
    """A send waits for nothing: neither for space in the send buffer, nor for a table of this machine."""
    receiver, publisher = faulty_peers
    first_socket = faulty_socket(publisher)
    first_socket.send_errors += SEND_ERRORS
    for _ in SEND_ERRORS:
        publisher.gossip.publish(b"lost")
    assert publisher.gossip.sent == 0
    publisher.gossip.publish(b"received")
    wait_until(lambda: receiver.received == [b"received"])
    assert publisher.gossip.socket is first_socket
    assert publisher.logger.error.call_count == 0


@pytest.mark.parametrize("number", [errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM])
def test_local_fault_ends_sends_of_a_message(faulty_peers: tuple[Peer, Peer], number: int) -> None:
    """The other peers have the same limit of this machine, so that further sends would fail as well."""
    receiver, publisher = faulty_peers
    publisher.gossip.change_addresses(publisher.address, frozenset({receiver.address, UNLISTED_ADDRESS}))
    faulty = faulty_socket(publisher)
    faulty.send_errors += [number] * 2
    publisher.gossip.publish(b"lost")
    assert faulty.sends == 1


@pytest.mark.parametrize("number", [errno.EPERM, errno.EINVAL, errno.EHOSTUNREACH, errno.ECONNREFUSED])
def test_unreachable_peer_does_not_affect_other_peers(faulty_peers: tuple[Peer, Peer], number: int) -> None:
    receiver, publisher = faulty_peers
    publisher.gossip.change_addresses(publisher.address, frozenset({receiver.address, UNLISTED_ADDRESS}))
    faulty = faulty_socket(publisher)
    faulty.send_errors.append(number)
    publisher.gossip.publish(b"message")
    assert faulty.sends == 2
    assert publisher.gossip.sent == 1


@pytest.mark.parametrize("number", LOCAL_RECEIVE_ERRORS + REPORTED_RECEIVE_ERRORS)
def test_failed_receive_is_repeated_on_the_same_socket(faulty_peers: tuple[Peer, Peer], number: int) -> None:
    receiver, publisher = faulty_peers
    first_socket = faulty_socket(receiver)
    first_socket.receive_errors += [number] * 3
    for _ in range(2):
        publisher.gossip.publish(b"message")  # the first one ends the wait that began before the errors
    wait_until(lambda: receiver.received == [b"message"] * 2)
    assert receiver.gossip.socket is first_socket
    assert receiver.logger.error.call_count == 0


@pytest.mark.parametrize("number", LOCAL_RECEIVE_ERRORS)
def test_full_table_is_not_tried_continuously(faulty_peers: tuple[Peer, Peer], number: int) -> None:
    receiver, publisher = faulty_peers
    faulty = faulty_socket(receiver)
    faulty.receive_errors += [number] * 100_000
    publisher.gossip.publish(b"message")
    before = faulty.receives
    gevent.sleep(0.3)
    assert faulty.receives - before <= 1 + 0.3 / RETRY_PAUSE_S


@pytest.mark.parametrize("number", [errno.EBADF, errno.ENOTSOCK, errno.EINVAL, errno.ENOTCONN])
def test_socket_lost_in_receive_is_reopened(faulty_peers: tuple[Peer, Peer], number: int) -> None:
    receiver, publisher = faulty_peers
    first_socket = faulty_socket(receiver)
    first_socket.receive_errors.append(number)
    publisher.gossip.publish(b"ends the wait that began before the error")
    wait_until(lambda: receiver.gossip.socket is not first_socket and has_open_socket(receiver))
    publisher.gossip.publish(b"second")
    wait_until(lambda: b"second" in receiver.received)
    assert [call.args for call in receiver.logger.error.call_args_list] == [("gossip socket lost",)]


def test_socket_lost_in_send_is_reopened(peers: tuple[Peer, Peer]) -> None:
    """The descriptor becomes that of another file, as after a wrong close elsewhere in the process."""
    receiver, publisher = peers
    first_socket = publisher.gossip.socket
    assert first_socket is not None
    with open(os.devnull) as other_file:
        os.dup2(other_file.fileno(), first_socket.fileno())
    publisher.gossip.publish(b"lost")
    assert publisher.gossip.socket is None
    publisher.gossip.publish(b"lost, without an error")
    wait_until(lambda: has_open_socket(publisher))
    publisher.gossip.publish(b"received")
    wait_until(lambda: receiver.received == [b"received"])
    receiver.gossip.publish(b"returned")
    wait_until(lambda: publisher.received == [b"returned"])
    assert [call.args for call in publisher.logger.error.call_args_list] == [("gossip socket lost",)]


def test_reopening_is_repeated_until_it_succeeds(
    faulty_peers: tuple[Peer, Peer], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The failed attempts are one line of the log."""
    receiver, publisher = faulty_peers
    failures = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRINUSE]

    def bind_after_failures(address: Address) -> socket.socket:
        if failures:
            raise OSError(failures.pop(0), "injected")
        return bind(address)

    monkeypatch.setattr("ashpath.server.gossip.bind", bind_after_failures)
    faulty_socket(receiver).receive_errors.append(errno.EBADF)
    publisher.gossip.publish(b"ends the wait that began before the error")
    wait_until(lambda: not failures and has_open_socket(receiver))
    publisher.gossip.publish(b"second")
    wait_until(lambda: b"second" in receiver.received)
    events = [call.args[0] for call in receiver.logger.error.call_args_list]
    assert events == ["gossip socket lost", "gossip not received"]


def test_address_changes_while_socket_is_lost(
    faulty_peers: tuple[Peer, Peer], monkeypatch: pytest.MonkeyPatch
) -> None:
    receiver, publisher = faulty_peers
    faulty_socket(publisher).send_errors.append(errno.EBADF)
    publisher.gossip.publish(b"lost")
    publisher.address = free_address()
    publisher.gossip.change_addresses(publisher.address, frozenset({receiver.address}))
    receiver.gossip.change_addresses(receiver.address, frozenset({publisher.address}))
    publisher.gossip.publish(b"received")
    wait_until(lambda: receiver.received == [b"received"])
    assert has_open_socket(publisher)


def test_unexpected_error_of_listener_is_logged_and_next_message_received(peers: tuple[Peer, Peer]) -> None:
    receiver, publisher = peers
    failures = [ArithmeticError]

    class FailingListener(Peer):
        def receive_gossip(self, message: bytes) -> None:
            if failures:
                raise failures.pop()
            receiver.received.append(message)

    receiver.gossip.listener = FailingListener()
    for message in (b"first", b"second"):
        publisher.gossip.publish(message)
    wait_until(lambda: receiver.received == [b"second"])
    assert receiver.logger.exception.call_count == 1
