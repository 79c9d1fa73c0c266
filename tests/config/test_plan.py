"""The sender's file: what it makes, what is wrong with it, and what a change of it means."""

from __future__ import annotations

import doctest
import importlib
import json
import pkgutil
import re
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from support.world import ROOT

import ashpath.cli
import ashpath.config
import ashpath.emulator
from ashpath.cli.check import command as check
from ashpath.config.loading import InvalidConfigurationError, read
from ashpath.config.platform_form import told
from ashpath.config.reference import markdown, plain
from ashpath.config.rules import changes
from ashpath.config.validation import plan
from ashpath.core.policy_settings import sender_settings
from ashpath.server.limits import ServerLimits

EXAMPLE = ROOT / "deploy" / "sender.toml"
TEXT = """[sender]
name = "n0"
listen = "127.0.0.1:7070"
seed = "8c1f"
number = 1
senders = 3

[tracks.check-status]
repeat = "repeatable"
promised = "4s"
cutoff = "16s"
payoff = 3.0

[tracks.check-result]
repeat = "tagged"
window = "5s"
promised = "4s"
cutoff = "20s"
late_share = 0.25
whole_group = false
ordered = true

[kinds.bank]
[kinds.app]
apart = true

[rules]
slots = 8
reports = true
decay = "halves"

[limits]
disk = "3MB"

[destinations.7]
kind = "app"
endpoints = ["10.1.0.18:7070", { address = "10.1.0.19:7070", zone = "b", id = "second", draining = true }]
"""
SAME = {
    "classes": [
        {"name": "check-status", "deadline": 16000, "slo": 4000, "repeat": "retryable", "importance": 3},
        {
            "name": "check-result",
            "deadline": 20000,
            "slo": 4000,
            "repeat": "dedup",
            "window": 5000,
            "group": "z",
            "importance": 1,
            "late-worth": 0.25,
            "one-at-a-time": True,
        },
    ],
    "rank": 1,
    "group-size": 3,
    "kinds": ["bank", "app"],
    "zones": ["", "b"],
    "limits": {
        "max-open": 10000,
        "max-attempts": 12,
        "cancelling": True,
        "retry-after": True,
        "max-retry-after": 3000,
        "connect-timeout": 1000,
        "conn-idle": 5000,
    },
    "contract": {
        "drain-grace": 1000,
        "cold-from": 0.2,
        "ramp-time": 10000,
        "fall-multiple": 2,
        "fall": 3000,
        "order-settle": 200,
    },
    "specifics": {"slots": 8, "kind-apart": [False, True], "loses-worth": "halves"},
    "load-info": {"how": "answers", "fields": ["x0", "x1"]},
}


def written(folder: Path, text: str | bytes) -> Path:
    path = folder / "sender.toml"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return path


def faults(folder: Path, text: str | bytes) -> list[str]:
    try:
        read(written(folder, text))
    except InvalidConfigurationError as error:
        return [line.removeprefix(f"{folder}/sender.toml") for line in error.lines]
    return []


def test_examples() -> None:
    for package in (ashpath.config, ashpath.cli, ashpath.emulator):
        for module in pkgutil.iter_modules(package.__path__):
            if module.name != "__main__":
                found = importlib.import_module(f"{package.__name__}.{module.name}")
                assert doctest.testmod(found).failed == 0


def test_same_terms_as_the_platform(tmp_path: Path) -> None:
    """One place for each rule: the file gives what the platform's JSON of the same meaning gives."""
    form = told(read(written(tmp_path, TEXT)), "8c1f")
    terms = sender_settings(0x8C1F, SAME)
    assert sender_settings(int(form["seed"], 16), form["settings"]) == terms
    plain_limits = ServerLimits.of({"sockets": 1024, "disk_mb": 3.0}, terms)
    ours = ServerLimits.of(form["limits"], terms)
    assert (
        ours.client_connections,
        ours.endpoint_connections,
        ours.disk_bytes,
        ours.connect_s,
        ours.endpoint_idle_s,
    ) == (
        plain_limits.client_connections,
        plain_limits.endpoint_connections,
        plain_limits.disk_bytes,
        plain_limits.connect_s,
        plain_limits.endpoint_idle_s,
    )
    assert [row["id"] for row in form["known"]["members"]] == ["7@10.1.0.18:7070", "second"]
    assert [row["phase"] for row in form["known"]["members"]] == ["up", "draining"]


def test_what_is_said(tmp_path: Path) -> None:
    text = (Path(__file__).parent / "faulty.txt").read_text()
    cases = re.findall(r"^([^#\s].*?) ~(.*)\n((?:    .+\n)+)", text, re.M)
    assert len(cases) > 20
    for old, new, said in cases:
        assert TEXT.count(old) >= 1, old
        found = faults(tmp_path, TEXT.replace(old, new.strip().replace("|", "\n"), 1))
        assert found == [" ".join(said.split())], (old, new)
    assert not faults(tmp_path, TEXT)


def test_all_at_once(tmp_path: Path) -> None:
    text = TEXT.replace("slots = 8", "slots = 0").replace('"3MB"', '"3"').replace("payoff", "payof")
    assert [line.split(":")[1] for line in faults(tmp_path, text)] == ["12", "28", "33"]
    many = TEXT + "".join(f"[destinations.x{n}]\n" for n in range(500))
    assert len(faults(tmp_path, many)) == 201 and faults(tmp_path, many)[-1].endswith(" more")


