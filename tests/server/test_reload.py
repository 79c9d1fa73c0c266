"""Reload of the configuration at SIGHUP."""

from __future__ import annotations

import json
import os
import signal
import sys
from functools import partial
from pathlib import Path

import gevent
from gevent import subprocess
from support.sender_harness import SenderHarness, wait_until
from support.server import address_of


def logged_again(log: Path, event: str, before: int) -> bool:
    """Returns whether the log has the event more than `before` times."""
    return log.read_text().count(event) > before


def test_reload_switches_to_another_agent(harness: SenderHarness) -> None:
    """Polls and notifications move to the new agent. A configuration that cannot be read changes nothing."""
    harness.start()
    assert harness.process is not None
    log = harness.folder / "log"
    incomplete_settings: list[dict[str, object]] = [
        {},
        {"classes": [{"name": "x"}]},
        {"classes": [{"name": "x", "deadline": 9, "repeat": "y"}]},
    ]
    invalid_texts = [json.dumps(harness.config | {"settings": settings}) for settings in incomplete_settings]
    for text in ("{", "", '{"discovery": "nowhere"}', *invalid_texts):
        before = log.read_text().count("configuration not read")
        (harness.folder / "config.json").write_text(text)
        harness.process.send_signal(signal.SIGHUP)
        wait_until(partial(logged_again, log, "configuration not read", before))
    old_agent = harness.servers[1]
    new_agent = address_of(harness.servers[2])
    harness.config["discovery"] = f"127.0.0.1:{new_agent[1]}"
    harness.members[7]["host_port"] = "127.0.0.1:1"  # listed by the new agent only, under the old revision
    harness.configure()
    harness.process.send_signal(signal.SIGHUP)
    wait_until(lambda: log.read_text().count("configuration read") == 1)
    assert "settings applied" not in log.read_text()
    old_agent.stop(timeout=0)
    wait_until(lambda: harness.poll_counts.get(new_agent[1], 0) > 1)  # by now the first list has been applied
    assert harness.submit("h0", "once", "200", 7, 1500) == 202
    assert harness.submit("h1", "free", "200", 1) == 202
    wait_until(lambda: harness.notified("h0") and harness.attempt_count("h1"))
    assert harness.process.poll() is None
    assert not harness.attempt_count("h0")
    harness.kill()
    harness.start()  # the environment still has the old agent's address
    assert harness.submit("h2", "once", "200", 7, 1500) == 202
    wait_until(lambda: harness.notified("h2"))


def test_sighup_during_startup_reloads_the_configuration(harness: SenderHarness) -> None:
    """Guards against a SIGHUP during startup that ends the process, or that is lost although the file may
    have changed since it was read."""
    path = harness.folder / "config.json"
    text = path.read_text()
    path.unlink()
    os.mkfifo(path)
    with (harness.folder / "log").open("ab") as log:
        harness.process = subprocess.Popen(
            [sys.executable, "-m", "ashpath"], env=harness.environment(), stdout=log, stderr=log
        )
    pipe = os.open(path, os.O_WRONLY)  # blocks until the starting process reads the file
    harness.process.send_signal(signal.SIGHUP)
    os.write(pipe, text.encode())
    os.close(pipe)
    # Without this wait both texts may be read as one.
    wait_until(lambda: "event=ready" in (harness.folder / "log").read_text())
    second_write = gevent.get_hub().threadpool.spawn(lambda: path.write_text(text))
    wait_until(lambda: "configuration read" in (harness.folder / "log").read_text())
    second_write.get()
    assert harness.process.poll() is None
