"""Runs a sender: start, supervision of its services, and the signals.

Theory of operation, in this order: signal handlers; detached endpoints and, where lists are pushed, a first
snapshot of service discovery; the policy takes over what the previous incarnation left; clients and operators
can connect; the services run, each in a greenlet of its own; the line `ready`. SIGHUP requests a reload,
SIGTERM begins the graceful shutdown, whose end ends `SenderRuntime.run`; the greenlets end with the process.

Both signals arrive as callbacks of the event loop, between greenlets: the handlers only set an event or begin
a greenlet. Before they are installed, whoever starts the process notes SIGHUPs (`ashpath/__main__.py`,
`cli/standalone.py`), as by default they would end it.
"""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable, Sequence

import gevent
from gevent import Greenlet

from ashpath.server.local_errors import retry_local_faults
from ashpath.server.log_repair import LogRepairer
from ashpath.server.logs import Logger
from ashpath.server.reload import Reloader, ReloadService
from ashpath.server.sender import Sender


class SenderRuntime:
    """Runs one sender to its end."""

    def __init__(self, sender: Sender, reloader: Reloader) -> None:
        self.sender = sender
        self.logger = sender.logger
        self.reload_service = ReloadService(reloader, sender.logger)
        # A list, as gevent.pool would bring a dozen modules that no sender needs otherwise.
        self.greenlets: list[Greenlet[..., None]] = []  # of the services, begun in `run`; they end with it

    def run(self, pending_hangups: Sequence[int] = ()) -> None:
        """Returns after the graceful shutdown. `pending_hangups`: SIGHUPs that came before this.

        Raises OSError where an address cannot be listened on.
        """
        sender = self.sender
        gevent.signal_handler(signal.SIGHUP, self.reload_service.requested.set)
        gevent.signal_handler(signal.SIGTERM, gevent.spawn, sender.shutdown.run)
        if pending_hangups:
            self.reload_service.requested.set()  # the file may be another than the one that was read
        detached = self.restore()
        retry_local_faults(self.listen, sender.limits.start_retries_s)
        configuration = sender.running.current
        sender.gossip.configure(configuration.gossip_listen, configuration.gossip_peers)
        for service in self.services():
            greenlet = gevent.spawn(supervise, service, sender.limits.retry_s, sender.logger)
            self.greenlets.append(greenlet)
        gc.collect()
        gc.freeze()
        gc.enable()
        self.logger.info(
            "ready",
            messages=len(sender.delivery.policy_runner.messages),
            endpoints=len(sender.delivery.registry.addresses),
            detached=len(detached),
            inherited=sender.process_options.inherited_socket is not None,
        )
        sender.shutdown.ended.wait()
        sender.delivery.write_ahead_log.close()

    def listen(self) -> None:
        """Clients and operators can connect from now on. Raises OSError."""
        sender = self.sender
        if not sender.clients.listener.listening:
            sender.clients.listener.listen(sender.process_options.inherited_socket)
        if sender.control is not None:
            sender.control.listen()

    def restore(self) -> set[str]:
        """Gives the policy what the previous incarnation left; the ids of detached endpoints."""
        sender = self.sender
        detached = sender.delivery.detached_endpoints.read()
        if sender.discovery is not None and sender.running.current.settings.discovery_pushes:
            sender.discovery.initial_snapshot()
        endpoints = list(sender.delivery.registry.records.values())
        sender.delivery.policy_runner.restore(endpoints, sorted(detached))
        return detached

    def services(self) -> list[Callable[[], None]]:
        """What runs side by side until the end, in the order in which it begins."""
        sender = self.sender
        delivery = sender.delivery
        services: list[Callable[[], None]] = [self.reload_service.run]
        if sender.discovery is not None:
            services.append(sender.discovery.run)
        services += [
            delivery.notifier.run,
            delivery.policy_runner.timers.run,
            delivery.pool.run,
            LogRepairer(
                delivery.write_ahead_log, sender.limits.log_repair_s, self.logger, delivery.outcome_store
            ).run,
            sender.clients.listener.run,
        ]
        if sender.orphan_adopter is not None:
            services.append(sender.orphan_adopter.run)
        if sender.control is not None:
            services.append(sender.control.run)
        return services


def supervise(service: Callable[[], None], pause_s: float, logger: Logger) -> None:
    """Begins a service again after a fault, which would end one part of the sender for good. Returns as the
    service does."""
    while True:
        try:
            return service()
        except Exception:
            logger.exception("unexpected error")
            gevent.sleep(pause_s)
