"""One operator's connection, in this process."""

from __future__ import annotations

import errno
from unittest.mock import Mock

import pytest
from support.sender_harness import LIMITS
from support.server import receive_all, tcp_pair

from ashpath.server.control.commands import CommandResult, OperatorCommand
from ashpath.server.control.connection import ControlConnection
from ashpath.server.control.connection_table import ControlConnectionTable


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EMFILE, errno.ENOMEM, errno.EPIPE, errno.ECONNRESET])
def test_command_with_failed_system_call_is_answered_and_logged(number: int) -> None:
    """The next operator's command is executed."""
    results: list[CommandResult | OSError] = [OSError(number, "injected"), CommandResult(succeeded=True)]

    class FailingHandler:
        def handle(self, _: OperatorCommand) -> CommandResult:
            result = results.pop(0)
            if isinstance(result, OSError):
                raise result
            return result

    table, logger = ControlConnectionTable(4), Mock()
    answers = []
    for _ in range(2):
        server_end, operator_end = tcp_pair()
        table.add(server_end)
        operator_end.sendall(b"LAMEDUCK\n")
        write_timeout_s = LIMITS.http.response_write_s
        ControlConnection(
            server_end, table, LIMITS.control, write_timeout_s, FailingHandler(), logger
        ).serve()
        answers.append(receive_all(operator_end))
        operator_end.close()
    assert answers == [b"ERR LAMEDUCK failed: injected\n", b"OK\n"]
    assert [call.kwargs["ok"] for call in logger.info.call_args_list] == [False, True]
    assert logger.info.call_args_list[0].kwargs["reason"] == "LAMEDUCK failed: injected"
    assert not table.connections
