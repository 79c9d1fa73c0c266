"""Polls the endpoint list of the platform's agent, one poll at a time, and retries after any failure.

A poll with a revision is a watch: the agent responds as soon as its list changes, or after `watch_s`. The
agent responds to a poll without a revision at once, with a snapshot; such a poll has a shorter timeout. The
table of `state` lists the results of a poll and when the next poll follows. After any sequence of failures,
the list is read again within one lease (`lease`): a change counts as received by then, once the agent had it
and was reachable. docs/architecture.md, "The way of a watch event", has the reasons.

A poll that gets no response in time continues beside the next one, until `late_poll_s` after its start;
otherwise polls of a slow agent would be aborted each time just before it responds. A late list is applied
unless another list was read since the poll began.

There are two backoffs, as two kinds of failure have opposite needs. Silence and refused connections are an
outage, whose end should be detected soon, so pauses are short. An agent that rejects polls receives more of
them than it can answer; a retry that comes sooner than the agent takes to reject one adds to the overload, so
pauses are long. Both backoffs use random pauses, so that a fleet whose polls failed together does not return
all at once. The lease limits the pauses of both.
"""

from __future__ import annotations

from random import Random
from time import monotonic

import gevent
from gevent.event import Event

from ashpath.server import wire_names
from ashpath.server.addresses import Address
from ashpath.server.agent_client import AgentConnection
from ashpath.server.backoff import Backoff
from ashpath.server.delivery.response_classifier import parse_number
from ashpath.server.discovery.departures import Departures
from ashpath.server.discovery.errors import DiscoveryError
from ashpath.server.discovery.lease import ListLease
from ashpath.server.discovery.pause import InterruptiblePause
from ashpath.server.discovery.snapshot import (
    EndpointListResponse,
    EndpointRow,
    MembershipListener,
    parse_response,
)
from ashpath.server.discovery.state import DiscoveryState, DiscoveryStateLog
from ashpath.server.http.messages import HttpResponse
from ashpath.server.limits.discovery import DiscoveryLimits
from ashpath.server.limits.http import HttpLimits
from ashpath.server.logs import Logger

OK_STATUS = 200
REJECTING_STATUSES = frozenset({429, 503})
POLL_SHARE = 0.5  # share of the remaining lease for one poll, which leaves time for another
MAX_LATE_POLLS = 2  # in addition to the current poll
MAX_LOGGED_IDS = 8  # endpoint ids in one log line


class Poll:
    """A poll in progress, in a greenlet of its own."""

    def __init__(self, connection: AgentConnection, address_changes: int, lists_read: int) -> None:
        self.connection = connection
        self.address_changes = address_changes  # `DiscoveryClient.address_changes` when the poll began
        self.lists_read = lists_read  # `DiscoveryClient.lists_read` when the poll began
        self.response: HttpResponse | None = None
        self.ended = Event()
        self.late = False  # the client no longer waits for this poll


