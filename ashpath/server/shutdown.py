"""Graceful shutdown after SIGTERM: what can be finished is, the rest stays in the write-ahead log.

| state | entered | left |
| --- | --- | --- |
| RUNNING | at the start | at SIGTERM |
| ACCEPTING | from RUNNING, where this process bound the address itself | after `accept_after_term_s` |
| REJECTING | from ACCEPTING | without work, or `attempts_after_term_s` after SIGTERM |
| HANDING_OVER | from RUNNING, where the listening socket is inherited | as REJECTING |
| FINISHING | from REJECTING and HANDING_OVER | without unfinishable work, or `end_after_term_s` after it |
| ENDED | from FINISHING | the process exits |

ACCEPTING: connections and messages are still accepted, and each response ends its connection. REJECTING:
idle connections are closed, new requests get 503, attempts still begin. HANDING_OVER: the other process
accepts, clients here are drained, attempts still begin. FINISHING: no attempt begins; attempts in flight,
notifications and requests within a connection go on. ENDED: the listening socket is closed first, so that who
connects is refused, in place of a reset; then the connections.

A request that is not whole `requests_after_term_s` after SIGTERM is answered 503. A second SIGTERM changes
nothing: it would put off responses that the first one still owes. What is queued at the end is restored by
the next incarnation, or adopted by the other process of a hot upgrade.
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
from ashpath.server.limits import ServerLimits
from ashpath.server.logs import Logger
from ashpath.server.policy_runner import PolicyRunner

CHECK_INTERVAL_S = 0.02  # between two looks at what is still to be finished


class ShutdownState(Enum):
    """See the table of the module."""

    RUNNING = "running"
    ACCEPTING = "accepting"
    REJECTING = "rejecting"
    HANDING_OVER = "handing over"
    FINISHING = "finishing"
    ENDED = "ended"


class GracefulShutdown:
    """Carries the sender from SIGTERM to its end. `ended` is set as the last state is reached."""

    def __init__(
        self,
        listener: ClientListener,
        admission: Admission,
        policy_runner: PolicyRunner,
        notifier: Notifier,
        limits: ServerLimits,
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

    def run(self) -> None:
        """Returns at the end; at once where a shutdown is under way."""
        if self.state is not ShutdownState.RUNNING:
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
        """The other process accepts from here on, and adopts later what is queued here."""
        self.state = ShutdownState.HANDING_OVER
        self.listener.stop()
        gevent.spawn(self.listener.drain_clients, self.limits.drain_clients_s)

    def stop_accepting(self) -> None:
        """Connections that still come after this are accepted to the end, and get a response."""
        self.state = ShutdownState.ACCEPTING
        gevent.sleep(self.limits.accept_after_term_s)
        self.state = ShutdownState.REJECTING
        self.admission.rejecting_all = True
        self.listener.close_idle()

    def finish(self, deadline: float) -> None:
        """Begins no further attempt, and waits for what no other process can finish."""
        self.state = ShutdownState.FINISHING
        self.policy_runner.stop_attempts()
        self.listener.close_idle()
        self.wait_while(self.has_nontransferable_work, deadline)

    def end(self) -> None:
        """Who connects now is refused at once, in place of a reset once the process is gone."""
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
        """Messages, connected clients, or work that cannot be left to another process."""
        return (
            bool(self.policy_runner.messages)
            or self.listener.has_connections()
            or self.has_nontransferable_work()
        )

    def has_nontransferable_work(self) -> bool:
        """What no other process can finish: attempts in flight, notifications on their way, clients within a
        request."""
        return (
            bool(self.policy_runner.attempts)
            or self.notifier.has_pending
            or self.listener.has_open_requests()
        )

    def wait_while(self, busy: Callable[[], bool], deadline: float) -> None:
        """Until `deadline` by the monotonic clock, in seconds, at the latest."""
        while monotonic() < deadline and busy():
            gevent.sleep(CHECK_INTERVAL_S)
