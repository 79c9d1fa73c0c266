"""No calls to endpoints that drained while discovery failed: real senders, agents with scripted faults.

Failure: a sender under injected faults called an endpoint 1.09 s after its drain counted; the grace is 1 s.
Sequence: service discovery was silent from the first watch on, and returned together with the drain, which
counts at once where lists are pushed; the list was read 1.1 to 1.3 s later.
Cause: the poll in progress when discovery returned was never answered, and the client waited for it until its
timeout. More generally, each failed poll had a limit of its own, and no deadline ran from the last list or
from the return of discovery. A replay whose log has the age and revision of the list shows this; each
scenario below is a single sequence of faults.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from time import monotonic

import gevent
from support.drain_setup import DrainSetup, Scenario
from support.sender_harness import wait_until

from ashpath.emulator.fault_injection.discovery_agent import AgentReply
from ashpath.emulator.fault_injection.tcp_proxy import FullBacklog

SILENCE_ALLOWED_S = 6.0  # from the moment at which a watch fell silent
MOVE_ALLOWED_S = 4.0  # from SIGHUP
GRACE_S = 0.25 + 0.05  # drain grace of the settings, plus the time that a call may take to start
ONE_SECOND_GRACE_S = 1.0
OUTAGE_S = 5.3
CALLS_AFTER_S = 1.5  # calls are recorded for so long after the end of the grace

SILENT = AgentReply.SILENT
REJECT = AgentReply.REJECT
RESET = AgentReply.RESET
CLOSE = AgentReply.CLOSE
UNREADABLE = AgentReply.UNREADABLE


def after_silence(*replies: AgentReply, delay_s: float = 0.0) -> Scenario:
    """The watch falls silent as the endpoint drains; the polls that follow get these replies."""

    def play(drain: DrainSetup) -> float:
        drain.start()
        drain.wait_for_poll()
        agent = drain.agents[0]
        agent.retry_after_s = 5.0
        agent.silence_watches()
        agent.script.extend(replies)
        agent.delay_s = delay_s
        began = monotonic()
        drain.drain()
        return began + SILENCE_ALLOWED_S

    return play


def after_outage(drain: DrainSetup) -> float:
    """Discovery is silent for a while, and returns together with the drain. The drain counts as received at
    once, so only the grace of one second remains."""
    drain.start()
    drain.wait_for_poll()
    agent = drain.agents[0]
    agent.default_reply = SILENT
    agent.silence_watches()
    gevent.sleep(OUTAGE_S)
    agent.default_reply = AgentReply.ANSWER
    drain.drain()
    return monotonic() + ONE_SECOND_GRACE_S - GRACE_S


def after_moves(
    *replies: AgentReply, moves: int = 1, through_full_backlog: bool = False, delay_s: float = 0.0
) -> Scenario:
    """SIGHUP moves discovery; the first polls of the last agent get these replies."""

    def play(drain: DrainSetup) -> float:
        drain.start()
        drain.wait_for_poll()
        last = drain.agents[-1]
        last.retry_after_s = 5.0
        last.script.extend(replies)
        last.delay_s = delay_s
        drain.drain(agent=len(drain.agents) - 1)
        backlog = FullBacklog() if through_full_backlog else None
        if backlog is not None:
            drain.change_discovery_address(f"{backlog.address[0]}:{backlog.address[1]}")
            gevent.sleep(0.1)  # the connect is in progress
        for _ in range(moves):
            drain.change_discovery_address(last.address)
        return monotonic() + MOVE_ALLOWED_S

    return play


def start_with(*replies: AgentReply) -> Scenario:
    """Before the sender starts, the agent has the drain and the configuration file does not; the first polls
    get these replies."""

    def play(drain: DrainSetup) -> float:
        drain.drain()
        drain.agents[0].script.extend(replies)
        drain.start()
        return monotonic()

    return play


def older_list(*, other_agent: bool) -> Scenario:
    """After the drain was read, a complete list of an earlier revision lists the endpoint as up."""

    def play(drain: DrainSetup) -> float:
        drain.start()
        drain.wait_for_poll()
        drain.drain()
        wait_until(lambda: drain.agents[0].polls[-1].index == 5)
        received_at = monotonic()
        if other_agent:
            drain.change_discovery_address(drain.agents[1].address)
        else:
            drain.agents[0].script.append(CLOSE)
            drain.agents[0].change(drain.members("up"), revision=3)
        return received_at

    return play


SCENARIOS: dict[str, tuple[Scenario, int]] = {
    "silent, silent, rejected": (after_silence(SILENT, REJECT), 1),
    "silent, rejected, rejected": (after_silence(REJECT, REJECT), 1),
    "silent, reset, unreadable, rejected": (after_silence(RESET, UNREADABLE, REJECT), 1),
    "silent, closed, silent": (after_silence(CLOSE, SILENT), 1),
    "silent, then slow": (after_silence(delay_s=1.2), 1),
    "silent, then slower than a poll waits": (after_silence(delay_s=2.4), 1),
    "silent for long, then back with the drain": (after_outage, 1),
    "moved to a slow one": (after_moves(delay_s=2.4), 2),
    "moved, silent, rejected": (after_moves(SILENT, REJECT), 2),
    "moved, rejected, rejected": (after_moves(REJECT, REJECT), 2),
    "moved four times, silent": (after_moves(SILENT, moves=4), 2),
    "moved while a dial does not end": (after_moves(SILENT, through_full_backlog=True), 2),
    "started with a reset": (start_with(RESET), 1),
    "started with a rejection": (start_with(REJECT), 1),
    "an older list of the same agent": (older_list(other_agent=False), 1),
    "an older list of another agent": (older_list(other_agent=True), 2),
}


def describe_late_calls(drain: DrainSetup, play: Scenario) -> str:
    """Runs a scenario; returns an empty string, or a description of its fault."""
    try:
        received_by = play(drain)
        gevent.sleep(max(0.0, received_by - monotonic()) + GRACE_S + CALLS_AFTER_S)
        if len(drain.staying_endpoint.calls) < 2:
            return "no calls at all"
        late_s = drain.last_call_of_draining_endpoint() - received_by - GRACE_S
        return f"called {late_s:.2f} s too late" if late_s > 0 else ""
    finally:
        drain.stop()


def test_no_call_to_draining_endpoint_despite_discovery_failures(tmp_path: Path) -> None:
    """Runs one sender for each scenario, concurrently."""
    results: dict[str, Callable[[], str]] = {}
    for number, (name, (scenario, agents)) in enumerate(SCENARIOS.items()):
        drain = DrainSetup(tmp_path / str(number), agents)
        results[name] = gevent.spawn(describe_late_calls, drain, scenario).get
    faults = {name: fault for name, get in results.items() if (fault := get())}
    assert faults == {}
