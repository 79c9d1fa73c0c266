"""Puts a sender together from its own file. The parts are the platform's; only who tells of ends differs."""

from __future__ import annotations

import os
import resource
import secrets
import signal
import sys
from pathlib import Path
from typing import Any

import gevent

from ashpath.config.changes import find_changes
from ashpath.config.errors import InvalidConfigurationError
from ashpath.config.loading import read_configuration, read_credentials
from ashpath.config.platform_form import notification_target, platform_form, resolve
from ashpath.config.schema import Configuration
from ashpath.config.units import HttpTarget
from ashpath.server.backoff import Backoff
from ashpath.server.delivery.endpoint_registry import parse_address
from ashpath.server.delivery.file_notifier import FileNotifier
from ashpath.server.delivery.http_notifier import HttpNotifier, NotificationReceiver
from ashpath.server.delivery.notifier import Notifier, NullNotifier
from ashpath.server.delivery.rotating_file import RotatingFile
from ashpath.server.http.status_api import StatusApi
from ashpath.server.logs import LogFormat, create_logger
from ashpath.server.runtime import SenderConfiguration, SenderProcess, StartupError
from ashpath.server.storage.errors import StateDirectoryError
from ashpath.server.storage.outcome_store import OutcomeStore
from ashpath.server.storage.state_directory import StateDirectory
from ashpath.server.wire_names import CREDENTIAL_HEADER

NAMED = 20  # keys that one log line names


class FileConfiguration(SenderConfiguration):
    """What the sender's own file tells, in the platform's form, and beside it what only this file has."""

    def __init__(self, path: Path) -> None:
        self.plan = read_configuration(path)
        credentials = read_credentials(path, self.plan)
        self.notice_pass = credentials.notifications
        self.passes = credentials.destinations
        self.form = platform_form(self.plan, self.plan.sender.seed or secrets.token_hex(8))
        super().__init__(self.form)


class StandaloneSender(SenderProcess):
    """A sender without a platform, or with one that its file names."""

    def __init__(
        self, path: Path, given: FileConfiguration, form: LogFormat, log: Any, folder: StateDirectory
    ) -> None:
        self.path, self.form, self.folder = path, form, folder
        self.started = self.latest = given.plan
        self.file = given
        state = resolve(path.parent, given.plan.sender.state_directory)
        super().__init__(given, given.plan.sender.listen, state, log, self.reread)
        self.attempt_runner.use_credentials(given.passes)

    def create_status_api(self) -> StatusApi:
        names = [row["name"] for row in self.file.settings["classes"]]
        self.titles = titles(self.file.plan)
        self.inquiry = StatusApi(self.policy_runner, self.ends, names, self.titles)
        return self.inquiry

    def create_notifier(self, state: Path, backoff: Backoff) -> tuple[Notifier, Any]:
        limits, plan = self.limits, self.file.plan
        self.ends = OutcomeStore(
            state, limits.outcome_store_bytes, round(limits.outcome_retention_s * 1e6), self.log
        )
        receiver = notification_target(plan)
        if receiver is not None:
            target = notification_receiver(receiver, self.file.notice_pass)
            return HttpNotifier(target, limits, self.write_ahead_log, self.log, backoff), self.ends
        if plan.notifications.file:
            file = resolve(self.path.parent, plan.notifications.file)
            try:
                lines = RotatingFile(file, limits.notification_file_bytes, limits.notification_files)
            except OSError as error:
                raise StateDirectoryError(f"{self.path}: notices.file: {file}: {error.strerror}") from None
            return FileNotifier(lines, limits, self.write_ahead_log, self.log), self.ends
        return NullNotifier(self.write_ahead_log), self.ends

    def number_traffic_classes(self, given: SenderConfiguration, held: bool) -> None:
        """Done before the ledger was opened, by the folder's imprint."""

    def store_traffic_class_ids(self, given: SenderConfiguration) -> None:
        try:
            self.folder.write(given.settings["classes"])
        except StateDirectoryError as error:
            raise OSError(str(error)) from None

    def reread(self) -> SenderConfiguration:
        return FileConfiguration(self.path)

    def reload(self, given: SenderConfiguration) -> None:
        """What a running sender can take: see `config.changes`. The rest waits, and is named."""
        assert isinstance(given, FileConfiguration)
        self.apply_settings(given)  # first: it may not be possible, and then nothing else is taken
        taken = find_changes(self.latest, given.plan).applied
        later = find_changes(self.started, given.plan).at_next_start
        self.latest = given.plan
        self.form.use(given.plan.logging.level, given.plan.logging.form)
        self.log.info("configuration read", taken=short(taken), needs_restart=short(later))
        self.inquiry.traffic_classes = [row["name"] for row in self.configuration.settings["classes"]]
        self.attempt_runner.use_credentials(given.passes)
        self.titles.clear()
        self.titles.update(titles(given.plan))
        if self.discovery is not None and given.platform_address is not None:
            self.discovery.move(given.platform_address)
        moved = any(path.startswith("destinations") for path in taken)
        if moved and self.discovery is None and given.platform_address is None:
            self.membership.receive_members(given.known_endpoints["members"], whole=True)
        receiver = notification_target(given.plan)
        if isinstance(self.notifier, HttpNotifier) and receiver is not None:
            self.notifier.move(notification_receiver(receiver, given.notice_pass))


