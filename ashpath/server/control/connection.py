"""One operator's connection, from its accept to its close.

reads a line ──complete──> the handler executes it ──> the result is sent ──> closed
     ├──invalid, or incomplete after `control_timeout_s`──> the reason is sent ──> closed
     └──the operator leaves, or the connection is evicted──> closed
"""

from __future__ import annotations

from contextlib import suppress

from gevent import Timeout, socket

from ashpath.server.control.commands import CommandHandler, CommandResult, EndpointCommand, OperatorCommand
from ashpath.server.control.connection_table import ControlConnectionTable
from ashpath.server.control.errors import InvalidCommandError
from ashpath.server.control.protocol import encode_result, parse_command
from ashpath.server.limits.control import ControlLimits
from ashpath.server.logs import Logger

READ_BYTES = 512  # per read: more than a line may have


class ControlConnection:
    """Serves one command, in a greenlet of its own; `table` contains the socket until the connection ends."""

    def __init__(
        self,
        sock: socket.socket,
        table: ControlConnectionTable,
        limits: ControlLimits,
        write_timeout_s: float,
        handler: CommandHandler,
        logger: Logger,
    ) -> None:
        self.socket = sock
        self.table = table
        self.limits = limits
        self.write_timeout_s = write_timeout_s
        self.handler = handler
        self.logger = logger

    def serve(self) -> None:
        """Reads a command, executes it and answers. A complete command is executed even if its operator has
        left."""
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
            pass  # the operator has left or was evicted, and reads no answer
        finally:
            self.table.remove(self.socket)
            with suppress(OSError):
                self.socket.close()

    def read_command(self) -> OperatorCommand | None:
        """Returns the command, or None if the operator left before its line was complete.

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
        """Passes the command to the handler, and logs its result. A system call that fails within it is the
        command's failure, not the connection's."""
        try:
            result = self.handler.handle(command)
        except OSError as error:
            reason = f"{command.verb.value} failed: {error.strerror or error}"
            result = CommandResult(succeeded=False, message=reason)
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
        """Writes the answer, unless the operator has left or does not read it in time."""
        with suppress(OSError, Timeout), Timeout(self.write_timeout_s):
            self.socket.sendall(encode_result(result))
