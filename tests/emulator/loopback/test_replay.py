"""The replay of a loopback run applies the rule `lost` to calls around the kill of a sender.

Failure: a sender is killed before it responds to a submission that it has read, or before it reads the
response of a destination. Two senders, or two incarnations of one, may then send the same message, and the
replay counts this permitted behavior as a violation. kills.txt contains the cases.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from ashpath.core.interface import AttemptOutcome
from ashpath.emulator.client_request import ClientRequest
from ashpath.emulator.loopback.clients_job import ClientEvent, ClientEventKind
from ashpath.emulator.loopback.observations import (
    CallArrived,
    CallEnded,
    Observation,
    ObservationLog,
    SenderKilled,
)
from ashpath.emulator.loopback.replay import Replay, checker_for_sockets
from ashpath.emulator.runs import scenario_path
from ashpath.emulator.scenario.loading import read_scenario
from ashpath.emulator.scenario.settings import sender_settings
from ashpath.emulator.scoreboard import DeliveryValue, Scoreboard
from ashpath.emulator.topology import Topology

CREATED_AT = 900_000  # microseconds
CASES = [row for row in Path(__file__).with_name("kills.txt").read_text().splitlines() if row[0] != "#"]


def observation(row: str, id_: str, endpoint: str) -> Observation:
    """Returns the observation that a row of kills.txt describes. Times in the row are in milliseconds.

    A kill may be followed by the time at which the process had exited, which otherwise is that of the kill.
    """
    words = row.split()
    at = int(words[0]) * 1000
    sender = int(words[2]) if len(words) > 2 else 0
    if words[1] == "kill":
        ended_at = int(words[3]) * 1000 if len(words) > 3 else at
        return SenderKilled(at, sender, ended_at)
    if words[1] == "shot":
        return CallArrived(at, id_, endpoint)
    if words[1] == "completed":
        return CallEnded(at, id_, endpoint, AttemptOutcome.DELIVERED, at - 100_000, 0)
    return ClientEvent(at, ClientEventKind(words[1]), id_, sender)


@pytest.mark.parametrize("case", CASES)
def test_replay_applies_lost_rule_around_sender_kill(case: str) -> None:
    id_, rows, lost = case.split(": ")
    path = scenario_path("kills")
    scenario = read_scenario(path)
    settings = sender_settings(scenario, 0, 0)
    topology = Topology(scenario, path.parent, 1)
    traffic_class = int(id_[0])
    deadline_at = CREATED_AT + settings.traffic_classes[traffic_class].deadline
    request = ClientRequest(id_, traffic_class, 0, None, CREATED_AT, deadline_at, 0)
    log = ObservationLog()
    log.add(ClientEvent(CREATED_AT, ClientEventKind.REQUESTED, id_))
    for row in rows.split(", "):
        log.add(observation(row, id_, topology.endpoints[0].endpoint_id))
    value = DeliveryValue(settings.traffic_classes, settings.value_halves, scenario.spans)
    checker = checker_for_sockets(settings, "")
    scoreboard = Scoreboard(list(scenario.traffic_classes))
    Replay(settings, value, topology, {id_: request}, scoreboard, checker).run(log.sorted_by_time(), 0)
    assert checker.counts["lost"] == int(lost), checker.violations
