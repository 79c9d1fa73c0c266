"""What all destinations of one sender share."""

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
    """Settings, the batch's time, what is in flight, and what is to be done by the batch's end."""

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
        """Microseconds, of the batch."""
        self.initial_rate = initial_rate
        """Calls a second where a destination's rate limit is not known yet."""
        self.durations = durations
        """Microseconds of deliveries, over all destinations."""
        self.submissions = submissions
        """Over all destinations."""
        self.limit_cap = 1
        """The most that a concurrency limit grows to."""
        self.full_table_shares: list[float] = []
        """The share of calls that found a full connection table, by kind of destination."""
        self.traffic_classes: list[TrafficClass] = []
        self.messages: dict[int, Message] = {}
        """By number; emptied as they are finished."""
        self.ordered_queues: dict[int, OrderedQueue] = {}
        """By ordering key; emptied as they run out."""
        self.attempts_in_flight: dict[Attempt, None] = {}
        """Oldest first; emptied by their outcomes."""
        self.destinations: dict[int, DestinationState] = {}
        """Emptied as they lose endpoints and messages."""
        self.failed_polls = 0
        """Of the endpoint list, in a row."""
        self.detached: set[str] = set()
        """Endpoints that an operator took out: draining here, whatever is listed."""
        self.late_messages: OrderedDict[Message, None] = OrderedDict()
        """Those that wait past their latency objective."""
        self.needs_dispatch: OrderedDict[DestinationState, None] = OrderedDict()
        """Looked at in each batch, while not too much is in flight."""
        self.needs_ranking: dict[DestinationState, None] = {}
        """Had events since the last ranking, which empties it."""
