"""The messages of one destination that wait for a call, by traffic class."""

from __future__ import annotations

from collections import OrderedDict

from ashpath.core.messages import Message, TrafficClass
from ashpath.core.sender_state import SenderState
from ashpath.core.statistics import RunningStatistics


class WaitingQueues:
    """Two queues per traffic class: messages that can meet their latency objective, and late ones.

    Messages join the end of a queue, and retries join the front. `durations` has statistics of the class's
    deliveries to this destination, in microseconds; `min_gain` is the minimum weight of a new delivery.
    """

    def __init__(self, state: SenderState, min_gain: float) -> None:
        self.state = state
        self.min_gain = min_gain
        self.in_time: list[OrderedDict[Message, None]] = []
        self.late: list[OrderedDict[Message, None]] = []
        self.durations: list[RunningStatistics] = []
        self.add_classes()

    def add_classes(self) -> None:
        """Adds queues and statistics for new traffic classes in the settings."""
        for _ in range(len(self.durations), len(self.state.settings.traffic_classes)):
            self.durations.append(RunningStatistics(self.min_gain))
            self.in_time.append(OrderedDict())
            self.late.append(OrderedDict())

    def __bool__(self) -> bool:
        return any(self.in_time) or any(self.late)

    def count_in_time(self) -> int:
        """Returns the number of messages that can still meet their latency objective."""
        return sum(map(len, self.in_time))

    def expected_duration(self, traffic_class: TrafficClass) -> int:
        """Returns the mean duration of a delivery to this destination, in microseconds; 0: unknown."""
        return int(self.durations[traffic_class.index].mean)

    def add(self, message: Message, *, first: bool) -> None:
        """Queues a message, or requeues it, as the first or last message of its queue."""
        self.remove(message)
        delivered_at = self.state.now + self.expected_duration(message.traffic_class)
        late = delivered_at >= message.objective_at
        queue = (self.late if late else self.in_time)[message.traffic_class.index]
        message.queue = queue
        queue[message] = None
        queue.move_to_end(message, last=not first)
        if late:
            self.state.late_messages[message] = None

    def remove(self, message: Message) -> None:
        """Removes a message if it is queued."""
        self.state.late_messages.pop(message, None)
        if message.queue is not None:
            del message.queue[message]
            message.queue = None
