"""Which of the messages that wait goes next, when, and how long its call may take."""

from __future__ import annotations

from ashpath.core.messages import Endpoint, Message, TrafficClass
from ashpath.core.statistics import SECOND
from ashpath.core.waiting_queues import WaitingQueues
from ashpath.policy import tuning


class RankedQueues(WaitingQueues):
    """The messages of one destination, by what is lost as they wait."""

    def upper_bound(self, traffic_class: TrafficClass) -> int:
        """What nearly all calls take here, by the class's own durations or else by those of all."""
        for durations, factor in ((self.durations[traffic_class.index], 1), (self.state.durations, 2)):
            if durations.count >= tuning.TRUSTED_COUNT:
                return int(durations.mean + tuning.DEVIATIONS * durations.deviation) * factor
        return traffic_class.settings.latency_objective

    def batching_deadline(self, max_batch_size: int) -> int | None:
        """Until when a call waits to be fuller, a part of the latency objective; None: it may go now."""
        if self.count_in_time() >= max_batch_size or any(self.late):
            return None
        share_left = 1 - tuning.BATCHING
        oldest = [next(iter(queue)) for queue in self.in_time if queue]
        ends = (m.objective_at - int(share_left * m.traffic_class.settings.latency_objective) for m in oldest)
        deadline = min(ends, default=0)
        return None if deadline <= self.state.now else deadline

    def next_for(self, endpoint: Endpoint, delivery_rate: float) -> Message | None:
        """Who would lose most by waiting until all others are sent; then who is worth most."""
        now = self.state.now
        best = None
        best_rank = (False, 0.0, 0.0)
        drained = int(SECOND * max(1.0, self.count_in_time() / max(1.0, delivery_rate)))
        for queue in (*self.in_time, *map(reversed, self.late)):
            for message in queue:
                if message.deadline_at <= now or not _is_recognised(message, endpoint):
                    continue  # its timer is to come yet
                then = now + self.expected_duration(message.traffic_class)
                value = message.value_at(then)
                rank = (then <= message.objective_at, value - message.value_at(then + drained), value)
                if best is None or rank > best_rank:
                    best = message
                    best_rank = rank
                break
        return best


def _is_recognised(message: Message, endpoint: Endpoint) -> bool:
    # Whether the endpoint would know a retry for one, or it is none.
    run = message.first_run
    anywhere = message.traffic_class.settings.deduplicates_across_zones
    return run is None or anywhere or run.zone == endpoint.zone
