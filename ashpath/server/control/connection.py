"""One operator's connection, from its accept to its close.

reads a line ──whole──> the handler carries it out ──> the result is sent ──> closed
     ├──no command, or not whole within `control_timeout_s`──> the reason is sent ──> closed
     └──the operator leaves, or gave way to another──> closed
"""

from __future__ import annotations

from contextlib import suppress

from gevent import Timeout, socket

from ashpath.server.control.commands import CommandHandler, CommandResult, EndpointCommand, OperatorCommand
from ashpath.server.control.connection_table import ControlConnectionTable
from ashpath.server.control.errors import InvalidCommandError
from ashpath.server.control.protocol import encode_result, parse_command
from ashpath.server.limits import ServerLimits
from ashpath.server.logs import Logger

READ_BYTES = 512  # at once: more than a line may have


class ControlConnection:
    """Serves one command, in a greenlet of its own. It is in `table` from its accept until it ends."""

    def __init__(
        self,
        sock: socket.socket,
        table: ControlConnectionTable,
        limits: ServerLimits,
        handler: CommandHandler,
        logger: Logger,
    ) -> None:
        self.socket = sock
        self.table = table
        self.limits = limits
        self.handler = handler
        self.logger = logger

    def serve(self) -> None:
        """To the connection's end. A command is carried out even where its operator has left by then."""
        try:
            command = self.read_command()
            if command is not None:
                self.send(self.execute(command))
        except InvalidCommandError as error:
            self.send(CommandResult(succeeded=False, message=str(error)))
        except Timeout:
            reason = f"no whole line in {self.limits.control_timeout_s:g} s"
            self.send(CommandResult(succeeded=False, message=reason))
        except OSError:
            pass  # the operator is gone, or gave way: nobody is left to answer
        finally:
            self.table.remove(self.socket)
            with suppress(OSError):
                self.socket.close()

    def read_command(self) -> OperatorCommand | None:
        """None where the operator left before its line was whole.

        Raises InvalidCommandError, Timeout and OSError."""
        received = b""
        with Timeout(self.limits.control_timeout_s):
            while True:
                piece = self.socket.recv(READ_BYTES)
                if not piece:
                    return None
                received += piece
                self.table.mark_active(self.socket)
                command = parse_command(received)
                if command is not None:
                    return command

    def execute(self, command: OperatorCommand) -> CommandResult:
        """Hands the command on, and logs what came of it."""
        result = self.handler.handle(command)
        argument = command.endpoint_id if isinstance(command, EndpointCommand) else None
        self.logger.info(
            "operator command",
            command=command.verb.value,
            argument=argument,
            ok=result.succeeded,
            reason=result.message,
        )
        return result

    def send(self, result: CommandResult) -> None:
        """Answers, unless the operator left or takes longer to read it than `response_write_s`."""
        with suppress(OSError, Timeout), Timeout(self.limits.response_write_s):
            self.socket.sendall(encode_result(result))
