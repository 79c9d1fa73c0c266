"""Puts the sender together, starts it, and ends it in order."""

from __future__ import annotations

import gc
import os
import signal
import stat
import sys
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from random import Random
from time import monotonic
from typing import TYPE_CHECKING, Any

import gevent
import orjson
from gevent.event import Event

from ashpath.core.errors import InvalidSettingError
from ashpath.core.platform_settings import load_report_fields
from ashpath.core.policy_settings import sender_settings
from ashpath.core.settings_alignment import align_order
from ashpath.core.traffic_class_ids import number_traffic_classes
from ashpath.server.backoff import Backoff
from ashpath.server.control.commands import CommandResult, EndpointCommand, OperatorCommand, Verb
from ashpath.server.control.listener import ControlListener
from ashpath.server.delivery.attempt_runner import AttemptRunner
from ashpath.server.delivery.connection_pool import Address, ConnectionPool
from ashpath.server.delivery.endpoint_registry import EndpointRegistry, parse_address
from ashpath.server.delivery.http_notifier import HttpNotifier, NotificationReceiver
from ashpath.server.delivery.notifier import Notifier
from ashpath.server.delivery.outcome_recorder import OutcomeRecorder
from ashpath.server.delivery.response_classifier import ResponseClassifier
from ashpath.server.discovery.client import DiscoveryClient
from ashpath.server.endpoint_membership import EndpointMembership
from ashpath.server.gossip_link import GossipLink
from ashpath.server.http.admission import Admission
from ashpath.server.http.listener import ClientListener
from ashpath.server.http.request_handler import RequestResponder
from ashpath.server.limits import ServerLimits
from ashpath.server.logs import LogFormat, LogWriter, create_logger
from ashpath.server.policy_runner import PolicyRunner
from ashpath.server.storage import detached_endpoints as holds
from ashpath.server.storage import outage_store as outages
from ashpath.server.storage import traffic_class_ids as numbers
from ashpath.server.storage.errors import StorageError
from ashpath.server.storage.shared_memory import PLACES, SIZE, SharedMemory
from ashpath.server.storage.write_ahead_log import WriteAheadLog

if TYPE_CHECKING:
    from ashpath.server.gossip import Gossip
    from ashpath.server.metrics.metrics import Metrics

UNUSABLE = (OSError, ValueError, KeyError, TypeError, AttributeError)


class StartupError(ValueError):
    """What the sender was told at its start cannot be used."""


def error_text(error: BaseException) -> str:
    if isinstance(error, StartupError | InvalidSettingError):
        return str(error)
    kind = error.reported_as if isinstance(error, StorageError) else type(error).__name__
    return f"{kind} {error}"


def listens(told: dict[str, Any], name: str) -> Address | None:
    """The address under `NAME.listen`; none where nothing stands under NAME."""
    try:
        return parse_address(str(told[name]["listen"])) if told.get(name) else None
    except (ValueError, KeyError, TypeError):
        raise StartupError(
            f"{name}.listen: found {told[name]!r:.60}, expected an address with a port"
        ) from None


class SenderConfiguration:
    """What a sender is told at its start and at each SIGHUP: the platform's file, or one of the same form."""

    def __init__(self, told: dict[str, Any], discovery: str = "") -> None:
        self.seed = int(str(told["seed"]), 16)
        self.raw_settings: dict[str, Any] = told[
            "settings"
        ]  # as read: what is used has the numbers of this life
        self.apply(self.raw_settings)
        self.limits = ServerLimits.of(told.get("limits") or {}, self.policy_settings)
        self.known_endpoints: dict[str, Any] = told.get("known") or {"members": [], "revision": 0}
        # A restart has the same environment, but the file may have changed since.
        self.discovery: str = told.get("discovery") or discovery
        self.control: str = str(told.get("control") or "")  # the operators' address; older days have none
        self.platform_address = parse_address(self.discovery) if self.discovery else None
        peers = told.get("peers") or {}  # other senders: where this one hears their notes, and where they do
        self.gossip_listen = listens(told, "peers")
        self.metrics_listen = listens(told, "metrics")  # where counts are read
        self.gossip_peers = frozenset(parse_address(str(other)) for other in (peers.get("senders") or ()))

    def apply(self, settings: dict[str, Any], closed: Sequence[int] = ()) -> None:
        """`closed`: numbers of tracks that take nothing new."""
        self.settings = settings
        self.policy_settings = sender_settings(self.seed, settings)
        self.kinds, self.zones = (list(settings.get(name) or []) for name in ("kinds", "zones"))
        self.discovery_pushes = (
            settings.get("membership-mode") != "ask"
        )  # what the platform's agent has counts as told
        rows = enumerate(settings["classes"])
        self.traffic_class_ids = {row["name"]: number for number, row in rows if number not in closed}

    def number_traffic_classes(self, known: list[dict[str, Any]], held: int) -> None:
        """Numbers the tracks as the ledger has them: see `terms.numbered`."""
        rows, closed = number_traffic_classes(self.settings["classes"], known, held)
        self.apply({**self.settings, "classes": rows}, closed)

    def align_with(self, before: SenderConfiguration) -> None:
        """Settings for a sender that runs by `before`: tracks, kinds and zones keep their numbers."""
        known = before.settings["classes"]
        self.settings = align_order(self.settings, before.settings)
        self.number_traffic_classes(
            known, held=1
        )  # what is behind them is measured, held or on its way: no number is reused


