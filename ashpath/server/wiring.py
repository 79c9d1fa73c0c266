"""Creates the parts of a sender and connects them, for both deployments.

When `create_sender` returns, no part runs yet, and only the metrics address listens; `runtime.py` starts the
sender.
"""

from __future__ import annotations

from random import Random

from ashpath.core.platform_settings import load_report_fields
from ashpath.policy.response_trust import ResponseTrust
from ashpath.server import state_files, storage_wiring
from ashpath.server.addresses import parse_address
from ashpath.server.backoff import Backoff
from ashpath.server.configuration import RunningConfiguration, SenderConfiguration, SenderSettings
from ashpath.server.delivery.attempt_log import AttemptLog
from ashpath.server.delivery.attempt_runner import AttemptRunner
from ashpath.server.delivery.connection_pool import ConnectionPool
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.delivery.notifier import Notifier
from ashpath.server.delivery.outcome_recorder import OutcomeRecorder
from ashpath.server.delivery.response_attribution import ResponseAttribution
from ashpath.server.delivery.response_classifier import ResponseClassifier
from ashpath.server.delivery.response_notices import ResponseNotices
from ashpath.server.deployment import Deployment
from ashpath.server.descriptor_sharing import DescriptorSharing
from ashpath.server.descriptor_wiring import open_descriptor_leases
from ashpath.server.descriptors import DescriptorLeases, SharedDescriptorLeases
from ashpath.server.endpoint_membership import EndpointMembership
from ashpath.server.gossip_link import GossipLink
from ashpath.server.http.admission import Admission
from ashpath.server.http.listener import ClientListener
from ashpath.server.limits.shutdown import ShutdownLimits
from ashpath.server.logs import Logger
from ashpath.server.memory_wiring import share_out_memory
from ashpath.server.optional_services import GossipService, MetricsService
from ashpath.server.policy_runner import PolicyRunner, StateFiles
from ashpath.server.reload import SettingsSwitch
from ashpath.server.self_checks import SelfChecks
from ashpath.server.sender import ClientSide, DeliveryPath, ProcessOptions, Sender
from ashpath.server.service_wiring import (
    create_control_listener,
    create_discovery_client,
    create_memory_monitor,
    create_metrics_service,
    random_seed,
)
from ashpath.server.shutdown import GracefulShutdown
from ashpath.server.storage.write_ahead_log import WriteAheadLog


def create_sender(
    process_options: ProcessOptions,
    configuration: SenderConfiguration,
    deployment: Deployment,
    logger: Logger,
) -> Sender:
    """Returns a sender that is not started yet, though its metrics can already be read.

    Raises `StartupError`, or one of `UNUSABLE_CONFIGURATION_ERRORS` if the state directory, an address or a
    list in the configuration cannot be used.
    """
    limits = configuration.limits
    write_ahead_log = state_files.open_write_ahead_log(process_options, limits.storage, logger)
    configuration = storage_wiring.restore_traffic_class_ids(
        process_options, configuration, deployment, write_ahead_log
    )
    running = RunningConfiguration(configuration)
    descriptors = open_descriptor_leases(process_options, running, limits, logger)
    delivery = create_delivery_path(
        process_options, configuration, deployment, write_ahead_log, descriptors, logger
    )
    clients = create_client_side(process_options, configuration, deployment, delivery, logger)
    processes = 1 if process_options.inherited_socket is None else 2  # in a hot upgrade
    share_out_memory(limits.memory, clients, delivery.pool, logger, processes=processes)
    delivery.registry.apply_members(configuration.known_endpoints["members"], complete=True)
    sender = create_services(process_options, running, deployment, delivery, clients, logger)
    has_other_process = process_options.inherited_socket is not None
    sender.metrics.start(configuration.metrics_listen, other_process=has_other_process)
    return sender


def create_services(
    process_options: ProcessOptions,
    running: RunningConfiguration,
    deployment: Deployment,
    delivery: DeliveryPath,
    clients: ClientSide,
    logger: Logger,
) -> Sender:
    """Creates the parts that work beside the path of a message, and returns the sender with all parts."""
    configuration = running.current
    control = create_control_listener(process_options, configuration, delivery, clients, logger)
    discovery = create_discovery_client(process_options, configuration, delivery.membership, logger)
    gossip = GossipService(delivery.policy_runner, delivery.gossip_link, logger)
    monitor = storage_wiring.create_directory_monitor(process_options, configuration, logger)
    memory_monitor = create_memory_monitor(configuration, delivery, clients, logger)
    metrics = create_metrics_service(running, delivery, clients, monitor, memory_monitor, discovery, gossip)
    switch = create_settings_switch(running, deployment, delivery, clients, gossip, metrics, logger)
    return Sender(
        process_options=process_options,
        running=running,
        limits=configuration.limits.services,
        logger=logger,
        delivery=delivery,
        clients=clients,
        directory_monitor=monitor,
        memory_monitor=memory_monitor,
        control=control,
        discovery=discovery,
        orphan_adopter=storage_wiring.create_orphan_adopter(process_options, configuration, delivery, logger),
        gossip=gossip,
        metrics=metrics,
        settings_switch=switch,
        shutdown=create_shutdown(configuration.limits.shutdown, delivery, clients, logger),
        descriptor_sharing=create_descriptor_sharing(delivery, clients),
    )


