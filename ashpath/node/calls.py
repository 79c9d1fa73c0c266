"""Short calls to the platform's agent: the directory's watch and the notices."""

from __future__ import annotations

from collections.abc import Sequence

from gevent import Timeout

from ashpath.node.codec import Closed, Malformed, Message, Wire, dial, host, write_head
from ashpath.node.limits import Limits
from ashpath.node.pool import Address

Headers = Sequence[tuple[bytes, bytes]]


class Line:
    """One kept connection. A call that fails closes it; the caller tries again."""

    def __init__(self, address: Address, limits: Limits) -> None:
        self.address, self.limits = address, limits
        self.wire: Wire | None = None
        self.reached = address  # where the wire leads

    def move(self, address: Address) -> None:
        """From now on the agent is here: a call that is out fails, and its caller tries again."""
        self.address = address
        if self.wire is not None:
            self.wire.close()

    def call(
        self, first: bytes, body: bytes, patience: float, headers: Headers = ()
    ) -> Message | None:
        """The answer, or None if none came in time."""
        try:
            with Timeout(patience):
                if self.wire is None or self.reached != self.address or not self.wire.quiet():
                    self.drop()
                    self.reached = self.address  # guards a dial to the old address while `move` comes
                    self.wire = dial(self.reached, self.limits)
                self.wire.write(write_head(first, [host(self.reached), *headers], body))
                answer = self.wire.read_answer()
                if not answer.sound:
                    raise Malformed(400, "an answer that cannot be read")
                self.wire.finish_answer()
        except (OSError, Closed, Malformed, Timeout):
            self.drop()
            return None
        if not answer.keep:
            self.drop()
        return answer

    def drop(self) -> None:
        if self.wire is not None:
            self.wire.close()
            self.wire = None
