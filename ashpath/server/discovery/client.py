"""Follows the endpoint list of the platform's agent: one poll at a time, through any failure.

A poll with a revision is a watch: the agent answers as soon as its list is another, or after `watch_s`. A
poll without one is answered at once by a snapshot, and is given up sooner. What a poll comes to, and when the
next one follows, is the table of `state`. Whatever became of polls, the list is read anew within one lease
(`lease`): a change counts as received by then, once the agent had it and could be reached:
docs/architecture.md, "The way of a watch event", has the reasons.

A poll that is not answered in its time goes on beside the next one, for `late_poll_s` from its start: an
agent that is slow would else be given up each time just before it answers. A late list counts, unless another
one was read since the poll began.

Two backoffs, as two kinds of failure have opposite needs. Silence and refused connections are an outage,
whose end is to be seen soon: short pauses. An agent that rejects has more polls than it can answer: a try
sooner than it takes to reject one is the next such poll, so pauses are long. Both guard it against a fleet
that failed together and would come back together. Both give way to the lease.
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
from ashpath.server.limits import ServerLimits
from ashpath.server.logs import Logger

OK_STATUS = 200
REJECTING_STATUSES = frozenset({429, 503})
POLL_SHARE = 0.5  # of the lease, for one poll: another has to fit behind it
MAX_LATE_POLLS = 2  # beside the one that is waited for
MAX_LOGGED_IDS = 8  # of endpoints, in one line


class Poll:
    """One poll on its way, in a greenlet of its own."""

    def __init__(self, connection: AgentConnection, moves: int, lists_read: int) -> None:
        self.connection = connection
        self.moves = moves  # of the agent, before it began
        self.lists_read = lists_read  # the same
        self.response: HttpResponse | None = None
        self.ended = Event()
        self.late = False  # nobody waits for it any more


class DiscoveryClient:
    """Polls one agent and reports to `listener`.

    `pushed`: the agent has the list without asking for it, and answers at no cost.
    `revision`: of the list that the configuration brought. `first_poll_delay_s`: seconds to wait with the
    first poll, while that list serves."""

    def __init__(
        self,
        address: Address,
        limits: ServerLimits,
        revision: int,
        listener: MembershipListener,
        random: Random,
        logger: Logger,
        first_poll_delay_s: float = 0.0,
        *,
        pushed: bool = False,
    ) -> None:
        self.connection = AgentConnection(address, limits)
        self.limits = limits
        self.revision: int | None = revision  # polled for next; None: a snapshot
        self.listener = listener
        self.first_poll_delay_s = first_poll_delay_s
        self.last_response_at = monotonic()  # when a list was last read; before that, the start
        self.pause = InterruptiblePause()
        self.lease = ListLease(monotonic(), limits.list_lease_s)
        self.departures = Departures()
        self.moves = 0  # how often the agent moved
        self.lists_read = 0
        self.late_polls: list[Poll] = []  # the oldest first
        self.pushed = pushed
        self.stale_records = 0  # of lists that were older than one read before
        self.random = random
        self.logger = logger
        self.state_log = DiscoveryStateLog(logger)
        self.silent_backoff = Backoff(random, limits.retry_s, limits.discovery_backoff_s)
        self.rejected_backoff = Backoff(
            random,
            limits.watch_s,
            limits.discovery_rejected_backoff_s,
            limits.discovery_rejected_backoff_s,
            limits.discovery_jitter,
        )

    def move(self, address: Address) -> None:
        """The agent is at `address` from now on.

        It may count revisions anew, and have missed or reported what the old one had not: a snapshot is
        polled for. What the old one still answers is not read, and no pause that it caused is sat out."""
        self.revision = None
        self.moves += 1
        self.departures.agent_moved()
        self.lease.shorten(monotonic(), self.limits.moved_list_lease_s)
        if address != self.connection.address:
            self.silent_backoff.reset()
            self.rejected_backoff.reset()
        self.pause.interrupt()
        self.connection.move(address)
        for poll in self.late_polls:
            poll.connection.abort()

    def initial_snapshot(self) -> None:
        """Polls before anything is sent: what the agent has by now counts as received from the first moment
        of the process, and the configuration's list may be old. A poll that fails at once is tried again, as
        an agent that resets or rejects is there; one that is silent has the list from nobody, and the
        configuration's serves."""
        self.revision = None
        self.first_poll_delay_s = 0.0  # the configuration's list serves unconfirmed: the next poll is at once
        give_up_at = monotonic() + self.limits.initial_snapshots_s
        silent_s = 0.0
        while silent_s < self.limits.initial_silence_s:
            began = monotonic()
            if self.apply_if_list(self.poll(self.limits.initial_snapshot_s)):
                self.record_list_read()
            if self.lists_read:  # by an earlier poll, perhaps
                return
            ended = monotonic()
            if ended - began >= self.limits.initial_snapshot_s:
                silent_s += ended - began
            if ended >= give_up_at:
                break
            gevent.sleep(self.limits.retry_s * self.random.random())
        self.logger.warning("endpoint list not confirmed", silent_s=round(silent_s, 2))

    def run(self) -> None:
        """Polls until the process ends."""
        gevent.sleep(self.first_poll_delay_s)
        self.first_poll_delay_s = 0.0  # where a fault begins this service anew
        while True:
            self.poll_and_pause()

    def poll_and_pause(self) -> None:
        """One poll, its state, and the pause behind it."""
        moves_before = self.moves
        response = self.poll(self.poll_timeout())
        if moves_before != self.moves:
            return  # moved meanwhile
        state = self.next_state(response)
        if state is DiscoveryState.ANSWERING:
            self.record_list_read()
        elif state is DiscoveryState.SILENT:
            self.revision = None  # whoever answers next may have begun anew, and count its revisions anew
        status = 0 if response is None else response.status
        self.state_log.poll_ended(state, status, self.revision or 0, self.list_age())
        if state is not DiscoveryState.ANSWERING:
            self.pause.sleep(self.pause_length(state, response))

    def record_list_read(self) -> None:
        """A list was read just now."""
        self.lists_read += 1
        self.last_response_at = monotonic()
        self.lease.renew(self.last_response_at)
        self.silent_backoff.reset()
        self.rejected_backoff.reset()

    def list_age(self) -> float:
        """Seconds since a list was read."""
        return monotonic() - self.last_response_at

    def poll_timeout(self) -> float:
        """Seconds. A snapshot comes at once where all is well, and has longer where the lease has time: the
        agent may be slow."""
        watch_s = self.limits.watch_s + self.limits.watch_grace_s
        if self.revision is not None:
            return watch_s
        if self.pushed:
            return self.limits.pushed_snapshot_s
        share_s = self.lease.remaining(monotonic()) * POLL_SHARE
        return min(watch_s, max(self.limits.snapshot_s, share_s))

    def poll(self, timeout_s: float) -> HttpResponse | None:
        """The response, or None where none came in time."""
        query = b""
        if self.revision is not None:
            query = b"?index=%d&wait=%d" % (self.revision, int(self.limits.watch_s * 1000))
        request_line = b"GET %s%s HTTP/1.1" % (wire_names.ENDPOINT_LIST_PATH, query)
        poll = Poll(self.connection, self.moves, self.lists_read)
        gevent.spawn(self.run_poll, poll, request_line)
        if poll.ended.wait(timeout_s):
            return poll.response
        if len(self.late_polls) < MAX_LATE_POLLS:
            poll.late = True
            self.late_polls.append(poll)
        else:
            poll.connection.abort()
        self.connection = AgentConnection(self.connection.address, self.limits)
        return None

    def run_poll(self, poll: Poll, request_line: bytes) -> None:
        """Calls the agent, and takes what comes late."""
        poll.response = poll.connection.call(request_line, b"", self.limits.late_poll_s)
        poll.ended.set()
        if poll.late:
            self.late_polls.remove(poll)
            poll.connection.close()
            self.apply_late_list(poll)

    def apply_late_list(self, poll: Poll) -> None:
        """Applies the list of a poll that nobody waited for any more, if none was read since it began."""
        if poll.moves != self.moves or poll.lists_read != self.lists_read:
            return
        if poll.response is not None and self.apply_if_list(poll.response):
            self.record_list_read()
            status = poll.response.status
            self.state_log.poll_ended(DiscoveryState.ANSWERING, status, self.revision or 0, self.list_age())
            self.pause.interrupt()

    def next_state(self, response: HttpResponse | None) -> DiscoveryState:
        """What a poll came to; a list that can be read has been applied then."""
        if response is None:
            return DiscoveryState.SILENT
        if self.apply_if_list(response):
            return DiscoveryState.ANSWERING
        if response.status in REJECTING_STATUSES:
            return DiscoveryState.REJECTING
        return DiscoveryState.UNREADABLE

    def pause_length(self, state: DiscoveryState, response: HttpResponse | None) -> float:
        """Seconds to the next poll: what the backoff draws, as far as the lease allows."""
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
        """Whether the response was a list that could be read; it has been applied then."""
        if response is None or response.status != OK_STATUS:
            return False
        return self.apply_response(response.body)

    def apply_response(self, body: bytes) -> bool:
        """Reports a snapshot or an update to the listener; False where it cannot be read or believed.

        An update with a row that could not be read, and one counted from an earlier revision than ours, say
        less than was changed: a snapshot is polled for next."""
        try:
            response = parse_response(body)
        except DiscoveryError:
            return False
        previous_revision = self.revision
        self.revision = None  # also where the listener fails
        every_row_read = True
        if response.rows:
            rows = self.filter_stale_rows(response)
            every_row_read = self.listener.receive_members(rows, complete=response.complete)
        in_sequence = previous_revision is None or response.revision >= previous_revision
        if response.complete or (every_row_read and in_sequence):
            self.revision = response.revision
        return True

    def filter_stale_rows(self, response: EndpointListResponse) -> list[EndpointRow]:
        """The rows of a list, those of endpoints that stay out as draining; logs who leaves and who stays."""
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
