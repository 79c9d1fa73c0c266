"""The deployment of a sender with a configuration file of its own, as opposed to one that a platform starts.

The file is converted to the platform's form, and `server/wiring.py` creates the sender as on a platform. This
module implements the differences: notifications go to an address that the file names, to a file, or nowhere;
final outcomes are kept for clients that ask; traffic class ids are stored in the state directory's imprint.
"""

from __future__ import annotations

import secrets
from pathlib import Path

from msgspec import Struct
from msgspec.structs import replace

from ashpath.config.changes import find_changes
from ashpath.config.loading import Credentials, read_configuration, read_credentials
from ashpath.config.platform_document import notification_target, platform_document, resolve_path
from ashpath.config.schema import Configuration
from ashpath.core.json_types import JsonObject
from ashpath.server.addresses import parse_address
from ashpath.server.backoff import Backoff
from ashpath.server.configuration import SenderConfiguration
from ashpath.server.delivery.file_notifier import FileNotifier
from ashpath.server.delivery.http_notifier import HttpNotifier, NotificationReceiver
from ashpath.server.delivery.notifier import Notifier, NullNotifier
from ashpath.server.delivery.rotating_file import RotatingFile
from ashpath.server.errors import UNUSABLE_CONFIGURATION_ERRORS, ConfigurationError, error_text
from ashpath.server.http.status_api import StatusApi
from ashpath.server.limits.notifications import NotificationLimits
from ashpath.server.limits.server_limits import ServerLimits
from ashpath.server.limits.storage import StorageLimits
from ashpath.server.logs import LogFormat, Logger
from ashpath.server.policy_runner import PolicyRunner
from ashpath.server.sender import Sender
from ashpath.server.storage.errors import StateDirectoryError
from ashpath.server.storage.outcome_store import OutcomeStore
from ashpath.server.storage.state_directory import StateDirectory
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.wire_names import CREDENTIAL_HEADER

MAX_LOGGED_KEYS = 20  # changed keys that one log line names


class FileConfiguration(Struct, frozen=True):
    """The contents of a sender's own file."""

    path: Path
    file: Configuration
    sender: SenderConfiguration
    """The same configuration, read from the platform's form of the file."""
    credentials: Credentials

    @classmethod
    def read(cls, path: Path) -> FileConfiguration:
        """Reads a file and its secrets. Raises `InvalidConfigurationError`."""
        file = read_configuration(path)
        credentials = read_credentials(path, file)
        document = platform_document(file, file.sender.seed or secrets.token_hex(8))
        return cls(path, file, SenderConfiguration.parse(document), credentials)

    def with_traffic_class_ids(
        self, known: list[JsonObject], *, has_live_messages: bool
    ) -> FileConfiguration:
        """See `SenderConfiguration.with_traffic_class_ids`."""
        sender = self.sender.with_traffic_class_ids(known, has_live_messages=has_live_messages)
        return replace(self, sender=sender)

    @property
    def state_directory(self) -> Path:
        """The state directory; a relative path is resolved against the directory of the file."""
        return resolve_path(self.path.parent, self.file.sender.state_directory)

    def destination_names(self) -> dict[int, str]:
        """Returns the names of destinations by number, without destinations that have none."""
        return {
            number: destination.name
            for number, destination in self.file.destinations.items()
            if destination.name
        }

    def notification_receiver(self) -> NotificationReceiver | None:
        """Returns the HTTP receiver of notifications, or None if they go to a file or nowhere."""
        target = notification_target(self.file)
        if target is None:
            return None
        credential = self.credentials.notifications
        headers = [(CREDENTIAL_HEADER, credential)] if credential else []
        return NotificationReceiver(parse_address(target.address), target.path.encode(), headers)


