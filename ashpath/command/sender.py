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

from ashpath.node.ends import Ends
from ashpath.node.folder import Folder, NotOurs
from ashpath.node.inquiry import Inquiry
from ashpath.node.log import Form, logger
from ashpath.node.names import PASS
from ashpath.node.notice_file import FileNotices, LineFile, NoNotices
from ashpath.node.notices import Notices
from ashpath.node.route import address
from ashpath.node.start import BadStart, Given, Node
from ashpath.plan.decide import changes
from ashpath.plan.read import Unusable, read
from ashpath.plan.read import secrets as passes
from ashpath.plan.shape import Plan
from ashpath.plan.told import below, notice_address, told

NAMED = 20  # keys that one log line names


class FromFile(Given):
    """What the sender's own file tells, in the platform's form, and beside it what only this file has."""

    def __init__(self, path: Path) -> None:
        self.plan = read(path)
        self.notice_pass, self.passes = passes(path, self.plan)
        self.form = told(self.plan, self.plan.sender.seed or secrets.token_hex(8))
        super().__init__(self.form)


class Standalone(Node):
    """A sender without a platform, or with one that its file names."""

    def __init__(self, path: Path, given: FromFile, form: Form, log: Any, folder: Folder) -> None:
        self.path, self.form, self.folder = path, form, folder
        self.started = self.latest = given.plan
        self.file = given
        state = below(path.parent, given.plan.sender.state)
        super().__init__(given, given.plan.sender.listen, state, log, self.reread)
        self.send.passes = given.passes
        names = [row["name"] for row in given.settings["classes"]]
        self.titles = titles(given.plan)
        self.inquiry = self.take_in.inquiry = Inquiry(self.host, self.ends, names, self.titles)

    def tellers(self, state: Path) -> tuple[Any, Any]:
        limits, plan = self.limits, self.file.plan
        self.ends = Ends(state, limits.ends, round(limits.ends_life * 1e6), self.log)
        receiver = notice_address(plan)
        if receiver is not None:
            notices = Notices(address(receiver[0]), limits, self.ledger, self.log)
            self.direct(notices, receiver, self.file.notice_pass)
            return notices, self.ends
        if plan.notices.file:
            file = below(self.path.parent, plan.notices.file)
            try:
                lines = LineFile(file, limits.notice_file, limits.notice_files)
            except OSError as error:
                raise NotOurs(f"{self.path}: notices.file: {file}: {error.strerror}") from None
            return FileNotices(lines, limits, self.ledger, self.log), self.ends
        return NoNotices(self.ledger), self.ends

    @staticmethod
    def direct(notices: Notices, receiver: tuple[str, str], secret: bytes) -> None:
        notices.path, notices.headers = receiver[1].encode(), [(PASS, secret)] if secret else []

    def number(self, given: Given, held: bool) -> None:
        """Done before the ledger was opened, by the folder's imprint."""

    def keep_numbers(self, given: Given) -> None:
        try:
            self.folder.write(given.settings["classes"])
        except NotOurs as error:
            raise OSError(str(error)) from None

    def reread(self) -> Given:
        return FromFile(self.path)

    def move(self, given: Given) -> None:
        """What a running sender can take: see `plan.decide.changes`. The rest waits, and is named."""
        assert isinstance(given, FromFile)
        self.switch(given)  # first: it may not be possible, and then nothing else is taken
        taken, _ = changes(self.latest, given.plan)
        _, later = changes(self.started, given.plan)
        self.latest = given.plan
        self.form.use(given.plan.logging.level, given.plan.logging.form)
        self.log.info("configuration read", taken=short(taken), rest_at_next_start=short(later))
        self.inquiry.tracks = [row["name"] for row in self.given.settings["classes"]]
        self.send.passes = given.passes
        self.titles.clear()
        self.titles.update(titles(given.plan))
        if self.directory is not None and given.platform is not None:
            self.directory.move(given.platform)
        moved = any(path.startswith("destinations") for path in taken)
        if moved and self.directory is None and given.platform is None:
            self.route.hear(given.known["members"], True)
        receiver = notice_address(given.plan)
        if isinstance(self.notices, Notices) and receiver is not None:
            self.direct(self.notices, receiver, given.notice_pass)
            self.notices.move(address(receiver[0]))


def titles(plan: Plan) -> dict[int, str]:
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
        raise Unusable([f"{path}: limits.descriptors: {words}"])
    if soft != resource.RLIM_INFINITY and wanted > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def serve(file: str) -> int:
    """Runs a sender to its end; the exit code. What cannot be used is said in one line."""
    try:
        return start(Path(file))
    except (Unusable, NotOurs) as error:
        print(f"ashpath: {error}", file=sys.stderr)
        return 2


def start(path: Path) -> int:
    """Raises Unusable and NotOurs before anything was taken on."""
    hangups: list[int] = []  # that come before the sender runs: by default they would end the process
    signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
    given = FromFile(path)
    plan = given.plan
    keep_descriptors(path, plan.limits.descriptors)
    folder = Folder(below(path.parent, plan.sender.state), plan.sender.name)
    held = folder.held()
    given.number(folder.told, held)
    folder.write(given.settings["classes"])
    form = Form(plan.logging.level, plan.logging.form)
    log, lines = logger(plan.sender.name, form)
    try:
        sender = Standalone(path, given, form, log, folder)
    except BadStart as error:
        raise NotOurs(f"{path}: {error}") from None
    except (OSError, ValueError) as error:
        raise NotOurs(f"state folder {folder.path}: {error}") from None
    gevent.spawn(lines.run, log)
    try:
        sender.run(hangups)
    except OSError as error:
        print(f"ashpath: {path}: listen on {plan.sender.listen}: {error.strerror or error}", file=sys.stderr)
        return 1
    return 0