class DiscoveryClient:
    """Polls one agent and reports to `listener`.

    `pushed`: the list is pushed to the agent, which therefore answers polls at no cost.
    `revision`: revision of the list in the configuration. `first_poll_delay_s`: seconds before the first
    poll, during which that list is in use."""

    def __init__(
        self,
        address: Address,
        limits: DiscoveryLimits,
        http_limits: HttpLimits,
        retry_s: float,
        revision: int,
        listener: MembershipListener,
        random: Random,
        logger: Logger,
        first_poll_delay_s: float = 0.0,
        *,
        pushed: bool = False,
    ) -> None:
        self.connection = AgentConnection(address, http_limits)
        self.limits = limits
        self.retry_s = retry_s
        self.revision: int | None = revision  # revision of the next poll; None: poll for a snapshot
        self.listener = listener
        self.first_poll_delay_s = first_poll_delay_s
        self.last_response_at = monotonic()  # time at which a list was last read, initially the start
        self.pause = InterruptiblePause()
        self.lease = ListLease(monotonic(), limits.list_lease_s)
        self.departures = Departures()
        self.address_changes = 0  # of the agent
        self.lists_read = 0
        self.late_polls: list[Poll] = []  # oldest first
        self.pushed = pushed
        self.stale_records = 0  # total of stale records in older lists
        self.random = random
        self.logger = logger
        self.state_log = DiscoveryStateLog(logger)
        self.silent_backoff = Backoff(random, retry_s, limits.discovery_backoff_s)
        self.rejected_backoff = Backoff(
            random,
            limits.watch_s,
            limits.discovery_rejected_backoff_s,
            limits.discovery_rejected_backoff_s,
            limits.discovery_jitter,
        )

    def change_address(self, address: Address) -> None:
        """Polls the agent at `address` from now on, starting with a snapshot.

        The new agent may number revisions from a new start, and its list may differ from that of the old
        agent. Responses of the old agent are ignored, and a pause that its failure caused ends at once."""
        self.revision = None
        self.address_changes += 1
        self.departures.agent_address_changed()
        self.lease.shorten(monotonic(), self.limits.moved_list_lease_s)
        if address != self.connection.address:
            self.silent_backoff.reset()
            self.rejected_backoff.reset()
        self.pause.interrupt()
        self.connection.change_address(address)
        for poll in self.late_polls:
            poll.connection.abort()

    def initial_snapshot(self) -> None:
        """Polls for a snapshot before any message is sent.

        The agent's current list counts as received from the start of the process, and the configuration's
        list may be older. A poll that fails at once is retried, as an agent that resets or rejects is
        running. After `initial_silence_s` of silence, or `initial_snapshots_s` of polls in all, the
        configuration's list stays in use."""
        self.revision = None
        self.first_poll_delay_s = 0.0  # the configuration's list may be unconfirmed: poll at once
        give_up_at = monotonic() + self.limits.initial_snapshots_s
        silent_s = 0.0
        while silent_s < self.limits.initial_silence_s:
            began = monotonic()
            if self.apply_if_list(self.poll(self.limits.initial_snapshot_s)):
                self.record_list_read()
            if self.lists_read:  # possibly by a late poll
                return
            ended = monotonic()
            if ended - began >= self.limits.initial_snapshot_s:
                silent_s += ended - began
            if ended >= give_up_at:
                break
            gevent.sleep(self.retry_s * self.random.random())
        self.logger.warning("endpoint list not confirmed", silent_s=round(silent_s, 2))

    def run(self) -> None:
        """Polls until the process ends."""
        gevent.sleep(self.first_poll_delay_s)
        self.first_poll_delay_s = 0.0  # a restart of this service after a fault polls at once
        while True:
            self.poll_and_pause()

    def poll_and_pause(self) -> None:
        """Polls once, logs a change of state, and pauses if the poll failed."""
        changes_before = self.address_changes
        response = self.poll(self.poll_timeout())
        if changes_before != self.address_changes:
            return  # the agent moved during the poll
        state = self.next_state(response)
        if state is DiscoveryState.ANSWERING:
            self.record_list_read()
        elif state is DiscoveryState.SILENT:
            self.revision = None  # the agent may have restarted and reset its revisions
        status = 0 if response is None else response.status
        self.state_log.poll_ended(state, status, self.revision or 0, self.list_age())
        if state is not DiscoveryState.ANSWERING:
            self.pause.sleep(self.pause_length(state, response))

    def record_list_read(self) -> None:
        """Records that a list was read now: renews the lease and resets the backoffs."""
        self.lists_read += 1
        self.last_response_at = monotonic()
        self.lease.renew(self.last_response_at)
        self.silent_backoff.reset()
        self.rejected_backoff.reset()

    def list_age(self) -> float:
        """Returns the seconds since a list was last read."""
        return monotonic() - self.last_response_at

    def poll_timeout(self) -> float:
        """Returns the timeout of the next poll in seconds.

        A healthy agent returns a snapshot at once. As the agent may be slow, a poll for a snapshot may take
        longer if the lease has time."""
        watch_s = self.limits.watch_s + self.limits.watch_grace_s
        if self.revision is not None:
            return watch_s
        if self.pushed:
            return self.limits.pushed_snapshot_s
        share_s = self.lease.remaining(monotonic()) * POLL_SHARE
        return min(watch_s, max(self.limits.snapshot_s, share_s))

    def poll(self, timeout_s: float) -> HttpResponse | None:
        """Polls once; returns the response, or None if none arrived within `timeout_s`."""
        query = b""
        if self.revision is not None:
            query = b"?index=%d&wait=%d" % (self.revision, int(self.limits.watch_s * 1000))
        request_line = b"GET %s%s HTTP/1.1" % (wire_names.ENDPOINT_LIST_PATH, query)
        poll = Poll(self.connection, self.address_changes, self.lists_read)
        gevent.spawn(self.run_poll, poll, request_line)
        poll.ended.wait(timeout_s)
        if poll.ended.is_set():  # `wait` returns False if the poll ends just as its time does
            return poll.response
        if len(self.late_polls) < MAX_LATE_POLLS:
            poll.late = True
            self.late_polls.append(poll)
        else:
            poll.connection.abort()
        self.connection = AgentConnection(self.connection.address, self.connection.limits)
        return None

    def run_poll(self, poll: Poll, request_line: bytes) -> None:
        """Calls the agent for a poll, and applies its response if the poll is late.

        An unexpected error ends only this poll, which then counts as a poll without a response."""
        try:
            self.call_agent(poll, request_line)
            if poll.late:
                self.apply_late_list(poll)
        except Exception:
            self.logger.exception("unexpected error")

    def call_agent(self, poll: Poll, request_line: bytes) -> None:
        """Calls the agent for a poll, and releases what the poll holds, however the call ends."""
        try:
            poll.response = poll.connection.call(request_line, b"", self.limits.late_poll_s)
        finally:
            if poll.late:
                self.late_polls.remove(poll)
                poll.connection.close()
            poll.ended.set()

    def apply_late_list(self, poll: Poll) -> None:
        """Applies the list of a late poll, unless another list was read or the agent moved since it began."""
        if poll.address_changes != self.address_changes or poll.lists_read != self.lists_read:
            return
        if poll.response is not None and self.apply_if_list(poll.response):
            self.record_list_read()
            status = poll.response.status
            self.state_log.poll_ended(DiscoveryState.ANSWERING, status, self.revision or 0, self.list_age())
            self.pause.interrupt()

    def next_state(self, response: HttpResponse | None) -> DiscoveryState:
        """Returns the state after a poll; applies the response if it is a readable list."""
        if response is None:
            return DiscoveryState.SILENT
        if self.apply_if_list(response):
            return DiscoveryState.ANSWERING
        if response.status in REJECTING_STATUSES:
            return DiscoveryState.REJECTING
        return DiscoveryState.UNREADABLE

    def pause_length(self, state: DiscoveryState, response: HttpResponse | None) -> float:
        """Returns the seconds until the next poll: the backoff, limited by the lease."""
        now = monotonic()
        if state is DiscoveryState.REJECTING and response is not None:
            retry_after_s = parse_number(response.headers.get(wire_names.RETRY_AFTER_HEADER))
            backoff_s = self.rejected_backoff.next_pause(retry_after_s)
            share = 1 - self.limits.discovery_jitter * self.random.random()
            return self.lease.pause_after_rejection(now, backoff_s, share)
        backoff_s = self.silent_backoff.next_pause()
        if self.pushed:
            backoff_s = min(backoff_s, self.limits.pushed_pause_s)
        return self.lease.pause_after_silence(now, backoff_s)

    def apply_if_list(self, response: HttpResponse | None) -> bool:
        """Applies the response if it is a readable list, and returns whether it was."""
        if response is None or response.status != OK_STATUS:
            return False
        return self.apply_response(response.body)

    def apply_response(self, body: bytes) -> bool:
        """Reports a snapshot or an update to the listener; False if unreadable or an empty snapshot.

        An update with an unreadable row, or with an earlier revision than the last list, may lack
        changes; the next poll requests a snapshot."""
        try:
            response = parse_response(body)
        except DiscoveryError:
            return False
        previous_revision = self.revision
        self.revision = None  # applies also if the listener raises an exception
        every_row_read = True
        if response.rows:
            rows = self.filter_stale_rows(response)
            every_row_read = self.listener.receive_members(rows, complete=response.complete)
        in_sequence = previous_revision is None or response.revision >= previous_revision
        if response.complete or (every_row_read and in_sequence):
            self.revision = response.revision
        return True

    def filter_stale_rows(self, response: EndpointListResponse) -> list[EndpointRow]:
        """Returns the rows of a list, with stale ones as draining; logs departed and stale endpoints."""
        filtered = self.departures.filter(response, monotonic())
        if filtered.departed:
            self.logger.info(
                "endpoints left",
                endpoints=",".join(filtered.departed[:MAX_LOGGED_IDS]),
                count=len(filtered.departed),
                revision=response.revision,
            )
        if filtered.stale:
            self.stale_records += len(filtered.stale)
            self.logger.warning(
                "older endpoint list",
                endpoints=",".join(filtered.stale[:MAX_LOGGED_IDS]),
                count=len(filtered.stale),
                revision=response.revision,
            )
        return filtered.rows
