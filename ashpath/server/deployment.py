"""The differences between the two ways of deploying a sender: under the platform's agent, or from its own
file.

`wiring.py` creates all common parts. `platform_deployment.py` and the command line's
`standalone_deployment.py` implement `Deployment`. Neither imports the other, so that each loads only the
modules that it needs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ashpath.server.configuration import SenderConfiguration
from ashpath.server.delivery.notifier import Notifier
from ashpath.server.limits.server_limits import ServerLimits
from ashpath.server.limits.storage import StorageLimits
from ashpath.server.logs import Logger
from ashpath.server.storage.repairable import Repairable
from ashpath.server.storage.write_ahead_log import WriteAheadLog

if TYPE_CHECKING:
    from ashpath.server.backoff import Backoff
    from ashpath.server.http.status_api import StatusApi
    from ashpath.server.policy_runner import PolicyRunner
    from ashpath.server.storage.outcome_store import OutcomeStore


class Deployment(Protocol):
    """Decides who is notified, where final outcomes are kept, and where traffic class ids are stored."""

    def create_outcome_store(self, limits: StorageLimits, logger: Logger) -> OutcomeStore | None:
        """Creates the store that answers clients' queries for final outcomes; None if the deployment has no
        such queries."""
        ...

    def create_notifier(
        self, limits: ServerLimits, write_ahead_log: WriteAheadLog, backoff: Backoff, logger: Logger
    ) -> Notifier:
        """Creates the notifier. `backoff` gives the pauses after failed notifications that are sent over a
        network."""
        ...

    def create_status_api(
        self, policy_runner: PolicyRunner, outcome_store: OutcomeStore | None, names: list[str]
    ) -> StatusApi | None:
        """Creates the status API for clients; None if the deployment has none. `names`: names of the traffic
        classes, indexed by id."""
        ...

    def restore_traffic_class_ids(
        self, configuration: SenderConfiguration, *, has_live_messages: bool
    ) -> SenderConfiguration:
        """Returns the configuration with the traffic class ids of the previous incarnation, whose messages
        keep them."""
        ...

    @property
    def unwritten_traffic_class_ids(self) -> Repairable | None:
        """The file of the traffic class ids, which must be written before a message is accepted; None if the
        start has written it."""
        ...

    def store_traffic_class_ids(self, configuration: SenderConfiguration) -> None:
        """Stores the traffic class ids for the next incarnation, as the write-ahead log contains no names.

        Raises OSError if they cannot be written."""
        ...
