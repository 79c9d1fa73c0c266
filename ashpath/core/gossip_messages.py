"""Gossip messages between senders; encoded as `back DESTINATION ENDPOINT`."""

from __future__ import annotations

from typing import NamedTuple


class EndpointRecovered(NamedTuple):
    """This endpoint accepted the first delivery after an outage."""

    destination: int
    endpoint_id: str

    def encode(self) -> bytes:
        """Returns the encoded message.

        >>> EndpointRecovered(7, "x1").encode()
        b'back 7 x1'
        """
        return f"back {self.destination} {self.endpoint_id}".encode()

    @staticmethod
    def decode(message: bytes) -> EndpointRecovered | None:
        """Returns the decoded message, or None for any other input; the input may be malformed.

        >>> EndpointRecovered.decode(b"back 7 x1")
        EndpointRecovered(destination=7, endpoint_id='x1')
        >>> EndpointRecovered.decode(b"back"), EndpointRecovered.decode(b"gone 7 x1")
        (None, None)
        """
        word, number, endpoint_id = (*message.decode("utf-8", "replace").split(" ", 2), "", "")[:3]
        if word != "back" or not number.isdecimal():
            return None
        return EndpointRecovered(int(number), endpoint_id)
