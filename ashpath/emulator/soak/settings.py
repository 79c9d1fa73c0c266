"""The operators' settings of a run, and the settings of the rule checker that follow from them."""

from __future__ import annotations

from ashpath.core.json_types import JsonObject
from ashpath.emulator.soak.judge import RuleCheckerSettings
from ashpath.emulator.soak.plan import DESTINATIONS, DISK_MB, SENDERS, SoakPlan
from ashpath.emulator.soak.records import Effect

DEDUPLICATION_WINDOW_MS = 5000.0
DRAIN_GRACE_MS = 250.0
COLD_SHARE = 0.3
OVERLOAD_MULTIPLE = 3.0
OVERLOAD_MS = 1000.0


def soak_settings() -> JsonObject:
    """Returns the settings of the run in the form that the platform writes."""
    classes = [
        {
            "name": effect.value,
            "deadline": 8000.0,
            "slo": 1000.0,
            "repeat": repeat,
            "window": DEDUPLICATION_WINDOW_MS,
            "importance": 1.0,
            "one-at-a-time": effect is Effect.DEDUPLICATED,
        }
        for effect, repeat in zip(Effect, ("retryable", "dedup", "fragile"), strict=True)
    ]
    return {
        "classes": classes,
        "kinds": ["plain"],
        "zones": ["here"],
        "group-size": SENDERS,
        "limits": {
            "max-open": 200,
            "max-attempts": 6,
            "retry-after": True,
            "max-retry-after": 3000.0,
            "conn-idle": 2000.0,
            "connect-timeout": 500.0,
            "cancelling": True,
        },
        "specifics": {"slots": 48},
        "contract": {
            "drain-grace": DRAIN_GRACE_MS,
            "order-settle": 200.0,
            "cold-from": COLD_SHARE,
            "fall": OVERLOAD_MS,
            "fall-multiple": OVERLOAD_MULTIPLE,
            "ramp-time": 3000.0,
        },
    }


def rule_checker_settings(plan: SoakPlan) -> RuleCheckerSettings:
    """Returns the rule checker's settings, which follow from the settings of the run."""
    capacity = plan.rate * SENDERS / DESTINATIONS
    return RuleCheckerSettings(
        grace_s=DRAIN_GRACE_MS / 1000,
        window_s=DEDUPLICATION_WINDOW_MS / 1000,
        overload_s=OVERLOAD_MS / 1000,
        cold_rate=COLD_SHARE * capacity,
        overload_multiple=OVERLOAD_MULTIPLE,
        disk_bytes=DISK_MB << 20,
    )
