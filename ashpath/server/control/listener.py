"""The stage that operators meet: the control address, one line a connection, answered within a second.

Each caller has a greenlet of its own and a time of its own (`Limits.control_patience`): one that says
nothing, or half a line, and stays holds only its own connection. Of `Limits.control_callers` at once the one
longest without a word gives way to the next, unless it has just spoken: so callers that say nothing keep
nobody out, and take no more descriptors than that. What a call does is its `CommandHandler`'s business; it
never waits.
"""

from __future__ import annotations

from collections import OrderedDict
from contextlib import suppress
from typing import Any

import gevent
from gevent import Timeout, socket

from ashpath.server.control.commands import CommandHandler
from ashpath.server.control.protocol import InvalidCommandError, answer, read
from ashpath.server.delivery.connection_pool import Address
from ashpath.server.limits import ServerLimits


class ControlListener:
    def __init__(
        self,
        where: Address,
        limits: ServerLimits,
        handler: CommandHandler,
        log: Any,
    ):
        self.where, self.limits, self.handler, self.log = where, limits, handler, log
        self.callers: OrderedDict[Any, None] = OrderedDict()  # longest without a word first; left as they end

    def listen(self) -> None:
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(self.where)
        self.listener.listen(1024)  # a caller that finds the queue full comes again a second late

    def run(self) -> None:
        while True:
            try:
                caller = self.listener.accept()[0]
            except OSError:
                gevent.sleep(0.01)  # out of descriptors, or a caller that left again
                continue
            while len(self.callers) >= self.limits.control_connections:
                if not self.give_way():
                    gevent.sleep(0)  # all have just spoken, and are answered now
            self.callers[caller] = None
            gevent.spawn(self.serve, caller)
            gevent.sleep(0)

    def give_way(self) -> bool:
        """Ends the caller longest without a word; False where words of all of them wait to be read."""
        for caller in self.callers:
            if not spoken(caller):
                del self.callers[caller]
                with suppress(OSError):
                    caller.settimeout(0)
                    caller.send(answer(False, "busy: said nothing for the longest"))
                caller.close()
                return True
        return False

    def serve(self, caller: Any) -> None:
        data = b""
        try:
            with Timeout(self.limits.control_timeout_s):
                call = None
                while call is None:
                    piece = caller.recv(512)
                    if not piece:
                        return  # left before its line was whole
                    data += piece
                    self.callers.move_to_end(caller)
                    call = read(data)
            result = self.handler.handle(call)
            ok, words = result.succeeded, result.message
            self.log.info("operator command", command=call.name, argument=call.argument, ok=ok, reason=words)
            self.say(caller, answer(ok, words))
        except InvalidCommandError as error:
            self.say(caller, answer(False, str(error)))
        except Timeout:
            self.say(caller, answer(False, f"no whole line in {self.limits.control_timeout_s:g} s"))
        except OSError:
            pass
        finally:
            self.callers.pop(caller, None)
            with suppress(OSError):
                caller.close()

    def say(self, caller: Any, data: bytes) -> None:
        with suppress(OSError, Timeout), Timeout(self.limits.response_write_s):
            caller.sendall(data)


def spoken(caller: Any) -> bool:
    """Whether bytes of it, or its end, wait to be read. Does not wait."""
    caller.settimeout(0)
    try:
        caller.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        caller.settimeout(None)
    return True
