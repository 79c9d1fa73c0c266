"""Real senders on paths that repeat, reorder or invent messages break no rule."""

from __future__ import annotations

from pathlib import Path

import gevent

from ashpath.emulator.soak.judge import RuleChecker
from ashpath.emulator.soak.message_fault_cases import CASES, message_fault_plan
from ashpath.emulator.soak.run import SoakRun
from ashpath.emulator.soak.settings import rule_checker_settings

# Those that broke a rule before report 42f29f was closed, at other rates and seeds.
PLAYED = (
    "repeated after 12 ms",
    "repeated after 40 ms",
    "repeated after 120 ms",
    "copy in halves after 10 ms",
    "the previous response right before",
    "acknowledgement repeated after 5 ms",
    "requests repeated after 700 ms",
    # Those of report 55d9f2.
    "Retry-After after 3 ms without a request",
    "Retry-After behind random bytes",
    "Retry-After with a cut body",
)
SEED = 5
RATE = 12.0  # requests per second to each of three senders
DURATION_S = 5.0


def broken_rules(case: str, folder: Path) -> list[str]:
    plan = message_fault_plan(case, SEED, RATE, DURATION_S)
    run = SoakRun(plan, folder / str(PLAYED.index(case)))
    records = run.play()
    assert run.injected_message_faults() >= 2, case
    return [str(broken) for broken in RuleChecker(records, rule_checker_settings(plan)).broken_rules()]


def test_repeated_or_invented_messages_break_no_rule(tmp_path: Path) -> None:
    """Guards against responses, acknowledgements and requests that are attributed to another one, and
    against a Retry-After that is thrown away with a response that counts for none."""
    assert set(PLAYED) < set(CASES)
    plays = {case: gevent.spawn(broken_rules, case, tmp_path) for case in PLAYED}
    assert {case: found for case, play in plays.items() if (found := play.get())} == {}
