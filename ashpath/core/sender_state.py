"""The state that all destinations of one sender share."""

from __future__ import annotations

from collections import OrderedDict
from random import Random
from typing import TYPE_CHECKING

from ashpath.core.interface import PolicyActions, PolicySettings
from ashpath.core.messages import Attempt, Message, OrderedQueue, TrafficClass
from ashpath.core.statistics import EventRate, RunningStatistics

if TYPE_CHECKING:
    from ashpath.core.destination_state import DestinationState


class SenderState:
    """Settings, time of the batch, messages, calls in flight, and work due at the end of the batch."""

    def __init__(
        self,
        settings: PolicySettings,
        actions: PolicyActions,
        *,
        initial_rate: float,
        durations: RunningStatistics,
        submissions: EventRate,
    ) -> None:
        self.settings = settings
        self.actions = actions
        self.random = Random(settings.seed)
        self.now = 0
        """The time of the batch, in microseconds."""
        self.initial_rate = initial_rate
        """The calls per second at which a gate starts once its rate limit is known, unless the even split is
        higher. The outcomes at all gates adapt this rate."""
        self.durations = durations
        """The durations of deliveries in microseconds, over all destinations."""
        self.submissions = submissions
        """The rate of submissions, over all destinations."""
        self.limit_cap = 1
        """The maximum of all concurrency limits."""
        self.full_table_shares: list[float] = []
        """The share of calls rejected by a full connection table, by kind of destination."""
        self.traffic_classes: list[TrafficClass] = []
        self.messages: dict[int, Message] = {}
        """Unfinished messages by id."""
        self.ordered_queues: dict[int, OrderedQueue] = {}
        """Queues by ordering key; an empty queue is removed."""
        self.attempts_in_flight: dict[Attempt, None] = {}
        """Calls in flight, oldest first."""
        self.destinations: dict[int, DestinationState] = {}
        """Destinations by number, while they have endpoints or messages."""
        self.handing_over = False
        """Whether another process of this sender takes over: both together may call a recovering destination
        no more than one."""
        self.failed_polls = 0
        """Consecutive failed polls of the endpoint list."""
        self.detached: set[str] = set()
        """Endpoints that an operator detached: treated as draining, whatever their listed status."""
        self.late_messages: OrderedDict[Message, None] = OrderedDict()
        """Waiting messages that can no longer meet their latency objective, oldest entry first."""
        self.needs_dispatch: OrderedDict[DestinationState, None] = OrderedDict()
        """Destinations to dispatch at the end of a batch, until `max_in_flight` calls are in flight."""
        self.needs_ranking: dict[DestinationState, None] = {}
        """Destinations with events since the last ranking."""
