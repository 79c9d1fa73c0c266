"""The changes of the sender's file that a reload applies, and those that need a restart."""

from __future__ import annotations

from pathlib import Path

import pytest
from support.configuration import TEXT, write_file

from ashpath.config.changes import ConfigurationChanges, find_changes
from ashpath.config.loading import read_configuration

# Each row: old text ~ new text ~ keys that SIGHUP applies ~ keys that take effect at the next start.
# An @ in the new text is a line break.
CHANGES = """
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


@pytest.mark.parametrize("row", CHANGES.strip().splitlines())
def test_reload_applies_reloadable_keys_only(tmp_path: Path, row: str) -> None:
    before, after, applied, at_next_start = (part.strip() for part in row.split("~"))
    old = read_configuration(write_file(tmp_path, TEXT))
    new = read_configuration(write_file(tmp_path, TEXT.replace(before, after.replace("@", "\n"), 1)))
    assert find_changes(old, new) == ConfigurationChanges(applied.split(), at_next_start.split())
    assert find_changes(new, new) == ConfigurationChanges([], [])