def notification_receiver(receiver: HttpTarget, credential: bytes) -> NotificationReceiver:
    """`credential`: empty where it needs none."""
    headers = [(CREDENTIAL_HEADER, credential)] if credential else []
    return NotificationReceiver(parse_address(receiver.address), receiver.path.encode(), headers)


def titles(plan: Configuration) -> dict[int, str]:
    return {number: one.name for number, one in plan.destinations.items() if one.name}


def short(paths: list[str]) -> list[str]:
    """As many as a line may hold."""
    return paths if len(paths) <= NAMED else [*paths[:NAMED], f"and {len(paths) - NAMED} more"]


def keep_descriptors(path: Path, wanted: int) -> None:
    """Standard streams that are closed are opened on nothing, else a file of ours would get their numbers and
    log lines be written into it. The soft limit on descriptors is raised to what the file tells."""
    for descriptor in (0, 1, 2):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # the lowest free number: this one
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and wanted > hard:
        words = f"found {wanted}, expected at most {hard}, which this process may have"
        raise InvalidConfigurationError([f"{path}: limits.descriptors: {words}"])
    if soft != resource.RLIM_INFINITY and wanted > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def serve(file: str) -> int:
    """Runs a sender to its end; the exit code. What cannot be used is said in one line."""
    try:
        return start(Path(file))
    except (InvalidConfigurationError, StateDirectoryError) as error:
        print(f"ashpath: {error}", file=sys.stderr)
        return 2


def start(path: Path) -> int:
    """Raises Unusable and NotOurs before anything was taken on."""
    hangups: list[int] = []  # that come before the sender runs: by default they would end the process
    signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
    given = FileConfiguration(path)
    plan = given.plan
    keep_descriptors(path, plan.limits.descriptors)
    folder = StateDirectory(resolve(path.parent, plan.sender.state_directory), plan.sender.name)
    held = folder.live_messages()
    given.number_traffic_classes(folder.traffic_classes, held)
    folder.write(given.settings["classes"])
    form = LogFormat(plan.logging.level, plan.logging.form)
    log, lines = create_logger(plan.sender.name, form)
    try:
        sender = StandaloneSender(path, given, form, log, folder)
    except StartupError as error:
        raise StateDirectoryError(f"{path}: {error}") from None
    except (OSError, ValueError) as error:
        raise StateDirectoryError(f"state folder {folder.path}: {error}") from None
    gevent.spawn(lines.run, log)
    try:
        sender.run(hangups)
    except OSError as error:
        print(f"ashpath: {path}: listen on {plan.sender.listen}: {error.strerror or error}", file=sys.stderr)
        return 1
    return 0
