"""What differs between the two ways of deploying a sender: under the platform's agent, or from its own file.

Everything else is put together once, in `wiring.py`. `platform_deployment.py` and the command line's
`standalone_deployment.py` implement this, each with what it alone needs: neither imports the other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ashpath.server.configuration import SenderConfiguration
from ashpath.server.delivery.notifier import Notifier
from ashpath.server.limits import ServerLimits
from ashpath.server.logs import Logger
from ashpath.server.storage.write_ahead_log import WriteAheadLog

if TYPE_CHECKING:
    from ashpath.server.backoff import Backoff
    from ashpath.server.http.status_api import StatusApi
    from ashpath.server.policy_runner import PolicyRunner
    from ashpath.server.storage.outcome_store import OutcomeStore


class Deployment(Protocol):
    """Who is notified, who keeps outcomes, and where traffic class ids are stored."""

    def create_outcome_store(self, limits: ServerLimits, logger: Logger) -> OutcomeStore | None:
        """Where clients may ask for final outcomes; None where nobody does."""
        ...

    def create_notifier(
        self, limits: ServerLimits, write_ahead_log: WriteAheadLog, backoff: Backoff, logger: Logger
    ) -> Notifier:
        """`backoff`: the pauses after failed notifications, where they go over a network."""
        ...

    def create_status_api(
        self, policy_runner: PolicyRunner, outcome_store: OutcomeStore | None, names: list[str]
    ) -> StatusApi | None:
        """What clients may ask for; None where nothing. `names`: of the traffic classes, by id."""
        ...

    def restore_traffic_class_ids(
        self, configuration: SenderConfiguration, *, has_live_messages: bool
    ) -> SenderConfiguration:
        """The configuration with the ids of the previous incarnation, whose messages go on under them."""
        ...

    def store_traffic_class_ids(self, configuration: SenderConfiguration) -> None:
        """For the next incarnation, as the write-ahead log has ids only. Raises OSError."""
        ...
