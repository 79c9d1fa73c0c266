"""SIGHUP: reads the configuration anew, and moves the running sender to it.

Theory of operation: `ReloadService` waits for the signal and calls a `Reloader`, which reads and applies.
What cannot be read or applied is one line in the log, and the previous configuration still serves. The two
deployments differ in what else a configuration has and in the order of the steps: `PlatformReloader` here,
`StandaloneReloader` in `cli/standalone_deployment.py`; the step they share is `SettingsSwitch`. Signals that
come during a reload are one further reload.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gevent.event import Event
from msgspec.structs import replace

from ashpath.server.configuration import RunningConfiguration, SenderConfiguration
from ashpath.server.delivery.connection_pool import ConnectionPool
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.delivery.http_notifier import HttpNotifier, NotificationReceiver
from ashpath.server.delivery.notifier import Notifier
from ashpath.server.deployment import Deployment
from ashpath.server.discovery.client import DiscoveryClient
from ashpath.server.errors import UNUSABLE_CONFIGURATION_ERRORS, ConfigurationError, error_text
from ashpath.server.http.admission import Admission
from ashpath.server.logs import Logger
from ashpath.server.optional_services import GossipService, MetricsService
from ashpath.server.policy_runner import PolicyRunner


class Reloader(Protocol):
    """One reload, whole."""

    def reload(self) -> None:
        """Raises `ConfigurationError` where the configuration cannot be read, and OSError where it cannot be
        applied; nothing was switched then."""
        ...


class ReloadService:
    """Reloads as often as it is requested."""

    def __init__(self, reloader: Reloader, logger: Logger) -> None:
        self.reloader = reloader
        self.logger = logger
        self.requested = Event()

    def run(self) -> None:
        """Never returns."""
        while True:
            self.requested.wait()
            self.requested.clear()
            try:
                self.reloader.reload()
            except ConfigurationError as error:  # half written, say
                self.logger.error("configuration not read", error=str(error))  # noqa: TRY400 - one line is enough
            except OSError as error:
                self.logger.error("configuration not applied", error=str(error))  # noqa: TRY400 - as above


class SettingsSwitch:
    """Makes the settings of another configuration the running ones."""

    def __init__(
        self,
        running: RunningConfiguration,
        deployment: Deployment,
        registry: EndpointRegistry,
        pool: ConnectionPool,
        admission: Admission,
        policy_runner: PolicyRunner,
        gossip: GossipService,
        metrics: MetricsService,
        logger: Logger,
    ) -> None:
        self.running = running
        self.limits = running.current.limits  # of the process, up to its end
        self.deployment = deployment
        self.registry = registry
        self.pool = pool
        self.admission = admission
        self.policy_runner = policy_runner
        self.gossip = gossip
        self.metrics = metrics
        self.logger = logger

    def apply(self, configuration: SenderConfiguration) -> None:
        """New settings for what is accepted from now on; the way back is the same step. Raises OSError where
        traffic class ids cannot be stored, and nothing is switched then."""
        running = self.running.current
        if configuration.raw_settings != running.raw_settings:
            self.switch(configuration.aligned_with(running))
        try:
            self.metrics.configure(configuration.metrics_listen)
        except OSError as error:  # the one before serves on
            reason = str(error.strerror or error)
            self.logger.error("metrics address not changed", error=reason)  # noqa: TRY400 - one line is enough
        # Also where nothing changed: an address that was in use may be free by now.
        self.gossip.configure(configuration.gossip_listen, configuration.gossip_peers)

    def switch(self, configuration: SenderConfiguration) -> None:
        """In one batch of the policy. Queued messages keep the settings they were accepted under, and
        attempts in flight end at the gate they went through."""
        self.deployment.store_traffic_class_ids(configuration)
        self.running.current = configuration
        settings = configuration.settings
        # Descriptors are shared out at the start: no more attempts than connections until the next one.
        policy_settings = replace(
            settings.policy_settings,
            max_in_flight=min(settings.policy_settings.max_in_flight, self.limits.endpoint_connections),
        )
        self.pool.apply_limits(
            replace(
                self.limits,
                connect_s=configuration.limits.connect_s,
                endpoint_idle_s=configuration.limits.endpoint_idle_s,
            )
        )
        self.registry.configure(settings.kinds, settings.zones)
        self.admission.apply_settings(policy_settings, settings.traffic_class_ids)
        self.policy_runner.apply_settings(policy_settings, list(self.registry.records.values()))
        self.logger.info(
            "settings applied",
            traffic_classes=len(settings.traffic_class_ids),
            max_in_flight=policy_settings.max_in_flight,
            queue_capacity=policy_settings.queue_capacity,
            senders=policy_settings.sender_count,
            messages=len(self.policy_runner.messages),
            in_flight=len(self.policy_runner.attempts),
        )


class PlatformReloader:
    """Under the platform's agent: it may be elsewhere, and settings may be new. Limits of the process wait
    for the next start."""

    def __init__(
        self,
        read_configuration: Callable[[], SenderConfiguration],
        switch: SettingsSwitch,
        discovery: DiscoveryClient | None,
        notifier: Notifier,
        logger: Logger,
    ) -> None:
        self.read_configuration = read_configuration
        self.switch = switch
        self.discovery = discovery
        self.notifier = notifier
        self.logger = logger

    def reload(self) -> None:
        """See `Reloader`."""
        try:
            configuration = self.read_configuration()
        except UNUSABLE_CONFIGURATION_ERRORS as error:
            raise ConfigurationError(error_text(error)) from error
        self.logger.info(
            "configuration read",
            discovery=configuration.discovery,
            needs_restart=configuration.limits != self.switch.limits,
        )
        if self.discovery is not None and configuration.platform_address is not None:
            self.discovery.move(configuration.platform_address)
            if isinstance(self.notifier, HttpNotifier):
                self.notifier.move(NotificationReceiver(configuration.platform_address))
        self.switch.apply(configuration)
