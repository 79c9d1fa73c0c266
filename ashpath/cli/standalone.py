"""Starts a sender from its own file, in the foreground: `ashpath serve FILE`.

Exit codes: 0 after a graceful shutdown, 1 if the sender cannot listen on the clients' address, 2 if the file
or the state directory cannot be used. Codes 1 and 2 come with one line on standard error.
"""

from __future__ import annotations

import os
import resource
import signal
import sys
from pathlib import Path

import gevent

from ashpath.cli.standalone_deployment import FileConfiguration, StandaloneDeployment, StandaloneReloader
from ashpath.config.errors import InvalidConfigurationError
from ashpath.server.errors import StartupError
from ashpath.server.logs import LogFormat, Logger, create_logger
from ashpath.server.process_memory import give_back_freed_memory
from ashpath.server.runtime import SenderRuntime
from ashpath.server.sender import ProcessOptions, Sender
from ashpath.server.storage.errors import StateDirectoryError
from ashpath.server.storage.state_directory import StateDirectory
from ashpath.server.wiring import create_sender

STANDARD_STREAMS = (0, 1, 2)


def serve(file: str) -> int:
    """Runs a sender until it shuts down, and returns the exit code."""
    try:
        return run_sender(Path(file))
    except (InvalidConfigurationError, StateDirectoryError) as error:
        print(f"ashpath: {error}", file=sys.stderr)
        return 2


def run_sender(path: Path) -> int:
    """Runs a sender until it shuts down, and returns the exit code.

    Raises `InvalidConfigurationError` and `StateDirectoryError` before any message is accepted.
    """
    pending_hangups: list[int] = []  # received before the sender runs: by default, SIGHUP ends the process
    signal.signal(signal.SIGHUP, lambda number, _: pending_hangups.append(number))
    give_back_freed_memory()
    configuration = FileConfiguration.read(path)
    file = configuration.file
    open_standard_streams()
    raise_descriptor_limit(path, file.limits.descriptors)
    state_directory = StateDirectory(configuration.state_directory, file.sender.name)
    configuration = configuration.with_traffic_class_ids(
        state_directory.traffic_classes, has_live_messages=state_directory.live_messages() > 0
    )
    state_directory.write(configuration.sender.settings.document["classes"])
    log_format = LogFormat(file.logging.level, file.logging.form)
    logger, log_writer = create_logger(file.sender.name, log_format)
    sender = create_standalone_sender(configuration, state_directory, logger)
    gevent.spawn(log_writer.run, logger)
    try:
        SenderRuntime(sender, StandaloneReloader(configuration, sender, log_format)).run(pending_hangups)
    except OSError as error:
        print(f"ashpath: {path}: listen on {file.sender.listen}: {error.strerror or error}", file=sys.stderr)
        return 1
    return 0


def create_standalone_sender(
    configuration: FileConfiguration, state_directory: StateDirectory, logger: Logger
) -> Sender:
    """Returns a sender that does not run yet. Raises `StateDirectoryError`."""
    process_options = ProcessOptions(configuration.file.sender.listen, configuration.state_directory)
    deployment = StandaloneDeployment(configuration, state_directory)
    try:
        sender = create_sender(process_options, configuration.sender, deployment, logger)
    except StartupError as error:
        raise StateDirectoryError.of_file(configuration.path, error) from error
    except (OSError, ValueError) as error:
        raise StateDirectoryError.of_directory(state_directory.path, str(error)) from error
    sender.delivery.attempt_runner.use_credentials(configuration.credentials.destinations)
    return sender


def open_standard_streams() -> None:
    """Opens closed standard streams on /dev/null.

    Otherwise a file that the sender opens could get the number of a standard stream, and log lines would be
    written into that file.
    """
    for descriptor in STANDARD_STREAMS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # gets the lowest free number, which is `descriptor`


def raise_descriptor_limit(path: Path, wanted: int) -> None:
    """Raises the soft limit on descriptors to the number in the file.

    Raises `InvalidConfigurationError` if the hard limit is lower.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and wanted > hard:
        expected = f"expected at most {hard}, the hard limit of this process"
        raise InvalidConfigurationError([f"{path}: limits.descriptors: found {wanted}, {expected}"])
    if soft != resource.RLIM_INFINITY and wanted > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
