"""Metrics of a running sender, silent scrapers, and changes of the metrics address."""

from __future__ import annotations

from pathlib import Path
from time import monotonic

import gevent
import pytest
from gevent import socket
from prometheus_client.parser import text_string_to_metric_families
from support.sender_harness import LIMITS, SETTINGS, SenderHarness, free_address, wait_until
from support.server import reload_configuration
from support.standalone import StandaloneSender

from ashpath.server.addresses import Address
from ashpath.server.http.connection import open_connection
from ashpath.server.http.encoding import encode_message, host_header
from ashpath.server.metrics.exposition import MAX_SCRAPERS, SCRAPE_TIMEOUT_S

DELIVERED = ("messages_finished_total", "completed", "free")
SUBMITTED = [  # trace id, traffic class, destination, and the body, which sets the responses to attempts
    ("a", "free", 0, "200"),
    ("b", "free", 1, "500 200"),
    ("c", "once", 2, "500"),
    ("d", "tag", 3, "hang"),
    ("e", "free", 6, "200"),
]


def scrape(address: Address) -> dict[tuple[str, ...], float]:
    """Returns each sample by its name and its label values, in the order of the label names."""
    connection = open_connection(address, LIMITS.http)
    headers = [host_header(address), (b"Connection", b"close")]
    connection.write(encode_message(b"GET /metrics HTTP/1.1", headers, b""))
    response = connection.read_response()
    families = text_string_to_metric_families(connection.finish_response().body.decode())
    connection.close()
    assert response.status == 200
    samples = (sample for family in families for sample in family.samples)
    return {
        (sample.name.removeprefix("ashpath_"), *sample.labels.values()): sample.value for sample in samples
    }


def is_listening(address: Address) -> bool:
    with socket.socket() as probe:
        return bool(probe.connect_ex(address) == 0)


def move_metrics(harness: SenderHarness, event: str, address: Address | None) -> None:
    """Changes the metrics address, and waits until the server listens: the counters start with it, shortly
    after the log line."""
    listen = address and {"listen": f"{address[0]}:{address[1]}"}
    reload_configuration(harness, event, metrics=listen)
    wait_until(lambda: address is None or is_listening(address))


def test_scrape_shows_counters_and_gauges_of_deliveries(harness: SenderHarness) -> None:
    address = free_address()
    harness.members[6]["host_port"] = "127.0.0.1:1"
    harness.configure()
    harness.start()
    move_metrics(harness, "configuration read", address)
    for trace_id, traffic_class, destination, body in SUBMITTED:
        assert harness.submit(trace_id, traffic_class, body, destination) == 202
    assert harness.submit("f", "free", "200", 6, time_left_ms=300) == 202
    wait_until(
        lambda: harness.notified("c") and harness.notified("f") and scrape(address).get(DELIVERED) == 2
    )
    samples = scrape(address)
    specifics = SETTINGS["specifics"]
    assert isinstance(specifics, dict)
    expected = {
        ("messages_accepted_total", "free"): 4,
        ("messages_finished_total", "undeliverable", "once"): 1,
        ("messages_finished_total", "deferred", "free"): 1,
        ("attempts_total", "completed"): 2,
        ("attempt_seconds_count", "completed"): 2,
        ("attempts_total", "error"): 2,
        ("messages",): 2,
        ("attempts_in_flight",): 1,
        ("max_in_flight",): specifics["slots"],
        ("destination_messages", "6"): 1,
        ("destination_in_flight", "3", ""): 1,
        ("destination_limit", "6", ""): 0,
    }
    assert {key: samples[key] for key in expected} == expected
    assert samples["attempts_total", "no connection"] >= 1
    assert samples["endpoint_list_age_seconds",] < 10
    assert samples["discovery_stale_records_total",] == 0
    assert samples["write_ahead_log_behind",] == 0
    assert samples["discovery_polls_total", "answering"] >= 0
    assert 0 < samples["write_ahead_log_bytes",] < samples["write_ahead_log_max_bytes",]
    assert samples["destination_breaker", "6", ""] in (1, 2)
    assert samples["destination_limit", "0", ""] > 0


def test_silent_scrapers_do_not_delay_submissions(harness: SenderHarness) -> None:
    address = free_address()
    harness.start()
    move_metrics(harness, "configuration read", address)
    silent = [socket.create_connection(address) for _ in range(MAX_SCRAPERS + 2)]
    silent[0].sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
    began = monotonic()
    assert [harness.submit(f"a{n}", "free", "200", 0) for n in range(20)] == [202] * 20
    assert monotonic() - began < 1.0
    with gevent.Timeout(3 * SCRAPE_TIMEOUT_S + 2):
        assert scrape(address)["messages_accepted_total", "free"] == 20


def test_metrics_address_changes_and_counters_continue(pair: tuple[SenderHarness, SenderHarness]) -> None:
    """A change to an address in use logs one line, and the old address stays in use; after a change to none,
    no server listens. The counters continue. In a hot upgrade the new process starts beside the old one, and
    takes the address once that ends."""
    old, new = pair
    first, second, in_use = free_address(), free_address(), socket.socket()
    in_use.bind(("127.0.0.1", 0))
    in_use.listen(1)
    move_metrics(old, "configuration read", first)
    assert old.submit("a", "free", "200", 0) == 202
    wait_until(lambda: scrape(first).get(DELIVERED) == 1)
    move_metrics(old, "metrics address not changed", in_use.getsockname())
    assert scrape(first)[DELIVERED] == 1
    for before, after in ((first, second), (second, None)):
        move_metrics(old, "configuration read", after)
        assert after is None or scrape(after)[DELIVERED] == 1
        with pytest.raises(ConnectionError):
            scrape(before)
    move_metrics(old, "configuration read", first)
    assert old.submit("b", "free", "200", 0) == 202
    wait_until(lambda: scrape(first)[DELIVERED] == 2)
    new.start()
    assert scrape(first)[DELIVERED] == 2
    assert old.kill() == -9
    wait_until(lambda: is_listening(first))
    assert DELIVERED not in scrape(first)


def test_listen_address_in_configuration_file_is_applied(tmp_path: Path) -> None:
    """SIGHUP applies the address; an address in use at the start is one error line with file and key."""
    alone, address = StandaloneSender(tmp_path), free_address()
    alone.start()
    alone.rest += f'[metrics]\nlisten = "127.0.0.1:{address[1]}"\n'
    alone.write()
    assert "metrics.listen" in alone.reload()
    assert scrape(address)["max_in_flight",]
    (tmp_path / "second").mkdir()
    second = StandaloneSender(tmp_path / "second", rest=alone.rest)
    expected_error = (
        f"ashpath: {second.file}: metrics.listen: 127.0.0.1:{address[1]}: Address already in use\n"
    )
    completed = second.run("serve", str(second.file))
    assert (completed.returncode, completed.stderr) == (2, expected_error)
    alone.stop()
