"""A standalone sender: status API, reload of its file, state directory, full disk, log output and secrets."""

from __future__ import annotations

import fcntl
import os
import resource
import signal
from pathlib import Path

import orjson
import pytest
from gevent.subprocess import PIPE
from support.sender_harness import wait_until
from support.standalone import RULES, TRACKS, StandaloneSender

from ashpath.server.storage.errors import StateDirectoryError
from ashpath.server.storage.record_codec import MessageSubmitted, RecordReader, encode_fields
from ashpath.server.storage.state_directory import StateDirectory
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.timers import stored_time


def test_status_api_reports_final_outcomes_across_kill(alone: StandaloneSender) -> None:
    """The status API returns each state, also after a kill, and 404 for a message never submitted."""
    alone.rest += '[notices]\nfile = "notices.jsonl"\n'
    alone.destinations[6] = 'endpoints = ["127.0.0.1:1"]'
    alone.write()
    alone.start()
    for trace, track, body, to in (
        ("done", "once", "200", 0),
        ("hangs", "tag", "hang 200", 1),
        ("lost", "once", "500", 2),
        ("gone", "once", "410", 3),
    ):
        assert alone.submit(trace, track, body, to) == 202
    assert alone.submit("late", "free", "200", 6, time_left_ms=400) == 202
    for trace, state in (
        ("done", "completed"),
        ("hangs", "out"),
        ("lost", "undeliverable"),
        ("gone", "withdrawn"),
        ("late", "deferred"),
    ):
        wait_until(alone.has_state(trace, state))
    assert alone.get("/envelopes/late")["again_ms"] >= 1000
    assert alone.get("/envelopes/never") == 404
    assert alone.submit("hangs", "tag", "200", 1) == 409
    live_messages = alone.get("/envelopes")["envelopes"]
    assert [(row["id"], row["state"], row["track"]) for row in live_messages] == [("hangs", "out", "tag")]
    alone.kill()
    alone.start()
    wait_until(alone.has_state("hangs", "completed"))
    states = {"done": "completed", "lost": "undeliverable", "late": "deferred"}
    assert {trace: alone.state(trace) for trace in states} == states
    notified = [orjson.loads(line) for line in (alone.folder / "notices.jsonl").read_bytes().splitlines()]
    states.pop("done")
    assert {line["id"]: line["status"] for line in notified} == states
    assert len(notified) == 2
    for path, status in (
        ("/envelopes?after=x", 400),
        ("/destinations?after=99", {"destinations": []}),
        ("/envelopes/" + "%00" * 9, 404),
        ("/nowhere", 404),
    ):
        assert alone.get(path) == status


def test_reload_preserves_live_messages(alone: StandaloneSender) -> None:
    """A reload with 200 live messages loses and repeats none of them.

    It replaces endpoints, and removes a destination with attempts in flight and a traffic class in use.
    """
    alone.destinations[5] = 'endpoints = ["127.0.0.1:1"]'  # nothing listens: its messages wait
    alone.destinations[4] = 'endpoints = ["127.0.0.1:1", "127.0.0.1:2"]'
    alone.write()
    alone.start()
    for number in range(198):
        assert alone.submit(f"w{number}", ("free", "tag", "once")[number % 3], "200", 5) == 202
    assert alone.submit("out", "once", "slow", 1) == alone.submit("out2", "free", "slow", 1) == 202
    wait_until(lambda: alone.attempt_count("out") and alone.attempt_count("out2"))
    before = alone.file.read_text()
    alone.file.write_text(before[:200])  # half written
    assert "configuration not read" in alone.reload()
    assert "sender.toml:" in alone.reload()
    del alone.destinations[1]
    alone.destinations[5] = f'endpoints = ["{alone.endpoint_at}"]'
    alone.tracks = TRACKS.replace("[tracks.free]", "[tracks.other]")
    alone.rest = RULES.replace('"8MiB"', '"9MiB"')
    alone.write()
    line = alone.reload()
    taken, later = line.split("needs_restart=")
    assert "destinations.5.endpoints" in taken
    assert "destinations.1.endpoints" in taken
    assert "limits.disk" in later
    assert "tracks.free.repeat" in taken
    assert "tracks" not in later
    assert alone.submit("too late", "other", "200", 1) == 503  # no longer listed
    assert alone.submit("new", "other", "200", 2) == 202
    assert alone.submit("old", "free", "200", 2) == 400  # its live messages keep its settings
    wait_until(lambda: all(alone.attempt_count(f"w{number}") == 1 for number in range(198)))
    wait_until(alone.has_state("out", "completed"))
    wait_until(alone.has_state("out2", "completed"))
    assert alone.attempt_count("out") == alone.attempt_count("out2") == 1
    assert not alone.get("/envelopes")["envelopes"]
    alone.rest += "[kinds.plain]\napart = true\n"
    alone.write()
    assert "kinds.plain.apart" in alone.reload()  # two gates at once, without a new endpoint list
    assert {row["number"]: row["limit"] for row in alone.get("/destinations")["destinations"]}[4] == 2


