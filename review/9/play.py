"""In an upgrade, a later message of a key goes out beside the earlier one, whose endpoint hangs."""

import asyncio
import signal
import sys
from itertools import pairwise
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab2 import (
    Agent,
    Call,
    Client,
    Endpoint,
    Lab,
    Sender,
    http_answer,
    run_case,
    settings,
    track,
)

CELL = 1
SLACK_S = 0.05
PLAY_S = 10.0  # from the third message on
TRACK = "trip-charge"
RULE = (
    "rule: messages of one key go one at a time, in the order in which the sender took them; "
    "both processes of an upgrade are one sender. Nothing is sent for one while an earlier one "
    "is not over (delivered, or ended by a notice). Slack: 0.05 s"
)


async def play(lab: Lab) -> None:
    """Upgrades a sender, and hands in three messages of one key to its two processes."""
    begun: dict[str, float] = {}  # by message: when its first call came
    over: dict[str, float] = {}  # by message: when it was delivered

    async def behave(call: Call) -> bytes | None:
        is_first_call = call.trace_id not in begun
        begun.setdefault(call.trace_id, call.at)
        if call.trace_id == "first" and is_first_call:
            return None  # the endpoint hangs, and the call stays out until the sender gives it up
        await asyncio.sleep(0.1)
        over[call.trace_id] = lab.now()
        return http_answer(200)

    endpoint = Endpoint(lab, "endpoint", CELL, behave)
    await endpoint.start()
    agent = Agent(lab, [endpoint.row()])
    await agent.start()
    row = track(TRACK, "dedup", 24_000.0, window=6000.0, slo=2500.0, **{"one-at-a-time": True})
    named = settings(row, **{"order-settle": 100.0})
    named["membership-mode"] = "ask"
    named["limits"]["max-attempts"] = 6
    sender = Sender(lab, agent, named, hands_down_socket=True)
    old = await sender.start_ready()
    before = Client(lab, sender)
    await before.hand_in("other-key", TRACK, CELL, 10.0, order_key="b")
    after = before
    if lab.trouble:
        await sender.upgrade(old)
        after = Client(lab, sender)
    for number in range(3):  # the new process learns that the destination is well
        await after.hand_in(f"warm-{number}", TRACK, CELL, 10.0)
        await asyncio.sleep(0.15)
    taken = [await after.hand_in("first", TRACK, CELL, 18.0, order_key="a")]
    await asyncio.sleep(0.1)
    taken.append(await before.hand_in("second", TRACK, CELL, 18.0, order_key="a"))
    await asyncio.sleep(0.1)
    taken.append(await after.hand_in("third", TRACK, CELL, 18.0, order_key="a"))
    if lab.trouble:
        killed = await old.wait(3.7)
        lab.note(f"the old process has ended: {killed}")
        old.send(signal.SIGKILL)
    await asyncio.sleep(PLAY_S)
    order = [message.trace_id for message in taken if message.taken_on]
    lab.note(f"taken on, in this order: {order}; begun: {begun}; over: {over}")
    for earlier, later in pairwise(order):
        notice = agent.notices.get(earlier, (float("inf"), ""))[0]
        ended = min(over.get(earlier, float("inf")), notice)
        if later in begun:
            text = f"{later} goes out at {begun[later]:.3f}, after {earlier} is over at {ended:.3f}"
            lab.expect(holds=begun[later] >= ended - SLACK_S, text=text)


if __name__ == "__main__":
    run_case(__file__, play, RULE)
