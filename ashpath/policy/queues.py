"""Selection of the next queued message, batching deadlines and bounds of call durations."""

from __future__ import annotations

from ashpath.core.messages import Endpoint, Message, TrafficClass
from ashpath.core.time_units import SECOND
from ashpath.core.waiting_queues import WaitingQueues
from ashpath.policy import tuning


class RankedQueues(WaitingQueues):
    """The queues of one destination, ranked by the value that waiting costs."""

    def duration_bound(self, traffic_class: TrafficClass) -> int:
        """Returns the microseconds within which nearly all calls of the class end at this destination.

        If the class has too few deliveries here, returns twice the bound of all deliveries at all
        destinations; if those are too few as well, returns the latency objective of the class.
        """
        for durations, factor in ((self.durations[traffic_class.index], 1), (self.state.durations, 2)):
            if durations.count >= tuning.MIN_DURATION_SAMPLES:
                return int(durations.mean + tuning.DURATION_DEVIATIONS * durations.deviation) * factor
        return traffic_class.settings.latency_objective

    def batching_deadline(self, max_batch_size: int) -> int | None:
        """Returns until when a call waits for a fuller batch, in microseconds, or None if it may start now.

        The wait is bounded by a share of the oldest messages' latency objectives.
        """
        if self.count_in_time() >= max_batch_size or any(self.late):
            return None
        remaining_share = 1 - tuning.BATCHING_SHARE
        oldest = [next(iter(queue)) for queue in self.in_time if queue]
        deadlines = (
            m.objective_at - int(remaining_share * m.traffic_class.settings.latency_objective) for m in oldest
        )
        deadline = min(deadlines, default=0)
        return None if deadline <= self.state.now else deadline

    def next_message(self, endpoint: Endpoint, delivery_rate: float) -> Message | None:
        """Returns the message that goes next to an endpoint, or None if no queued message may go there.

        Messages that can meet their latency objective go first, among these the one that loses most value by
        waiting until all others are sent, then the most valuable. `delivery_rate` is in deliveries per
        second.
        """
        now = self.state.now
        best = None
        best_rank = (False, 0.0, 0.0)
        drain_time = int(SECOND * max(1.0, self.count_in_time() / max(1.0, delivery_rate)))
        for queue in (*self.in_time, *map(reversed, self.late)):
            for message in queue:
                if message.deadline_at <= now or not _is_repeat_recognized(message, endpoint):
                    continue  # a message past its deadline is finished by its timer
                delivered_at = now + self.expected_duration(message.traffic_class)
                value = message.value_at(delivered_at)
                rank = (
                    delivered_at <= message.objective_at,
                    value - message.value_at(delivered_at + drain_time),
                    value,
                )
                if best is None or rank > best_rank:
                    best = message
                    best_rank = rank
                break
        return best


def _is_repeat_recognized(message: Message, endpoint: Endpoint) -> bool:
    # True for a message that has not run yet, or if the endpoint would recognize its repeat.
    run = message.first_run
    any_zone = message.traffic_class.settings.deduplicates_across_zones
    return run is None or any_zone or run.zone == endpoint.zone
