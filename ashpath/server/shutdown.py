"""Graceful shutdown after SIGTERM. Messages that cannot be finished in time stay in the write-ahead log.

| state | entered | left |
| --- | --- | --- |
| RUNNING | at the start | at SIGTERM |
| ACCEPTING | from RUNNING, where this process bound the address itself | after `accept_after_term_s` |
| REJECTING | from ACCEPTING | without work, or `attempts_after_term_s` after SIGTERM |
| HANDING_OVER | from RUNNING, where the listening socket is inherited | as REJECTING |
| FINISHING | from REJECTING, HANDING_OVER | no nontransferable work, or `end_after_term_s` after SIGTERM |
| ENDED | from FINISHING | the process exits |

ACCEPTING: connections and messages are still accepted, and each response ends its connection. REJECTING: idle
connections are closed, new requests get 503, attempts still start. HANDING_OVER: the other process accepts
connections, clients of this process are drained, attempts still start, but none to destinations that are down
or in slow start. FINISHING: no attempt starts; attempts in flight, notifications and requests that are being
read or answered continue. ENDED: the listening socket is closed first, so that new connections are refused
and not reset; then the connections are closed.

A request that is incomplete `requests_after_term_s` after SIGTERM is answered 503. A second SIGTERM has no
effect: a new shutdown would delay the responses that the first one still has to send. Messages that are
queued at the end are restored by the next incarnation, or adopted by the other process of a hot upgrade.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from time import monotonic

import gevent
from gevent.event import Event

from ashpath.server.delivery.notifier import Notifier
from ashpath.server.http.admission import Admission
from ashpath.server.http.listener import ClientListener
from ashpath.server.limits.shutdown import ShutdownLimits
from ashpath.server.logs import Logger
from ashpath.server.policy_runner import PolicyRunner

CHECK_INTERVAL_S = 0.02  # between two checks for remaining work


class ShutdownState(Enum):
    """The states of a shutdown; see the table in the module docstring."""

    RUNNING = "running"
    ACCEPTING = "accepting"
    REJECTING = "rejecting"
    HANDING_OVER = "handing over"
    FINISHING = "finishing"
    ENDED = "ended"


class GracefulShutdown:
    """Runs the shutdown from SIGTERM to the end. `ended` is set when the last state is reached."""

    def __init__(
        self,
        listener: ClientListener,
        admission: Admission,
        policy_runner: PolicyRunner,
        notifier: Notifier,
        limits: ShutdownLimits,
        logger: Logger,
    ) -> None:
        self.listener = listener
        self.admission = admission
        self.policy_runner = policy_runner
        self.notifier = notifier
        self.limits = limits
        self.logger = logger
        self.state = ShutdownState.RUNNING
        self.ended = Event()

    @property
    def has_begun(self) -> bool:
        """Whether `run` has been called."""
        return self.state is not ShutdownState.RUNNING

    def run(self) -> None:
        """Shuts the sender down, and returns at the end. Returns at once if a shutdown is already in
        progress."""
        if self.has_begun:
            return
        began = monotonic()
        self.logger.info(
            "shutdown started",
            messages=len(self.policy_runner.messages),
            in_flight=len(self.policy_runner.attempts),
        )
        self.listener.begin_shutdown(began + self.limits.requests_after_term_s)
        if self.listener.inherited:
            self.hand_over()
        else:
            self.stop_accepting()
        self.wait_while(self.has_work, began + self.limits.attempts_after_term_s)
        self.finish(began + self.limits.end_after_term_s)
        self.end()

    def hand_over(self) -> None:
        """Leaves new connections to the other process, which later adopts the messages that are queued in
        this one."""
        self.state = ShutdownState.HANDING_OVER
        self.listener.stop()
        self.listener.descriptors.begin_draining()
        self.policy_runner.hand_over()
        gevent.spawn(self.listener.drain_clients, self.listener.limits.drain_clients_s)

    def stop_accepting(self) -> None:
        """Stops accepting messages. Connections are accepted until the end, and their requests get a
        response."""
        self.state = ShutdownState.ACCEPTING
        gevent.sleep(self.limits.accept_after_term_s)
        self.state = ShutdownState.REJECTING
        self.admission.rejecting_all = True
        self.listener.close_idle()

    def finish(self, deadline: float) -> None:
        """Starts no further attempt, and waits for the work that no other process can finish."""
        self.state = ShutdownState.FINISHING
        self.policy_runner.stop_attempts()
        self.listener.close_idle()
        self.wait_while(self.has_nontransferable_work, deadline)

    def end(self) -> None:
        """Closes the listening socket and all connections. Clients that connect later are refused at once;
        without the close they would get a reset when the process ends."""
        self.state = ShutdownState.ENDED
        self.listener.stop()
        self.listener.close_all()
        self.logger.info(
            "shutdown finished",
            messages=len(self.policy_runner.messages),
            in_flight=len(self.policy_runner.attempts),
        )
        self.ended.set()

    def has_work(self) -> bool:
        """Returns whether messages, connected clients or nontransferable work remain."""
        return (
            bool(self.policy_runner.messages)
            or self.listener.has_connections()
            or self.has_nontransferable_work()
        )

    def has_nontransferable_work(self) -> bool:
        """Returns whether work remains that no other process can finish: attempts in flight, pending
        notifications, or open client requests."""
        return (
            bool(self.policy_runner.attempts)
            or self.notifier.has_pending
            or self.listener.has_open_requests()
        )

    def wait_while(self, busy: Callable[[], bool], deadline: float) -> None:
        """Waits until `busy` returns False, but no longer than `deadline`, in seconds of the monotonic
        clock."""
        while monotonic() < deadline and busy():
            gevent.sleep(CHECK_INTERVAL_S)
