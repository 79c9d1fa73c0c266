"""Runs a sender: its start, the supervision of its services, and its signal handlers.

Theory of operation. A start takes these steps in order:

1. Installs the signal handlers. 2. Reads the detached endpoints and, if the platform pushes endpoint lists, a
first snapshot of service discovery. 3. Restores to the policy the state and the messages of the previous
incarnation. 4. Listens for clients and operators. 5. Starts the services, each in its own greenlet. 6. Logs
the line `ready`.

SIGHUP requests a reload. SIGTERM starts the graceful shutdown, at whose end `SenderRuntime.run` returns; the
greenlets end with the process. A start takes no further step once the shutdown has begun.

Both signals arrive as callbacks of the event loop, between greenlets: the handlers only set an event or spawn
a greenlet. Until the handlers are installed, the entry points (`ashpath/__main__.py`, `cli/standalone.py`)
record SIGHUPs, as the default action of SIGHUP would end the process.
"""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable, Sequence

import gevent
from gevent import Greenlet

from ashpath.server.http.client_monitor import ClientMonitor
from ashpath.server.local_errors import retry_local_faults
from ashpath.server.log_repair import LogRepairer
from ashpath.server.logs import Logger
from ashpath.server.reload import Reloader, ReloadService
from ashpath.server.sender import Sender


class SenderRuntime:
    """Runs one sender until its shutdown has ended."""

    def __init__(self, sender: Sender, reloader: Reloader) -> None:
        self.sender = sender
        self.logger = sender.logger
        self.reload_service = ReloadService(reloader, sender.logger)
        # A list, as gevent.pool would import a dozen modules that a sender does not need otherwise.
        self.greenlets: list[Greenlet[..., None]] = []  # of the services

    def run(self, pending_hangups: Sequence[int] = ()) -> None:
        """Runs the sender, and returns after the graceful shutdown. The process has to end then without a
        further switch of greenlets: its end unlocks the write-ahead log, which another process then adopts.

        `pending_hangups`: SIGHUPs that arrived before this call. Raises OSError if an address cannot be
        listened on. Any other error, which ends the process, is logged first.
        """
        try:
            self._start(pending_hangups)
            self._finish()
        except OSError:
            raise
        except Exception:
            self.logger.exception("sender failed")
            raise

    def _start(self, pending_hangups: Sequence[int]) -> None:
        """Takes all steps of a start."""
        sender = self.sender
        gevent.signal_handler(signal.SIGHUP, self.reload_service.requested.set)
        gevent.signal_handler(signal.SIGTERM, gevent.spawn, sender.shutdown.run)
        if pending_hangups:
            self.reload_service.requested.set()  # the file may have changed since it was read
        for step in (self.restore, self.listen_with_retries, self.start_services):
            if sender.shutdown.has_begun:  # SIGTERM: what is stored is left to the next start
                self.logger.info("start given up")
                return
            step()
        enable_garbage_collector()
        self.logger.info(
            "ready",
            messages=len(sender.delivery.policy_runner.messages),
            endpoints=len(sender.delivery.registry.addresses),
            detached=len(sender.delivery.policy_runner.policy.detached),
            inherited=sender.process_options.inherited_socket is not None,
        )

    def _finish(self) -> None:
        """Waits for the end of the shutdown, and closes the files."""
        sender = self.sender
        sender.shutdown.ended.wait()
        sender.delivery.pool.attribution.forget_certain_refusals()
        sender.delivery.policy_runner.give_up_attempts()
        sender.delivery.write_ahead_log.close_files()

    def listen_with_retries(self) -> None:
        """Listens, and tries again while this machine lacks a descriptor or buffer. Raises OSError."""
        retry_local_faults(self.listen, self.sender.limits.start_retries_s)

    def listen(self) -> None:
        """Listens for clients and operators. Raises OSError if an address cannot be listened on."""
        sender = self.sender
        if not sender.clients.listener.listening:
            sender.clients.listener.listen(sender.process_options.inherited_socket)
        if sender.control is not None:
            sender.control.listen()

    def restore(self) -> None:
        """Restores the previous incarnation's state to the policy."""
        sender = self.sender
        detached = sender.delivery.detached_endpoints.read()
        if sender.discovery is not None and sender.running.current.settings.discovery_pushes:
            sender.discovery.initial_snapshot()
        endpoints = list(sender.delivery.registry.records.values())
        if sender.shutdown.has_begun:  # while discovery was asked
            return
        sender.delivery.policy_runner.restore(endpoints, sorted(detached))

    def start_services(self) -> None:
        """Opens the addresses for gossip, if any, and spawns the services."""
        sender = self.sender
        configuration = sender.running.current
        sender.gossip.configure(configuration.gossip_listen, configuration.gossip_peers)
        for service in self.services():
            greenlet = gevent.spawn(supervise, service, sender.limits.retry_s, sender.logger)
            self.greenlets.append(greenlet)

    def services(self) -> list[Callable[[], None]]:
        """Returns the services, in the order in which they start. They run concurrently until the process
        ends."""
        sender = self.sender
        delivery = sender.delivery
        services: list[Callable[[], None]] = [self.reload_service.run]
        if sender.discovery is not None:
            services.append(sender.discovery.run)
        services += [
            delivery.notifier.run,
            delivery.policy_runner.timers.run,
            delivery.pool.run,
            delivery.pool.attribution.run,
            LogRepairer(
                delivery.write_ahead_log, sender.limits.log_repair_s, self.logger, delivery.outcome_store
            ).run,
            sender.directory_monitor.run,
            sender.memory_monitor.run,
            ClientMonitor(sender.clients.listener.table, self.logger).run,
            sender.clients.listener.run,
        ]
        if sender.descriptor_sharing is not None:
            services.append(sender.descriptor_sharing.run)
        if sender.orphan_adopter is not None:
            services.append(sender.orphan_adopter.run)
        if sender.control is not None:
            services.append(sender.control.run)
        return services


def enable_garbage_collector() -> None:
    """Enables the garbage collector, which was disabled for the start, see `ashpath/__main__.py`. Later
    collections do not traverse the objects that exist now."""
    gc.collect()
    gc.freeze()
    gc.enable()


def supervise(service: Callable[[], None], pause_s: float, logger: Logger) -> None:
    """Runs a service, and restarts it `pause_s` seconds after an unexpected error, which would otherwise end
    that part of the sender for good. Returns when the service returns."""
    while True:
        try:
            return service()
        except Exception:
            logger.exception("unexpected error")
            gevent.sleep(pause_s)
