"""Checks constraints of the sender's file that the types and bounds of its keys do not express. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from ashpath.config.endpoints import endpoint_id, endpoints_as_tables
from ashpath.config.faults import MAX_SHOWN_LENGTH, ConfigurationFault, KeyPath
from ashpath.config.schema import Configuration, Destination, TrafficClass
from ashpath.config.units import SIZES, TIMES, Duration, format_amount, parse_http_url

HEXADECIMAL_DIGITS = frozenset("0123456789abcdefABCDEF")
MAX_ENDPOINT_ID_LENGTH = 200
MIN_BODIES_ON_DISK = 4  # bodies of the maximum size that the write-ahead log must have room for


def find_conflicts(configuration: Configuration) -> list[ConfigurationFault]:
    """Returns all violated constraints, in the order in which they are shown."""
    return [
        *sender_conflicts(configuration),
        *time_conflicts(configuration),
        *destination_conflicts(configuration),
        *notification_conflicts(configuration),
        *peer_conflicts(configuration),
        *rate_conflicts(configuration),
    ]


def sender_conflicts(configuration: Configuration) -> Iterator[ConfigurationFault]:
    """Checks the source of destinations, and the sender's own table."""
    sender = configuration.sender
    if configuration.platform is not None and configuration.destinations:
        yield ConfigurationFault(
            ("destinations",), "a list beside a platform", "one of them: the directory has the list"
        )
    if sender.number >= sender.senders:
        yield ConfigurationFault(
            ("sender", "number"), str(sender.number), f"below sender.senders, {sender.senders}"
        )
    if not set(sender.seed) <= HEXADECIMAL_DIGITS:
        yield ConfigurationFault(("sender", "seed"), repr(sender.seed), "hexadecimal digits")
    if not sender.state_directory or "\0" in sender.state_directory:
        yield ConfigurationFault(("sender", "state"), repr(sender.state_directory), "the path of a folder")


def time_conflicts(configuration: Configuration) -> Iterator[ConfigurationFault]:
    """Checks the times of traffic classes, and the size of the write-ahead log."""
    for name, traffic_class in configuration.traffic_classes.items():
        yield from traffic_class_conflicts(
            ("tracks", name), traffic_class, configuration.rules.connect_timeout
        )
    limits = configuration.limits
    if limits.disk < MIN_BODIES_ON_DISK * limits.body:
        yield ConfigurationFault(
            ("limits", "disk"), format_amount(limits.disk, SIZES), "at least four times limits.body"
        )


def traffic_class_conflicts(
    path: KeyPath, traffic_class: TrafficClass, connect_timeout: Duration
) -> Iterator[ConfigurationFault]:
    """Checks the times of one traffic class."""
    objective = traffic_class.latency_objective
    window = format_amount(traffic_class.deduplication_window, TIMES)
    if objective is not None and objective > traffic_class.deadline:
        upper_bound = f"at most cutoff, {format_amount(traffic_class.deadline, TIMES)}"
        yield ConfigurationFault((*path, "promised"), format_amount(objective, TIMES), upper_bound)
    if traffic_class.retry_safety == "tagged":
        # A retry starts at least connect_timeout before the window ends: a shorter window allows none.
        if traffic_class.deduplication_window <= connect_timeout:
            lower_bound = f"over rules.connect_time, {format_amount(connect_timeout, TIMES)}"
            yield ConfigurationFault((*path, "window"), window, lower_bound)
    elif traffic_class.deduplication_window:
        yield ConfigurationFault((*path, "window"), window, "none: the track is not tagged")


def destination_conflicts(configuration: Configuration) -> Iterator[ConfigurationFault]:
    """Checks that kinds exist, and that endpoint ids are unique and usable."""
    listed_under: dict[str, int] = {}
    for number, destination in configuration.destinations.items():
        path = ("destinations", str(number))
        if destination.kind and destination.kind not in configuration.kinds:
            expected = "one of " + ", ".join(configuration.kinds)
            yield ConfigurationFault((*path, "kind"), repr(destination.kind), expected)
        yield from endpoint_conflicts(path, number, destination, listed_under)


def endpoint_conflicts(
    path: KeyPath, number: int, destination: Destination, listed_under: dict[str, int]
) -> Iterator[ConfigurationFault]:
    """Checks the endpoints of one destination; `listed_under` maps each id seen so far to its destination."""
    for index, endpoint in enumerate(endpoints_as_tables(destination)):
        id_ = endpoint_id(number, endpoint)
        if id_ in listed_under:
            yield ConfigurationFault(
                (*path, "endpoints", index), f"{id_!r}, under {listed_under[id_]} too", "each id once"
            )
        if not id_.isprintable() or len(id_) > MAX_ENDPOINT_ID_LENGTH:
            yield ConfigurationFault(
                (*path, "endpoints", index, "id"),
                ascii(id_)[:MAX_SHOWN_LENGTH],
                f"at most {MAX_ENDPOINT_ID_LENGTH} printable characters",
            )
        listed_under[id_] = number


def notification_conflicts(configuration: Configuration) -> Iterator[ConfigurationFault]:
    """Checks the receiver of notifications."""
    notifications = configuration.notifications
    if notifications.address and notifications.file:
        yield ConfigurationFault(
            ("notices", "file"), repr(notifications.file), "no file beside notices.address"
        )
    if "\0" in notifications.file:
        yield ConfigurationFault(("notices", "file"), ascii(notifications.file), "the path of a file")
    if notifications.address and parse_http_url(notifications.address) is None:
        yield ConfigurationFault(
            ("notices", "address"), ascii(notifications.address)[:MAX_SHOWN_LENGTH], "http://HOST:PORT/PATH"
        )


def peer_conflicts(configuration: Configuration) -> Iterator[ConfigurationFault]:
    """Checks that the peers include a sender other than this one."""
    peers = configuration.peers
    if peers is not None and set(peers.senders) <= {peers.listen}:
        yield ConfigurationFault(
            ("peers", "senders"), "no other sender", "the address of one at least beside its own"
        )


def rate_conflicts(configuration: Configuration) -> Iterator[ConfigurationFault]:
    """Checks that at least one rate is listed if `rules.rates` is true and no platform lists rates."""
    if not configuration.rules.has_listed_rates or configuration.platform is not None:
        return
    if not any(has_rate(destination) for destination in configuration.destinations.values()):
        yield ConfigurationFault(
            ("rules", "rates"), "true, and no destination has a rate", "a rate, or false"
        )


def has_rate(destination: Destination) -> bool:
    """Returns whether the destination or one of its endpoints has a rate."""
    return bool(destination.rate) or any(endpoint.rate for endpoint in endpoints_as_tables(destination))