class StandaloneDeployment:
    """A `Deployment` that keeps final outcomes for clients that ask."""

    def __init__(self, configuration: FileConfiguration, state_directory: StateDirectory) -> None:
        self.configuration = configuration
        self.state_directory = state_directory

    def create_outcome_store(self, limits: StorageLimits, logger: Logger) -> OutcomeStore:
        """Returns an outcome store in the state directory."""
        retention_us = round(limits.outcome_retention_s * 1e6)
        return OutcomeStore(
            self.configuration.state_directory, limits.outcome_store_bytes, retention_us, logger
        )

    def create_notifier(
        self, limits: ServerLimits, write_ahead_log: WriteAheadLog, backoff: Backoff, logger: Logger
    ) -> Notifier:
        """Returns a notifier to an address, a file or nowhere.

        Raises `StateDirectoryError` if the file of notifications cannot be opened.
        """
        receiver = self.configuration.notification_receiver()
        if receiver is not None:
            return HttpNotifier(receiver, limits.notifications, limits.http, write_ahead_log, logger, backoff)
        if self.configuration.file.notifications.file:
            lines = self.open_notification_file(limits.notifications)
            return FileNotifier(lines, limits.notifications, limits.services.retry_s, write_ahead_log, logger)
        return NullNotifier(write_ahead_log)

    def open_notification_file(self, limits: NotificationLimits) -> RotatingFile:
        """Opens the file of notifications; a relative path starts at the configuration file's directory.

        Raises `StateDirectoryError` if the file cannot be opened.
        """
        path = resolve_path(self.configuration.path.parent, self.configuration.file.notifications.file)
        try:
            return RotatingFile(path, limits.notification_file_bytes, limits.notification_files)
        except OSError as error:
            problem = f"notices.file: {path}: {error.strerror}"
            raise StateDirectoryError.of_file(self.configuration.path, problem) from error

    def create_status_api(
        self, policy_runner: PolicyRunner, outcome_store: OutcomeStore | None, names: list[str]
    ) -> StatusApi | None:
        """See `Deployment`."""
        if outcome_store is None:
            return None
        return StatusApi(policy_runner, outcome_store, names, self.configuration.destination_names())

    def restore_traffic_class_ids(
        self, configuration: SenderConfiguration, *, has_live_messages: bool
    ) -> SenderConfiguration:
        """Returns the configuration unchanged.

        `run_sender` restored the ids from the state directory's imprint before it opened the write-ahead log.
        """
        return configuration

    @property
    def unwritten_traffic_class_ids(self) -> None:
        """See `Deployment`. `run_sender` has written the imprint."""
        return None

    def store_traffic_class_ids(self, configuration: SenderConfiguration) -> None:
        """Writes the traffic classes to the state directory's imprint. Raises OSError."""
        try:
            self.state_directory.write(configuration.settings.document["classes"])
        except StateDirectoryError as error:
            raise OSError(str(error)) from error


class StandaloneReloader:
    """Applies the changes of the file that a running sender can apply: see `config.changes`.

    The log names the other changes, which take effect at the next start.
    """

    def __init__(self, configuration: FileConfiguration, sender: Sender, log_format: LogFormat) -> None:
        self.path = configuration.path
        self.startup_configuration = configuration.file  # the file as the process started with it
        self.latest_configuration = configuration.file  # the file as last read and applied
        self.sender = sender
        self.log_format = log_format

    def reload(self) -> None:
        """See `Reloader`."""
        try:
            configuration = FileConfiguration.read(self.path)
        except UNUSABLE_CONFIGURATION_ERRORS as error:
            raise ConfigurationError(error_text(error)) from error
        # Settings go first: if they cannot be applied, nothing else of the file is.
        self.sender.settings_switch.apply(configuration.sender)
        applied = find_changes(self.latest_configuration, configuration.file).applied
        waiting = find_changes(self.startup_configuration, configuration.file).at_next_start
        self.latest_configuration = configuration.file
        self.log_format.configure(configuration.file.logging.level, configuration.file.logging.form)
        self.sender.logger.info(
            "configuration read", taken=truncate_keys(applied), needs_restart=truncate_keys(waiting)
        )
        self.update_names(configuration)
        self.sender.delivery.attempt_runner.use_credentials(configuration.credentials.destinations)
        self.update_discovery(configuration, applied)
        self.update_notifier(configuration)

    def update_names(self, configuration: FileConfiguration) -> None:
        """Updates the names of traffic classes and destinations in the status API."""
        status_api = self.sender.clients.status_api
        if status_api is not None:
            running = self.sender.running.current.settings
            status_api.apply_names(running.traffic_class_names(), configuration.destination_names())

    def update_discovery(self, configuration: FileConfiguration, applied: list[str]) -> None:
        """Changes the address of service discovery; without one, applies the file's own endpoint list."""
        discovery = self.sender.discovery
        address = configuration.sender.platform_address
        if discovery is not None and address is not None:
            discovery.change_address(address)
        changed = any(path.startswith("destinations") for path in applied)
        if changed and discovery is None and address is None:
            members = configuration.sender.known_endpoints["members"]
            self.sender.delivery.membership.receive_members(members, complete=True)

    def update_notifier(self, configuration: FileConfiguration) -> None:
        """Changes the receiver of notifications if they are sent by HTTP."""
        notifier = self.sender.delivery.notifier
        receiver = configuration.notification_receiver()
        if isinstance(notifier, HttpNotifier) and receiver is not None:
            notifier.change_receiver(receiver)


def truncate_keys(paths: list[str]) -> list[str]:
    """Returns at most MAX_LOGGED_KEYS of the paths, followed by a count of the others."""
    if len(paths) <= MAX_LOGGED_KEYS:
        return paths
    return [*paths[:MAX_LOGGED_KEYS], f"and {len(paths) - MAX_LOGGED_KEYS} more"]