class StoredDetachments:
    def __init__(self, state: Path, log: Any) -> None:
        self.state, self.log = state, log

    def read(self) -> set[str]:
        return holds.read(self.state, self.log)


class SenderProcess:
    """One sender on sockets: who owns what is decided here, once. `read` reads anew what it was given."""

    def __init__(
        self,
        given: SenderConfiguration,
        listen: str,
        state: Path,
        log: Any,
        read: Callable[[], SenderConfiguration],
        control: str = "",
        inherited: int | None = None,
    ) -> None:
        self.configuration, self.read_configuration, self.log, self.state = given, read, log, state
        self.metrics: Metrics | None = None  # where the configuration names an address for it
        self.gossip: Gossip | None = None  # where the configuration names other senders
        self.limits = limits = given.limits
        places = 1 if inherited is None else PLACES  # who binds the address is alone
        self.write_ahead_log = WriteAheadLog(state, limits.disk_bytes - places * SIZE - outages.SPACE)
        self.number_traffic_classes(given, bool(self.write_ahead_log.live) or inherited is not None)
        terms = given.policy_settings
        board = SharedMemory(state, places)
        if board.own is None:
            log.error("no shared memory: Retry-After and detached endpoints of this process bind no other")
        seed = f"{given.policy_settings.seed}/{listen}"  # senders of one fleet differ by their address
        backoff = Backoff(Random(seed + "/n"), limits.retry_s, limits.notification_backoff_s)
        self.notifier, ends = self.create_notifier(state, backoff)
        self.pool = ConnectionPool(limits)
        self.registry = EndpointRegistry(given.kinds, given.zones, self.pool, log)
        book = OutcomeRecorder(self.write_ahead_log, self.notifier, ends)
        classifier = ResponseClassifier(has_load_reports=load_report_fields(given.settings) is not None)
        self.attempt_runner = AttemptRunner(self.pool, self.registry, classifier, self.notifier, log)
        self.gossip_link = GossipLink()
        self.policy_runner = PolicyRunner(
            terms,
            self.write_ahead_log,
            book,
            self.attempt_runner,
            board,
            StoredDetachments(state, log),
            outages.OutageStore(state, log),
            self.gossip_link,
            log,
        )
        self.membership = EndpointMembership(self.registry, self.policy_runner)
        self.admission = Admission(
            terms, given.traffic_class_ids, self.registry, self.policy_runner, self.write_ahead_log, log
        )
        self.listener = ClientListener(
            parse_address(listen), limits, self.admission, log, self.create_status_api()
        )
        revision = int(given.known_endpoints.get("revision") or 0)
        self.registry.apply_members(given.known_endpoints["members"], whole=True)
        self.changed, self.ended = Event(), Event()
        control = control or given.control
        self.control = control and ControlListener(parse_address(control), limits, self, log)
        self.inherited = inherited  # the platform's listening socket, handed down
        # Guards the directory against a fleet that starts at once. In a hot upgrade a sender starts alone.
        turn = terms.sender_index * min(limits.first_poll_spacing_s, limits.watch_s / terms.sender_count)
        self.discovery = given.platform_address and DiscoveryClient(
            given.platform_address,
            limits,
            revision,
            self.membership,
            Random(seed + "/d"),
            log,
            turn if inherited is None else 0.0,
        )
        try:
            self.configure_metrics(given.metrics_listen)
        except OSError as error:
            if inherited is None:
                where = ":".join(map(str, given.metrics_listen or ()))
                raise StartupError(f"metrics.listen: {where}: {error.strerror or error}") from None
            gevent.spawn(self.retry_metrics)  # the process beside this one has it until it ends

    def create_notifier(self, state: Path, backoff: Backoff) -> tuple[Notifier, Any]:
        """Who is told of ends after the 202, and who keeps them for clients that ask."""
        assert self.configuration.platform_address is not None
        receiver = NotificationReceiver(self.configuration.platform_address)
        return HttpNotifier(receiver, self.limits, self.write_ahead_log, self.log, backoff), None

    def create_status_api(self) -> RequestResponder | None:
        """What clients may ask besides; none on a platform."""
        return None

    def services(self) -> list[Callable[[], None]]:
        """What runs beside one another until the end."""
        directory = [self.discovery.run] if self.discovery else []
        control = [self.control.run] if self.control else []
        beside = [] if self.inherited is None else [self.adopt_orphans]  # who binds the address is alone
        return [
            self.reload_loop,
            *directory,
            self.notifier.run,
            self.policy_runner.timers.run,
            self.pool.run,
            self.listener.run,
            *beside,
            *control,
        ]

    def run(self, hangups: Sequence[int] = ()) -> None:
        """`hangups`: SIGHUPs that came while the parts were put together."""
        gevent.signal_handler(signal.SIGHUP, self.changed.set)
        gevent.signal_handler(signal.SIGTERM, gevent.spawn, self.shut_down)
        if hangups:
            self.changed.set()  # the file may be another than the one that was read
        held = holds.read(self.state, self.log)
        if self.discovery is not None and self.configuration.discovery_pushes:
            self.discovery.initial_snapshot()
        self.policy_runner.restore(list(self.registry.records.values()), sorted(held))
        self.listener.listen(self.inherited)
        if self.control:
            self.control.listen()
        self.configure_gossip(self.configuration)
        for run in self.services():
            gevent.spawn(self.supervise, run)
        gc.collect()
        gc.freeze()
        self.log.info(
            "ready",
            messages=len(self.policy_runner.messages),
            endpoints=len(self.registry.addresses),
            detached=len(held),
            inherited=self.inherited is not None,
        )
        self.ended.wait()
        self.write_ahead_log.close()

    def reload_loop(self) -> None:
        while True:
            self.changed.wait()
            self.changed.clear()
            try:
                given = self.read_configuration()
            except UNUSABLE as error:  # half written, say: the old one still serves
                self.log.error("configuration not read", error=error_text(error))
                continue
            try:
                self.reload(given)
            except OSError as error:
                self.log.error("configuration not applied", error=str(error))

    def reload(self, given: SenderConfiguration) -> None:
        """The platform's agent may be elsewhere, and settings may be new. Limits of the process wait for the
        next start."""
        later = given.limits != self.limits
        self.log.info("configuration read", discovery=given.discovery, needs_restart=later)
        if self.discovery is not None and given.platform_address is not None:
            self.discovery.move(given.platform_address)
            if isinstance(self.notifier, HttpNotifier):
                self.notifier.move(NotificationReceiver(given.platform_address))
        self.apply_settings(given)

    def apply_settings(self, given: SenderConfiguration) -> None:
        """New settings for what is taken on from now on, in one turn; the way back is the same step. What is
        held keeps the terms it was taken on under, and what is out comes back to the gate it went through."""
        if given.raw_settings != self.configuration.raw_settings:
            given.align_with(self.configuration)
            self.store_traffic_class_ids(given)
            self.configuration = given
            # Descriptors are shared out at the start: no more calls than connections until the next one.
            terms = replace(
                given.policy_settings,
                max_in_flight=min(given.policy_settings.max_in_flight, self.limits.endpoint_connections),
            )
            self.pool.limits = replace(
                self.limits, connect_s=given.limits.connect_s, endpoint_idle_s=given.limits.endpoint_idle_s
            )
            self.registry.configure(given.kinds, given.zones)
            self.admission.apply_settings(terms, given.traffic_class_ids)
            self.policy_runner.apply_settings(terms, list(self.registry.records.values()))
            self.log.info(
                "settings applied",
                traffic_classes=len(given.traffic_class_ids),
                max_in_flight=terms.max_in_flight,
                queue_capacity=terms.queue_capacity,
                senders=terms.sender_count,
                messages=len(self.policy_runner.messages),
                in_flight=len(self.policy_runner.attempts),
            )
        try:
            self.configure_metrics(given.metrics_listen)
        except OSError as error:  # the one before serves on
            self.log.error("metrics address not changed", error=str(error.strerror or error))
        self.configure_gossip(
            given
        )  # also where nothing changed: an address that could not be had may be free by now

    def number_traffic_classes(self, given: SenderConfiguration, held: bool) -> None:
        """What was switched in an earlier life goes on for what it left."""
        known = numbers.read(self.state)
        given.number_traffic_classes(known, held and bool(known))
        if known and not held:
            numbers.forget(self.state)

    def store_traffic_class_ids(self, given: SenderConfiguration) -> None:
        """For the next life, as the ledger has numbers only. Raises OSError: nothing was switched then."""
        numbers.write(self.state, given.settings["classes"])

    def configure_gossip(self, given: SenderConfiguration) -> None:
        """Notes between senders, where the configuration names others."""
        if self.gossip is None and given.gossip_listen is not None:
            from ashpath.server.gossip import Gossip

            self.gossip = Gossip(self.policy_runner, self.log)
            self.gossip_link.connect(self.gossip)
        if self.gossip is not None:
            try:
                self.gossip.move(given.gossip_listen, given.gossip_peers)
            except OSError as error:
                self.log.error("gossip not received", error=str(error))

    def configure_metrics(self, where: Address | None) -> None:
        """Counts and gauges, where the configuration names an address. Raises OSError."""
        self.read_at = where
        if self.metrics is None and where is not None:
            from ashpath.server.metrics.metrics import Metrics

            self.metrics = Metrics(self)
        if self.metrics is not None:
            self.metrics.move(where)
            self.policy_runner.recorder.use_metrics(self.metrics.counters if where else None)

    def traffic_class_name(self, traffic_class: int) -> str:
        """As the running settings name it; empty where they have no such number."""
        rows = self.configuration.settings["classes"]
        return str(rows[traffic_class]["name"]) if traffic_class < len(rows) else ""

    def retry_metrics(self) -> None:
        """Tries until the address is free, or the configuration names another."""
        while self.metrics is not None and self.metrics.address != self.read_at:
            with suppress(OSError):
                return self.configure_metrics(self.read_at)
            gevent.sleep(self.limits.adoption_interval_s)

    def adopt_orphans(self) -> None:
        """What a process gone in a hot upgrade left in its journal is this one's to end."""
        while True:
            gevent.sleep(self.limits.adoption_interval_s)
            adopted = self.write_ahead_log.adopt()
            if adopted:
                self.log.info("write-ahead log adopted", messages=len(adopted))
                self.policy_runner.adopt(adopted)

    def handle(self, command: OperatorCommand) -> CommandResult:
        """Carries out an operator's command at the control address."""
        if isinstance(command, EndpointCommand):
            return self.set_detached(command.endpoint_id, detached=command.verb is Verb.DETACH)
        if command.verb is Verb.LAMEDUCK:
            self.listener.set_lame_duck(enabled=True)
            return CommandResult(succeeded=True, message="lame duck: not ready, clients sent away")
        if command.verb is Verb.REJOIN:
            self.listener.set_lame_duck(enabled=False)
            return CommandResult(succeeded=True, message="ending" if self.listener.closing else "ready")
        return CommandResult(succeeded=True)  # PING: the control address listens once all is restored

    def set_detached(self, endpoint_id: str, *, detached: bool) -> CommandResult:
        """Carries out DETACH and ATTACH."""
        detached_now = self.policy_runner.policy.detached
        if endpoint_id not in self.registry.records and endpoint_id not in detached_now:
            return CommandResult(succeeded=False, message=f"unknown endpoint {endpoint_id}")
        if detached != (endpoint_id in detached_now):
            try:
                holds.change(self.state, endpoint_id, detached, self.log)
            except OSError as error:
                reason = f"hold not kept: {error.strerror or error}"
                return CommandResult(succeeded=False, message=reason)
            self.policy_runner.shared_memory.publish_detached_change()
            record = self.registry.records.get(endpoint_id)
            self.policy_runner.set_detached(endpoint_id, detached=detached, record=record)
        return CommandResult(
            succeeded=True, message=f"{endpoint_id} {'draining' if detached else 'back, cold'}"
        )

    def supervise(self, run: Callable[[], None]) -> None:
        """Guards the sender against a fault that would end one of its parts for good."""
        while True:
            try:
                return run()
            except Exception:
                self.log.exception("unexpected error")
                gevent.sleep(self.limits.retry_s)

    def shut_down(self) -> None:
        """After SIGTERM: what can be finished is, the rest is in the ledger for the next life."""
        if self.listener.closing:
            return  # a second SIGTERM: it would put off the answers that the first one still owes
        began, limits = monotonic(), self.limits
        self.log.info(
            "shutdown started",
            messages=len(self.policy_runner.messages),
            in_flight=len(self.policy_runner.attempts),
        )
        self.listener.begin_shutdown(began + limits.requests_after_term_s)
        if self.listener.inherited:  # the process beside this one accepts; what is held here it adopts after
            self.listener.stop()
            gevent.spawn(self.listener.drain_clients, limits.drain_clients_s)
        else:
            gevent.sleep(limits.accept_after_term_s)
            self.admission.refusing = True
            self.listener.close_idle()  # those that still come are accepted to the end, and get an answer
        while monotonic() < began + limits.attempts_after_term_s and self.has_work():
            gevent.sleep(0.02)
        self.policy_runner.stop_attempts()
        self.listener.close_idle()
        while monotonic() < began + limits.end_after_term_s and self.has_unfinishable_work():
            gevent.sleep(0.02)
        self.listener.stop()  # who comes now is refused at once, in place of a reset once the process is gone
        self.listener.close_all()
        self.log.info(
            "shutdown finished",
            messages=len(self.policy_runner.messages),
            in_flight=len(self.policy_runner.attempts),
        )
        self.ended.set()

    def has_work(self) -> bool:
        return (
            bool(self.policy_runner.messages or self.listener.has_connections())
            or self.has_unfinishable_work()
        )

    def has_unfinishable_work(self) -> bool:
        """What no other process can finish: shots out, notices on their way, clients within a request."""
        return bool(
            self.policy_runner.attempts or self.notifier.has_pending or self.listener.has_open_requests()
        )


