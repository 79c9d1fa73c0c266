"""What a restart finds in the state directory, and what it does with it."""

from __future__ import annotations

import signal
from functools import partial

import gevent
from gevent.server import StreamServer
from support.server import live_messages
from support.world import LIMITS, World, free_address, wait_until

from ashpath.emulator.fault_injection.call_faults import CallFault, FaultyCall, ProcessFaults
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import stored_time


def attempted(world: World, trace: str) -> bool:
    """Whether a message has had its first attempt."""
    return world.attempt_count(trace) == 1


def test_over_a_kill(world: World) -> None:
    """Each kind of traffic class with an attempt in flight, a message that was never sent, and two of one
    ordering key."""
    world.start()
    for number, track in enumerate(("free", "tag", "once")):
        world.submit(f"k{number}", track, "hang 200", number)
        wait_until(partial(attempted, world, f"k{number}"))
    world.submit("late", "tag", "hang", 5, time_left_ms=100)
    world.members[6]["host_port"] = "127.0.0.1:1"
    world.submit("first", "tag", "hang slow", 7, ordering_key="a")
    wait_until(lambda: world.attempt_count("first") == 1)
    assert world.submit("second", "tag", "200", 7, ordering_key="a") == 202
    # Its notice is off the ledger: one whose 204 a kill cuts off is told again, and causes no harm.
    wait_until(
        lambda: world.notified("late")
        and "late" not in [entry.trace_id for entry in live_messages(world).values()]
    )
    assert world.kill() == -signal.SIGKILL
    world.start()
    wait_until(lambda: world.notified("k2"))
    assert world.notified("k2") == ["undeliverable"]
    assert world.attempt_count("k2") == 1
    wait_until(
        lambda: world.attempt_count("k0") == world.attempt_count("k1") == 2
        and world.attempt_count("second") == 1
    )
    assert world.attempts["k1"][0].body == world.attempts["k1"][1].body
    assert list(world.attempts).index("second") > list(world.attempts).index("first")
    assert world.attempt_count("first") == 2
    wait_until(lambda: not live_messages(world))
    assert [line["id"] for line in world.notifications] == ["late", "k2"]


def test_kills_amid_many(world: World) -> None:
    """Killed twice with many in all stages: each has one final outcome, and none runs twice that must not."""
    world.start()
    taken = {}
    for number in range(36):
        track = ("free", "tag", "once")[number % 3]
        if world.submit(f"m{number}", track, "slow 200" if number % 4 else "200", number) == 202:
            taken[f"m{number}"] = track
        if number in (14, 29):
            world.kill()
            world.start()
    assert len(taken) == 36
    wait_until(lambda: not live_messages(world))
    for trace, track in taken.items():
        ends = world.notified(trace)
        assert ends == (["undeliverable"] if track == "once" and ends else []), (trace, ends)
        assert world.attempt_count(trace) <= (1 if track == "once" else 3)
        assert world.attempt_count(trace) or ends
    assert any(world.notified(trace) for trace in taken)
    assert any(world.attempt_count(trace) > 1 for trace in taken)


def test_overdue_after_a_kill(world: World) -> None:
    """A deduplication window, a deadline, and a notification that was not acknowledged."""
    ledger = WriteAheadLog(world.folder / "state", LIMITS.disk_bytes)
    old = stored_time() - 20_000_000
    past = [(1, 5_000_000, True), (0, -10, False), (1, -10, True), (0, 9, False)]
    for number, (track, left, ran) in enumerate(past):
        entry = StoredMessage(number + 1, f"o{number}", track, 1, None, None, stored_time() + left, b"200")
        assert ledger.record_submitted(entry)
        if ran:
            ledger.record_attempt(entry, old, "e1")
    ledger.record_finished(entry, '{"id":"o3","status":"deferred","again_ms":5}')
    ledger.close()
    world.notifications_to_reject = 2
    world.start()
    wait_until(lambda: len(world.notifications) == 4)
    ends = {line["id"]: line["status"] for line in world.notifications}
    assert ends == {"o0": "undeliverable", "o1": "deferred", "o2": "undeliverable", "o3": "deferred"}
    assert not world.attempts


def test_a_destination_that_was_out_as_the_process_was_killed(world: World) -> None:
    """Guards a destination that comes back against senders that restarted within its outage."""
    where = free_address()  # nobody listens there yet
    world.members[3]["host_port"] = f"127.0.0.1:{where[1]}"
    rule = {"cold-from": 0.9, "ramp-time": 10000.0, "fall-multiple": 2.0, "fall": 3000.0}
    settings = world.config["settings"]
    world.config["settings"] = settings | {"contract": settings["contract"] | rule}
    world.configure()
    world.start()
    assert world.submit("well", "free", "200", 2) == 202
    wait_until(lambda: world.attempt_count("well"))
    gevent.sleep(1.6)  # an outage is one where nothing has succeeded for so long
    for number in range(5):
        assert world.submit(f"h{number}", "free", "200", 3) == 202
    wait_until(lambda: "destination 3 ailing" in (world.folder / "log").read_text())
    world.kill()
    back = StreamServer(where, world.serve_endpoint)
    back.start()
    world.start()
    wait_until(lambda: any(world.attempt_count(f"h{number}") for number in range(5)))
    gevent.sleep(0.2)
    assert sum(world.attempt_count(f"h{number}") for number in range(5)) == 1  # of five that were held
    back.stop()


def test_a_start_waits_for_descriptors_that_are_out_for_a_moment(world: World) -> None:
    """Guards the start: the first socket is that of the first poll, then come the listening ones."""
    world.faults = ProcessFaults((CallFault(FaultyCall.SOCKET, "ENFILE", skip=1, count=5),))
    world.start()
    assert world.submit("a", "free", "200", 1) == 202
    wait_until(lambda: world.attempt_count("a") == 1)
