"""Parsing of responses of the discovery agent."""

from __future__ import annotations

import pytest

from ashpath.server.discovery.errors import DiscoveryError, EmptyListError, UnreadableListError
from ashpath.server.discovery.snapshot import EndpointListResponse, parse_response


@pytest.mark.parametrize("complete", [True, False])
def test_valid_list_is_parsed_completely(complete: bool) -> None:
    flag = b"true" if complete else b"false"
    parsed = parse_response(b'{"revision": 7, "complete": %s, "members": [{"id": "a"}]}' % flag)
    assert parsed == EndpointListResponse([{"id": "a"}], complete=complete, revision=7)


@pytest.mark.parametrize(
    ("body", "error"),
    [
        (b"", UnreadableListError),
        (b'{"members": [', UnreadableListError),
        (b"[]", UnreadableListError),
        (b'{"revision": 1, "complete": true}', UnreadableListError),
        (b'{"revision": "x", "complete": true, "members": [{}]}', UnreadableListError),
        (b'{"revision": null, "complete": true, "members": [{}]}', UnreadableListError),
        (b'{"revision": 1, "complete": "no", "members": [{}]}', UnreadableListError),
        (b'{"revision": 1, "complete": true, "members": {"a": 1}}', UnreadableListError),
        (b'{"revision": 1, "complete": true, "members": []}', EmptyListError),
    ],
)
def test_invalid_body_raises_discovery_error(body: bytes, error: type[DiscoveryError]) -> None:
    with pytest.raises(error):
        parse_response(body)


def test_empty_update_is_a_valid_list() -> None:
    assert parse_response(b'{"revision": 2, "complete": false, "members": []}').rows == []