HOSTILE = [
    b"",
    b"\xff\xfe",
    b"a = " + b"9" * 5000,
    b"a = " + b"[" * 50_000,
    b"\0",
    b'a = "',
    b"sender = 1",
    b"[tracks]",
    b"[[sender]]\n[[sender]]",
    TEXT.encode().replace(b"[sender]", b"\xef\xbb\xbf[sender]"),
    TEXT.encode() + b'[destinations."7"]\n',
    TEXT.encode() * 2,
]


def test_hostile_files(tmp_path: Path) -> None:
    for data in HOSTILE:
        said = faults(tmp_path, data)
        assert said and all(re.match(r":[0-9]+: ", line) for line in said), (data[:40], said)
    assert faults(tmp_path, TEXT.replace("8", "9" * 300, 1))[0].count("9") < 60
    for path in (tmp_path, tmp_path / "none", Path("/dev/null/x")):
        with pytest.raises(InvalidConfigurationError):
            read(path)


PIECES = st.sampled_from(
    [
        b"=",
        b"[",
        b"]",
        b"{",
        b"}",
        b'"',
        b"\n",
        b"#",
        b"'",
        b",",
        b".",
        b"-1",
        b"1e999",
        b"nan",
        b"true",
        b"\xc3",
        b"\x00",
        b"1979-05-27",
        b'"4s"',
        b"[[sender]]",
        b"x = 1",
    ]
)
CHANGES = st.lists(
    st.tuples(st.sampled_from(["cut", "put", "double", "drop"]), st.integers(0, 10_000), PIECES),
    min_size=1,
    max_size=4,
)


def mutated(data: bytes, steps: list[tuple[str, int, bytes]]) -> bytes:
    for how, where, piece in steps:
        at = where % (len(data) + 1)
        line = data.rfind(b"\n", 0, at) + 1
        end = (data.find(b"\n", at) + 1) or len(data)
        if how == "cut":
            data = data[:at] + data[at + 1 + where % 7 :]
        elif how == "put":
            data = data[:at] + piece + data[at:]
        elif how == "double":
            data = data[:end] + data[line:end] + data[end:]
        else:
            data = data[:line] + data[end:]
    return data


@settings(
    max_examples=2000,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.too_slow],
)
@given(CHANGES)
def test_mutated_files(tmp_path: Path, steps: list[tuple[str, int, bytes]]) -> None:
    """Whatever becomes of a file: it is sound, or each line names the file and a line of it. No traceback."""
    path = written(tmp_path, mutated(EXAMPLE.read_bytes(), steps))
    try:
        made = read(path)
    except InvalidConfigurationError as error:
        for line in error.lines:
            assert re.match(rf"{re.escape(str(path))}:[1-9][0-9]*: .", line) and "\n" not in line, line
    else:
        sender_settings(1, told(made, "1")["settings"])  # what is sound makes a sender's terms


def test_check_exits(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    for text, code in ((TEXT, 0), (TEXT + "x", 2)):
        assert check.main([str(written(tmp_path, text))], standalone_mode=False) == code
    out, err = capsys.readouterr()
    assert "sound: 2 tracks" in out and len(err.splitlines()) == 1


# A change of the text above, what SIGHUP takes of it, and what waits for the next start.
CHANGED = """
    "10.1.0.18:7070"  ~ "10.1.0.20:7070" ~ destinations.7.endpoints ~
    slots = 8         ~ slots = 9        ~ rules.slots              ~
    [destinations.7]  ~ [logging]@level = "debug"@[destinations.7] ~ logging.level ~
    kind = "app"      ~ kind = "bank"    ~ destinations.7.kind      ~
    [kinds.bank]      ~ [kinds.bank]@apart = true ~ kinds.bank.apart ~
    window = "5s"     ~ window = "6s"    ~ tracks.check-result.window ~
    [kinds.bank]      ~ [zones.a]@fee = 0.5@[kinds.bank] ~ zones.a.fee ~
    [kinds.bank] ~ [peers]@listen = "h:1"@senders = ["h:2"]@[kinds.bank] ~ peers peers.listen peers.senders ~
    [limits]          ~ [limits]@head = "9KiB"  ~                   ~ limits.head
    [destinations.7]  ~ [notices]@address = "http://127.0.0.1:1/"@[destinations.7] ~ ~ notices.address
"""


def test_changes(tmp_path: Path) -> None:
    old = read(written(tmp_path, TEXT))
    for row in CHANGED.strip().splitlines():
        before, after, now, later = (part.strip() for part in row.split("~"))
        new = read(written(tmp_path, TEXT.replace(before, after.replace("@", "\n"), 1)))
        assert changes(old, new) == (now.split(), later.split()), row
        assert changes(new, new) == ([], [])


def test_reference_is_fresh() -> None:
    assert (ROOT / "docs" / "configuration.md").read_text() == markdown(), "run: ashpath explain --markdown"
    assert len(plain("rules.slots")) == 1 and len(plain("rules")) > 10 and not plain("rules.slot")
    assert plan(json.loads("[]"))[0] is None


def test_example_is_sound() -> None:
    assert list(read(EXAMPLE).tracks) == ["check-status", "check-result"]