def create_delivery_path(
    process_options: ProcessOptions,
    configuration: SenderConfiguration,
    deployment: Deployment,
    write_ahead_log: WriteAheadLog,
    descriptors: DescriptorLeases,
    logger: Logger,
) -> DeliveryPath:
    """Creates the parts that deliver messages. Also opens the remaining files of the state directory."""
    shared_memory = state_files.open_shared_memory(process_options, logger)
    outcome_store = deployment.create_outcome_store(configuration.limits.storage, logger)
    notifier = create_notifier(process_options, configuration, deployment, write_ahead_log, logger)
    attempt_runner = create_attempt_runner(configuration, notifier, write_ahead_log, descriptors, logger)
    pool = attempt_runner.pool
    recorder = OutcomeRecorder(write_ahead_log, notifier, outcome_store, pool.attribution, pool.checks)
    gossip_link = GossipLink()
    files = storage_wiring.open_policy_files(
        process_options, configuration, write_ahead_log, shared_memory, logger
    )
    policy_runner = create_policy_runner(configuration, files, recorder, attempt_runner, gossip_link, logger)
    return DeliveryPath(
        write_ahead_log=write_ahead_log,
        outcome_store=outcome_store,
        notifier=notifier,
        pool=pool,
        registry=attempt_runner.registry,
        recorder=recorder,
        attempt_runner=attempt_runner,
        policy_runner=policy_runner,
        membership=EndpointMembership(attempt_runner.registry, policy_runner),
        gossip_link=gossip_link,
        detached_endpoints=files.detached_endpoints,
    )


def create_attempt_runner(
    configuration: SenderConfiguration,
    notifier: Notifier,
    write_ahead_log: WriteAheadLog,
    descriptors: DescriptorLeases,
    logger: Logger,
) -> AttemptRunner:
    """Creates the runner of attempts, with the connections and the registry of endpoints."""
    settings = configuration.settings
    attribution = ResponseAttribution(ResponseTrust(), logger)
    attempt_log = AttemptLog(logger)
    attempt_log.always = configuration.attempt_log
    pool = ConnectionPool(
        configuration.limits.endpoints,
        configuration.limits.http,
        attribution,
        ResponseNotices(logger),
        SelfChecks(attempt_log, logger),
        descriptors,
    )
    registry = EndpointRegistry(settings.kinds, settings.zones, pool, logger)
    return AttemptRunner(
        pool,
        registry,
        create_classifier(settings),
        notifier,
        write_ahead_log.predecessors,
        attempt_log,
        logger,
    )


def create_policy_runner(
    configuration: SenderConfiguration,
    files: StateFiles,
    recorder: OutcomeRecorder,
    attempt_runner: AttemptRunner,
    gossip_link: GossipLink,
    logger: Logger,
) -> PolicyRunner:
    """Creates the runner of the policy. Nothing is restored yet."""
    return PolicyRunner(
        configuration.policy_settings,
        files,
        recorder,
        attempt_runner,
        gossip_link,
        configuration.limits.services,
        logger,
    )


def create_classifier(settings: SenderSettings) -> ResponseClassifier:
    """Creates the response classifier, which reads load reports if the settings at the start say that
    responses have them."""
    return ResponseClassifier(has_load_reports=load_report_fields(settings.document) is not None)


def create_notifier(
    process_options: ProcessOptions,
    configuration: SenderConfiguration,
    deployment: Deployment,
    write_ahead_log: WriteAheadLog,
    logger: Logger,
) -> Notifier:
    """Creates the notifier, with the backoff for failed notifications."""
    limits = configuration.limits
    random = Random(f"{random_seed(process_options, configuration)}/n")
    backoff = Backoff(random, limits.services.retry_s, limits.notifications.notification_backoff_s)
    return deployment.create_notifier(limits, write_ahead_log, backoff, logger)


def create_client_side(
    process_options: ProcessOptions,
    configuration: SenderConfiguration,
    deployment: Deployment,
    delivery: DeliveryPath,
    logger: Logger,
) -> ClientSide:
    """Creates the parts that serve clients. The listener does not listen yet."""
    admission = Admission(
        configuration.policy_settings,
        configuration.settings.traffic_class_ids,
        delivery.registry,
        delivery.policy_runner,
        delivery.write_ahead_log,
        logger,
    )
    status_api = deployment.create_status_api(
        delivery.policy_runner, delivery.outcome_store, configuration.settings.traffic_class_names()
    )
    listener = ClientListener(
        parse_address(process_options.listen),
        configuration.limits.clients,
        configuration.limits.http,
        admission,
        logger,
        status_api,
        delivery.pool.descriptors,
    )
    return ClientSide(admission, listener, status_api)


def create_settings_switch(
    running: RunningConfiguration,
    deployment: Deployment,
    delivery: DeliveryPath,
    clients: ClientSide,
    gossip: GossipService,
    metrics: MetricsService,
    logger: Logger,
) -> SettingsSwitch:
    """Creates the settings switch, with the parts that hold a copy of the settings."""
    return SettingsSwitch(
        running=running,
        deployment=deployment,
        registry=delivery.registry,
        pool=delivery.pool,
        admission=clients.admission,
        policy_runner=delivery.policy_runner,
        gossip=gossip,
        metrics=metrics,
        logger=logger,
    )


def create_descriptor_sharing(delivery: DeliveryPath, clients: ClientSide) -> DescriptorSharing | None:
    """Creates the service that gives connections back, or returns None if there is no other process."""
    leases = delivery.pool.descriptors
    if not isinstance(leases, SharedDescriptorLeases):
        return None
    return DescriptorSharing(leases, clients.listener, delivery.pool)


def create_shutdown(
    limits: ShutdownLimits, delivery: DeliveryPath, clients: ClientSide, logger: Logger
) -> GracefulShutdown:
    """Creates the graceful shutdown, with the parts that may have work to finish."""
    return GracefulShutdown(
        listener=clients.listener,
        admission=clients.admission,
        policy_runner=delivery.policy_runner,
        notifier=delivery.notifier,
        limits=limits,
        logger=logger,
    )
