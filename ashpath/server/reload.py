"""SIGHUP: reads the configuration again and applies it to the running sender.

Theory of operation: `ReloadService` waits for the signal and calls a `Reloader`, which reads and applies the
configuration. A configuration that cannot be read or applied is logged in one line, and the previous one
stays in effect. The two deployments differ in their additional settings and in the order of the steps:
`PlatformReloader` in this module, `StandaloneReloader` in `cli/standalone_deployment.py`. `SettingsSwitch` is
the step that both share. Signals that arrive during a reload cause one further reload.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gevent.event import Event
from msgspec.structs import replace

from ashpath.core.interface import PolicySettings
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
    """Performs one complete reload."""

    def reload(self) -> None:
        """Raises `ConfigurationError` if the configuration cannot be read, and OSError if it cannot be
        applied. In both cases the previous settings stay in effect."""
        ...


class ReloadService:
    """Reloads the configuration each time a reload is requested."""

    def __init__(self, reloader: Reloader, logger: Logger) -> None:
        self.reloader = reloader
        self.logger = logger
        self.requested = Event()

    def run(self) -> None:
        """Waits for requests and performs the reloads. Never returns."""
        while True:
            self.requested.wait()
            self.requested.clear()
            try:
                self.reloader.reload()
            except ConfigurationError as error:  # for example, a partly written file
                self.logger.error("configuration not read", error=str(error))  # noqa: TRY400 - one line is enough
            except OSError as error:
                self.logger.error("configuration not applied", error=str(error))  # noqa: TRY400 - as above


class SettingsSwitch:
    """Puts the settings of another configuration into effect."""

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
        self.limits = running.current.limits  # fixed until the process ends
        self.deployment = deployment
        self.registry = registry
        self.pool = pool
        self.admission = admission
        self.policy_runner = policy_runner
        self.gossip = gossip
        self.metrics = metrics
        self.logger = logger

    def apply(self, configuration: SenderConfiguration) -> None:
        """Applies the settings to messages that are accepted from now on. Returning to earlier settings takes
        the same step. Raises OSError if the traffic class ids cannot be stored; the previous settings stay in
        effect then."""
        running = self.running.current
        if configuration.raw_settings != running.raw_settings:
            self.switch(configuration.aligned_with(running))
        self.policy_runner.attempt_runner.attempt_log.always = configuration.attempt_log
        try:
            self.metrics.configure(configuration.metrics_listen)
        except OSError as error:  # the previous address stays in use
            reason = str(error.strerror or error)
            self.logger.error("metrics address not changed", error=reason)  # noqa: TRY400 - one line is enough
        # Repeated even if nothing changed, as an address that was in use may be free by now.
        self.gossip.configure(configuration.gossip_listen, configuration.gossip_peers)

    def switch(self, configuration: SenderConfiguration) -> None:
        """Switches the settings in one batch of the policy. Queued messages keep the settings under which
        they were accepted, and attempts in flight are accounted at the gate that admitted them."""
        self.deployment.store_traffic_class_ids(configuration)
        self.running.current = configuration
        settings = configuration.settings
        limits = configuration.limits
        policy_settings = self.limit_attempts(settings.policy_settings)
        self.pool.apply_limits(
            replace(self.limits.endpoints, endpoint_idle_s=limits.endpoints.endpoint_idle_s),
            replace(self.limits.http, connect_s=limits.http.connect_s),
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

    def limit_attempts(self, settings: PolicySettings) -> PolicySettings:
        """Returns settings with at most one attempt for each connection to an endpoint, whose number stays
        the same until the next start, as descriptors are allotted only then."""
        connections = self.limits.endpoints.endpoint_connections
        return replace(settings, max_in_flight=min(settings.max_in_flight, connections))


class PlatformReloader:
    """Reloads a sender under the platform's agent. The agent's address and the settings may change; changed
    limits of the process take effect at the next start."""

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
            self.discovery.change_address(configuration.platform_address)
            if isinstance(self.notifier, HttpNotifier):
                self.notifier.change_receiver(NotificationReceiver(configuration.platform_address))
        self.switch.apply(configuration)