def test_live_messages_keep_removed_traffic_class_after_restart(alone: StandaloneSender) -> None:
    """After a restart, live messages keep the settings they were accepted under.

    Their traffic class may have been removed from the file, or changed.
    """
    alone.destinations[5] = 'endpoints = ["127.0.0.1:1"]'
    alone.write()
    alone.start()
    for to, (trace, track) in enumerate((("f", "free"), ("t", "tag"), ("o", "once"))):
        alone.submit(trace, track, "hang 200", to, ordering_key="k" if track == "tag" else "")
        alone.submit(f"{trace}-waits", track, "200", 5)
    wait_until(lambda: all(alone.attempt_count(trace) for trace in "fto"))
    alone.kill()
    rest = TRACKS.split("[tracks.tag]")[1]
    alone.tracks = "[tracks.tag]" + rest.replace('"once-only"', '"repeatable"')  # free gone, once changed
    alone.destinations[5] = f'endpoints = ["{alone.endpoint_at}"]'
    alone.write()
    alone.start()
    wait_until(alone.has_state("f", "completed"))
    wait_until(alone.has_state("t", "completed"))
    wait_until(alone.has_state("o", "undeliverable"))  # as it was once-only when it was accepted
    wait_until(lambda: all(alone.state(f"{trace}-waits") == "completed" for trace in "fto"))
    assert alone.attempt_count("o") == 1
    assert alone.submit("x", "free", "200", 1) == 400
    assert alone.submit("y", "once", "500 200", 1) == 202
    wait_until(alone.has_state("y", "completed"))
    alone.kill(signal.SIGTERM)
    alone.start()
    names = [row["name"] for row in orjson.loads((alone.folder / "state" / "imprint").read_bytes())["tracks"]]
    assert names == ["tag", "once"], "ids start again from 0 once no message is live"


def test_foreign_state_directory_is_refused_unchanged(alone: StandaloneSender, tmp_path: Path) -> None:
    """A directory in use, of another sender or damaged gives one line and exit code 2, and is not changed."""
    alone.start()
    alone.destinations[0] = "endpoints = []"
    alone.write()
    before = directory_contents(tmp_path / "state")
    run = alone.run("serve", str(alone.file))
    assert run.returncode == 2, run.stderr
    assert run.stderr.count("\n") == 1, run.stderr
    assert f"in use by another sender, process {alone.process and alone.process.pid}" in run.stderr
    assert directory_contents(tmp_path / "state") == before
    alone.kill()
    state, imprint = tmp_path / "state", tmp_path / "state" / "imprint"
    valid_imprint = imprint.read_bytes()
    corruptions = {b'"version":1': b'"version":2', b'"n0"': b'"n1"', b"{": b""}
    for old, new in corruptions.items():
        imprint.write_bytes(valid_imprint.replace(old, new, 1))
        assert_start_refused(alone, "imprint")
    imprint.write_bytes(valid_imprint)
    entry = StoredMessage(1, "a", 0, 1, None, None, stored_time() + 10**9, b"")
    (state / "journal").write_bytes(encode_fields(["renamed", 1]))
    assert_start_refused(alone, "not a record of this version")
    imprint.unlink()
    (state / "journal").write_bytes(MessageSubmitted(entry).encode())
    assert_start_refused(alone, "no imprint")
    (tmp_path / "file").write_text("")
    for place in ("file", "file/below", "/proc/nowhere"):
        alone.file.write_text(alone.file.read_text().replace('state = "state"', f'state = "{place}"'))
        assert alone.run("serve", str(alone.file)).returncode == 2
        alone.write()


def directory_contents(folder: Path) -> dict[str, bytes]:
    """Returns the contents of the files of a directory by name."""
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def assert_start_refused(alone: StandaloneSender, words: str) -> None:
    """Asserts that the sender does not start, prints the reason, and leaves the state directory unchanged."""
    before = directory_contents(alone.folder / "state")
    run = alone.run("serve", str(alone.file))
    assert run.returncode == 2, run.stderr
    assert run.stderr.count("\n") == 1, run.stderr
    assert words in run.stderr
    assert directory_contents(alone.folder / "state") == before


