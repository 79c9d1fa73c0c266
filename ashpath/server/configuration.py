"""The configuration of a sender, in the form of the platform's file (`RELAY_CONFIG`).

Theory of operation: `SenderConfiguration.parse` takes the decoded JSON document, at the start and again at
each SIGHUP. A sender's own TOML file is converted to the same form first (`config/platform_document.py`), so
that each rule is implemented once. Parsed values are immutable: `aligned_with`, which depends on an earlier
configuration, and `with_traffic_class_ids`, which depends on the write-ahead log, return new values.

The write-ahead log, the endpoint list and the policy know traffic classes, kinds and zones by number.
`SenderConfiguration.settings` has the numbers of this incarnation; `raw_settings` is the document as read.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct
from msgspec.structs import replace

from ashpath.core.interface import PolicySettings
from ashpath.core.json_types import JsonObject
from ashpath.core.policy_settings import sender_settings
from ashpath.core.settings_alignment import align_order
from ashpath.core.traffic_class_ids import number_traffic_classes
from ashpath.server.addresses import Address, parse_address
from ashpath.server.errors import ListenAddressError
from ashpath.server.limits.server_limits import ServerLimits


class SenderSettings(Struct, frozen=True):
    """The operators' settings, and the values that the parts of a sender derive from them."""

    document: JsonObject
    """The `settings` table; its `classes` are in the order of the traffic class ids."""
    policy_settings: PolicySettings
    kinds: list[str]
    """Names of the kinds of destinations, indexed by number."""
    zones: list[str]
    """Names of the zones of endpoints, indexed by number."""
    discovery_pushes: bool
    """Whether the platform pushes endpoint lists: a change counts as reported once the platform's agent has
    it, even if the sender has not polled the agent yet."""
    traffic_class_ids: dict[str, int]
    """Ids of the traffic classes that accept messages, keyed by name."""

    @classmethod
    def parse(cls, seed: int, document: JsonObject, closed_ids: Sequence[int] = ()) -> SenderSettings:
        """`closed_ids`: traffic classes that accept no new messages, as the settings no longer contain or
        have changed them.

        Raises `InvalidSettingError`, which names the key, and KeyError, TypeError or AttributeError for a
        document of another shape.
        """
        return cls(
            document=document,
            policy_settings=sender_settings(seed, document),
            kinds=list(document.get("kinds") or []),
            zones=list(document.get("zones") or []),
            discovery_pushes=document.get("membership-mode") != "ask",
            traffic_class_ids={
                row["name"]: class_id
                for class_id, row in enumerate(document["classes"])
                if class_id not in closed_ids
            },
        )

    def traffic_class_names(self) -> list[str]:
        """Returns the names of the traffic classes, indexed by traffic class id."""
        return [row["name"] for row in self.document["classes"]]


class SenderConfiguration(Struct, frozen=True):
    """The whole configuration of a sender, which is read at its start and again at each SIGHUP."""

    seed: int
    raw_settings: JsonObject
    """The `settings` table as read. A reload compares it with the table of the running configuration."""
    settings: SenderSettings
    limits: ServerLimits
    known_endpoints: JsonObject
    """The endpoint list when the configuration was written: `members` and `revision`."""
    discovery: str
    """The address of the discovery service as written in the configuration; empty if the sender has none."""
    platform_address: Address | None
    """The parsed address of the discovery service."""
    control: str
    """The address for operators' commands; empty if the sender has none. Parsed only at the start."""
    gossip_listen: Address | None
    """The address at which the sender receives gossip messages."""
    gossip_peers: frozenset[Address]
    """The addresses at which the other senders receive gossip messages."""
    metrics_listen: Address | None
    """The address at which Prometheus reads the metrics."""
    attempt_log: bool
    """Whether each attempt gets a line in the log."""

    @classmethod
    def parse(cls, document: JsonObject, default_discovery: str = "") -> SenderConfiguration:
        """`default_discovery`: the address in the environment. The address in the file takes precedence, as
        the file may change between restarts while the environment stays the same.

        Raises `StartupError` and `InvalidSettingError`, and one of `UNUSABLE_CONFIGURATION_ERRORS` for a
        document of another shape.
        """
        seed = int(str(document["seed"]), 16)
        settings = SenderSettings.parse(seed, document["settings"])
        limits = ServerLimits.from_configuration(document.get("limits") or {}, settings.policy_settings)
        known_endpoints = document.get("known") or {"members": [], "revision": 0}
        discovery = document.get("discovery") or default_discovery
        platform_address = parse_address(discovery) if discovery else None
        gossip = document.get("peers") or {}
        return cls(
            seed=seed,
            raw_settings=document["settings"],
            settings=settings,
            limits=limits,
            known_endpoints=known_endpoints,
            discovery=discovery,
            platform_address=platform_address,
            control=str(document.get("control") or ""),
            gossip_listen=parse_listen_address(document, "peers"),
            metrics_listen=parse_listen_address(document, "metrics"),
            attempt_log=document.get("attempt_log") is True,
            gossip_peers=frozenset(parse_address(str(peer)) for peer in (gossip.get("senders") or ())),
        )

    @property
    def policy_settings(self) -> PolicySettings:
        """Settings of the policy."""
        return self.settings.policy_settings

    def with_traffic_class_ids(
        self, known: list[JsonObject], *, has_live_messages: bool
    ) -> SenderConfiguration:
        """Returns the configuration with the ids that `known` has for the traffic classes: see
        `number_traffic_classes`."""
        rows, closed_ids = number_traffic_classes(
            self.settings.document["classes"], known, live_messages=has_live_messages
        )
        document = {**self.settings.document, "classes": rows}
        return replace(self, settings=SenderSettings.parse(self.seed, document, closed_ids))

    def aligned_with(self, running: SenderConfiguration) -> SenderConfiguration:
        """Returns this configuration for a sender that runs with another one: traffic classes, kinds and
        zones keep their numbers. No number is reused, as messages and measurements still refer to it."""
        document = align_order(self.settings.document, running.settings.document)
        aligned = replace(self, settings=replace(self.settings, document=document))
        return aligned.with_traffic_class_ids(running.settings.document["classes"], has_live_messages=True)


def parse_listen_address(document: JsonObject, table: str) -> Address | None:
    """Returns the address under `TABLE.listen`, or None if the table is missing or empty.

    Raises `ListenAddressError` if the address is missing or invalid."""
    try:
        return parse_address(str(document[table]["listen"])) if document.get(table) else None
    except (ValueError, KeyError, TypeError) as error:
        raise ListenAddressError(table, document[table]) from error


class RunningConfiguration(Struct):
    """Holds the configuration that is in effect, for the parts that always need the latest one."""

    current: SenderConfiguration
