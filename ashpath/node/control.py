"""The stage that operators meet: the control address, one line a connection, answered within a second.

Each caller has a greenlet of its own and a time of its own (`Limits.control_patience`): one that says
nothing, or half a line, and stays holds only its own connection. Callers beyond `Limits.control_callers`
are told `ERR busy` at once. What a call does is `calls`' business (`Node.order`); it never waits.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
from gevent import Timeout, socket

from ashpath.node.control_line import Call, Unreadable, answer, read
from ashpath.node.limits import Limits
from ashpath.node.pool import Address


class Control:
    def __init__(self, where: Address, limits: Limits, calls: Callable[[Call], tuple[bool, str]], log: Any):
        self.where, self.limits, self.calls, self.log = where, limits, calls, log
        self.callers = 0

    def listen(self) -> None:
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(self.where)
        self.listener.listen(64)

    def run(self) -> None:
        while True:
            try:
                caller = self.listener.accept()[0]
            except OSError:
                gevent.sleep(0.01)  # out of descriptors, or a caller that left again
                continue
            if self.callers >= self.limits.control_callers:
                self.say(caller, answer(False, "busy"))
                continue
            self.callers += 1
            gevent.spawn(self.serve, caller)

    def serve(self, caller: Any) -> None:
        data = b""
        try:
            with Timeout(self.limits.control_patience):
                call = None
                while call is None:
                    piece = caller.recv(512)
                    if not piece:
                        return  # left before its line was whole
                    data += piece
                    call = read(data)
            ok, words = self.calls(call)
            self.log.info("control call", call=call.name, argument=call.argument, ok=ok, words=words)
            self.say(caller, answer(ok, words))
        except Unreadable as error:
            self.say(caller, answer(False, str(error)))
        except Timeout:
            self.say(caller, answer(False, f"no whole line in {self.limits.control_patience:g} s"))
        except OSError:
            pass
        finally:
            self.callers -= 1
            with suppress(OSError):
                caller.close()

    def say(self, caller: Any, data: bytes) -> None:
        with suppress(OSError, Timeout), Timeout(self.limits.peer):
            caller.sendall(data)
        if data.startswith(b"ERR busy"):
            with suppress(OSError):
                caller.close()