def mode(descriptor: int) -> int:
    """The kind of an inherited descriptor; 0 where it is not open."""
    try:
        return os.fstat(descriptor).st_mode
    except OSError:
        return 0


def environment_variable(name: str) -> str:
    if not os.environ.get(name):
        raise StartupError(f"{name} is not set")
    return os.environ[name]


def create_sender() -> tuple[SenderProcess, LogWriter]:
    name, listen, discovery = (
        environment_variable("RELAY_NAME"),
        environment_variable("RELAY_LISTEN"),
        environment_variable("RELAY_DISCOVERY"),
    )
    state, path = Path(environment_variable("RELAY_STATE")), Path(environment_variable("RELAY_CONFIG"))
    inherited = os.environ.get("RELAY_ACCEPT_FD") or None
    if inherited is not None and not (inherited.isdigit() and stat.S_ISSOCK(mode(int(inherited)))):
        raise StartupError(f"RELAY_ACCEPT_FD is no open socket: {inherited!r}")
    control = os.environ.get("RELAY_CONTROL", "")
    try:
        control and parse_address(control)
    except ValueError as error:
        raise StartupError(f"RELAY_CONTROL: {error}") from None

    def read() -> SenderConfiguration:
        return SenderConfiguration(orjson.loads(path.read_bytes()), discovery)

    log, lines = create_logger(name, LogFormat())
    try:
        descriptor = None if inherited is None else int(inherited)
        return SenderProcess(read(), listen, state, log, read, control, descriptor), lines
    except UNUSABLE as error:
        raise StartupError(f"cannot start from {path}: {error_text(error)}") from None


def main(hung_up: Sequence[int] = ()) -> int:
    try:
        sender, lines = create_sender()
    except StartupError as error:
        print(f"ashpath: {error}", file=sys.stderr)
        return 2
    gevent.spawn(lines.run, sender.log)
    try:
        sender.run(hung_up)
    except OSError as error:
        print(f"ashpath: {error}", file=sys.stderr)
        return 1
    return 0
