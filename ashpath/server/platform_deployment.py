"""A sender under the platform's agent: `python -m ashpath`.

The environment has RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY, RELAY_STATE and RELAY_CONFIG, and may have
RELAY_CONTROL and, in a hot upgrade, RELAY_ACCEPT_FD, the descriptor of the clients' listening socket. Exit
codes: 0 after a graceful shutdown, 1 if an address cannot be listened on, 2 if the environment or the
configuration cannot be used.
"""

from __future__ import annotations

import os
import stat
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import gevent
import orjson
from msgspec import Struct

from ashpath.server.addresses import Address, parse_address
from ashpath.server.backoff import Backoff
from ashpath.server.configuration import SenderConfiguration
from ashpath.server.delivery.http_notifier import HttpNotifier, NotificationReceiver
from ashpath.server.delivery.notifier import Notifier
from ashpath.server.errors import (
    UNUSABLE_CONFIGURATION_ERRORS,
    ControlAddressError,
    InheritedSocketError,
    MissingVariableError,
    StartupError,
    UnusableConfigurationError,
)
from ashpath.server.limits.server_limits import ServerLimits
from ashpath.server.limits.storage import StorageLimits
from ashpath.server.log_writer import LogWriter
from ashpath.server.logs import LogFormat, Logger, create_logger
from ashpath.server.policy_runner import PolicyRunner
from ashpath.server.process_memory import give_back_freed_memory
from ashpath.server.reload import PlatformReloader
from ashpath.server.runtime import SenderRuntime
from ashpath.server.sender import ProcessOptions
from ashpath.server.storage.traffic_class_ids import TrafficClassIds
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.wiring import create_sender

if TYPE_CHECKING:
    from ashpath.server.storage.outcome_store import OutcomeStore


class PlatformEnvironment(Struct, frozen=True):
    """The environment in which the platform's agent starts a sender."""

    name: str
    discovery: str
    """The address of the discovery service. The address in the configuration file takes precedence."""
    configuration_file: Path
    process_options: ProcessOptions

    @classmethod
    def read(cls) -> PlatformEnvironment:
        """Reads the environment variables. Raises `StartupError` if one is missing or invalid."""
        name = environment_variable("RELAY_NAME")
        listen = environment_variable("RELAY_LISTEN")
        discovery = environment_variable("RELAY_DISCOVERY")
        state = Path(environment_variable("RELAY_STATE"))
        configuration_file = Path(environment_variable("RELAY_CONFIG"))
        inherited_socket = inherited_descriptor()
        process_options = ProcessOptions(listen, state, control_address(), inherited_socket)
        return cls(name, discovery, configuration_file, process_options)

    def read_configuration(self) -> SenderConfiguration:
        """Reads the configuration file. Raises `StartupError`, or one of `UNUSABLE_CONFIGURATION_ERRORS`."""
        document = orjson.loads(self.configuration_file.read_bytes())
        return SenderConfiguration.parse(document, self.discovery)


def environment_variable(name: str) -> str:
    """Returns the value of a variable. Raises `StartupError` if it is missing or empty."""
    value = os.environ.get(name)
    if not value:
        raise MissingVariableError(name)
    return value


def inherited_descriptor() -> int | None:
    """Returns the descriptor of the clients' listening socket, or None if the process inherits none.

    Raises `StartupError` if RELAY_ACCEPT_FD is not the number of an open socket."""
    text = os.environ.get("RELAY_ACCEPT_FD") or None
    if text is None:
        return None
    if not (text.isdigit() and is_open_socket(int(text))):
        raise InheritedSocketError(text)
    return int(text)


def is_open_socket(descriptor: int) -> bool:
    """Returns whether the descriptor is open and a socket."""
    try:
        return stat.S_ISSOCK(os.fstat(descriptor).st_mode)
    except OSError:
        return False


def control_address() -> str:
    """Returns the address for operators' commands, or an empty text if the environment has none.

    Raises `StartupError` if RELAY_CONTROL is not an address."""
    text = os.environ.get("RELAY_CONTROL", "")
    if text:
        try:
            parse_address(text)
        except ValueError as error:
            raise ControlAddressError(error) from error
    return text


class PlatformDeployment:
    """Notifies the platform's agent of final outcomes, and has no status API. Implements `Deployment`."""

    def __init__(self, state: Path, agent: Address) -> None:
        self.traffic_class_ids = TrafficClassIds(state)
        self.agent = agent

    def create_outcome_store(self, limits: StorageLimits, logger: Logger) -> None:
        """Returns None: see `Deployment`."""

    def create_notifier(
        self, limits: ServerLimits, write_ahead_log: WriteAheadLog, backoff: Backoff, logger: Logger
    ) -> Notifier:
        """Returns a notifier that sends to the agent's address."""
        receiver = NotificationReceiver(self.agent)
        return HttpNotifier(receiver, limits.notifications, limits.http, write_ahead_log, logger, backoff)

    def create_status_api(
        self, policy_runner: PolicyRunner, outcome_store: OutcomeStore | None, names: list[str]
    ) -> None:
        """Returns None: see `Deployment`."""

    def restore_traffic_class_ids(
        self, configuration: SenderConfiguration, *, has_live_messages: bool
    ) -> SenderConfiguration:
        """See `Deployment`. The ids are stored at each start, before a message is accepted under them."""
        known = self.traffic_class_ids.read()
        restored = configuration.with_traffic_class_ids(
            known, has_live_messages=has_live_messages and bool(known)
        )
        rows = restored.settings.document["classes"]
        if rows != known:
            self.traffic_class_ids.keep(rows)
        return restored

    @property
    def unwritten_traffic_class_ids(self) -> TrafficClassIds:
        """See `Deployment`."""
        return self.traffic_class_ids

    def store_traffic_class_ids(self, configuration: SenderConfiguration) -> None:
        """See `Deployment`."""
        self.traffic_class_ids.write(configuration.settings.document["classes"])


def create_runtime() -> tuple[SenderRuntime, LogWriter]:
    """Creates a sender and its runtime from the environment. Raises `StartupError`."""
    environment = PlatformEnvironment.read()
    logger, log_writer = create_logger(environment.name, LogFormat())
    try:
        configuration = environment.read_configuration()
        assert configuration.platform_address is not None  # RELAY_DISCOVERY is set
        deployment = PlatformDeployment(
            environment.process_options.state_directory, configuration.platform_address
        )
        sender = create_sender(environment.process_options, configuration, deployment, logger)
    except UNUSABLE_CONFIGURATION_ERRORS as error:
        raise UnusableConfigurationError(environment.configuration_file, error) from error
    reloader = PlatformReloader(
        environment.read_configuration,
        sender.settings_switch,
        sender.discovery,
        sender.delivery.notifier,
        logger,
    )
    return SenderRuntime(sender, reloader), log_writer


def main(pending_hangups: Sequence[int] = ()) -> int:
    """Runs a sender and returns the exit code. `pending_hangups`: SIGHUPs that arrived while modules were
    imported."""
    give_back_freed_memory()
    try:
        runtime, log_writer = create_runtime()
    except StartupError as error:
        print(f"ashpath: {error}", file=sys.stderr)
        return 2
    gevent.spawn(log_writer.run, runtime.logger)
    try:
        runtime.run(pending_hangups)
    except OSError as error:
        print(f"ashpath: {error}", file=sys.stderr)
        return 1
    return 0