def test_start_with_full_disk_or_without_permissions(alone: StandaloneSender, tmp_path: Path) -> None:
    """A sender starts on a full disk: it rejects new messages and finishes live ones.

    The log cannot record their outcomes, so they are live again at the next start. Without permissions for
    the state directory, the sender does not start.
    """
    alone.start()
    assert alone.submit("kept", "once", "hang", 1) == 202
    wait_until(lambda: alone.attempt_count("kept"))
    alone.kill()
    state_directory = StateDirectory(tmp_path / "state", "n0")
    assert state_directory.live_messages() == 1
    state_directory.close()

    def limit_file_size() -> None:
        resource.setrlimit(resource.RLIMIT_FSIZE, (1, 1))

    alone.start(stdout=PIPE, preexec_fn=limit_file_size)
    assert alone.submit("refused", "once", "200", 1) == 503
    wait_until(alone.has_state("kept", "undeliverable"))
    alone.kill()
    state_directory = StateDirectory(tmp_path / "state", "n0")
    assert state_directory.live_messages() == 1
    state_directory.close()
    user_id, state = os.geteuid(), tmp_path / "state"
    state.chmod(0)
    try:
        os.seteuid(user_id or 65534)  # permissions do not restrict root
        with pytest.raises(StateDirectoryError, match="Permission denied"):
            StateDirectory(state, "n0")
    finally:
        os.seteuid(user_id)
        state.chmod(0o700)
    alone.start()
    wait_until(alone.has_state("kept", "undeliverable"))


def test_unread_log_output_does_not_block_sender(alone: StandaloneSender) -> None:
    """The sender goes on delivering messages while standard output is a full pipe, and after it is closed."""
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4096)
    os.write(write_end, b"x" * 4096)
    alone.start(stdout=write_end)
    for number in range(60):
        assert alone.submit(f"b{number}", "once", "200", 1) == 202
    wait_until(lambda: all(alone.attempt_count(f"b{number}") == 1 for number in range(60)))
    output = b""
    while b"event=ready" not in output:
        output += os.read(read_end, 4096)
    os.close(read_end)
    assert alone.process is not None
    alone.process.send_signal(signal.SIGHUP)  # writes a log line to the closed pipe
    assert alone.submit("after", "once", "200", 1) == 202
    wait_until(alone.has_state("after", "completed"))
    os.close(write_end)
    assert alone.process.poll() is None


def test_closed_standard_streams_are_opened_on_dev_null(alone: StandaloneSender) -> None:
    """With closed standard streams, a file of the sender could get the number of standard output.

    Log lines would then be written into the write-ahead log.
    """
    alone.start(stdout=None, preexec_fn=lambda: os.closerange(0, 3))
    assert alone.submit("c", "once", "200", 1) == 202
    wait_until(alone.has_state("c", "completed"))
    assert alone.process is not None
    assert os.readlink(f"/proc/{alone.process.pid}/fd/1") == "/dev/null"
    with (alone.folder / "state" / "journal").open("rb") as file:
        reader = RecordReader(file)
        assert list(reader)
        assert not reader.fault


def test_secrets_are_not_written_to_log(alone: StandaloneSender) -> None:
    """Secrets are sent with attempts and notifications, but appear in no log line.

    The error for a missing secret names its key.
    """
    alone.destinations[1] += '\nauthorization = { env = "ASHPATH_TEST_PASS" }'
    receiver = f"http://127.0.0.1:{alone.servers[1].server_port}/v1/notices"
    alone.rest += f'[notices]\naddress = "{receiver}"\nauthorization = {{ file = "pass" }}\n'
    alone.rest += '[logging]\nlevel = "debug"\nform = "json"\n'
    alone.write()
    (alone.folder / "pass").write_text("Bearer of-notices\n")
    run = alone.run("check", str(alone.file))
    assert run.returncode == 2
    assert "destinations.1.authorization" in run.stderr
    assert run.stderr.count("\n") == 1
    environment = os.environ | {"ASHPATH_TEST_PASS": "Bearer of-calls"}
    alone.start(env=environment)
    assert alone.submit("s", "once", "500 secret-body", 1) == 202
    wait_until(lambda: alone.notified("s") == ["undeliverable"])
    assert alone.attempts["s"][0].headers[b"authorization"] == b"Bearer of-calls"
    log = (alone.folder / "log").read_text()
    assert "of-calls" not in log
    assert "of-notices" not in log
    assert "secret-body" not in log
    assert all(orjson.loads(line)["event"] for line in log.splitlines())
