"""Decisions on the sender's file, free of I/O: what does not fit together, what a reread may change while the
sender runs, and which terms an envelope keeps that was taken on under an older file."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from urllib.parse import urlsplit

import msgspec

from ashpath.config.schema import Configuration, Destination, Endpoint, Key, Secret
from ashpath.config.units import SIZES, TIMES, Duration, Size, address, written
from ashpath.config.validation import ConfigurationFault, keys


def unfit(plan: Configuration) -> list[ConfigurationFault]:
    """What each key alone allows and together cannot be."""
    return [*sources(plan), *times(plan), *endpoints(plan), *told_to(plan), *heard_of(plan)]


def sources(plan: Configuration) -> Iterator[ConfigurationFault]:
    if plan.platform is not None and plan.destinations:
        yield ConfigurationFault(
            ("destinations",), "a list beside a platform", "one of them: the directory has the list"
        )
    if plan.sender.number >= plan.sender.senders:
        yield ConfigurationFault(
            ("sender", "number"), str(plan.sender.number), f"below sender.senders, {plan.sender.senders}"
        )
    seed = plan.sender.seed
    if seed and not set(seed) <= set("0123456789abcdefABCDEF"):
        yield ConfigurationFault(("sender", "seed"), repr(seed), "hexadecimal digits")
    if not plan.sender.state or "\0" in plan.sender.state:
        yield ConfigurationFault(("sender", "state"), repr(plan.sender.state), "the path of a folder")


def times(plan: Configuration) -> Iterator[ConfigurationFault]:
    connect = plan.rules.connect_time
    for name, track in plan.tracks.items():
        where, window = ("tracks", name), written(track.window, TIMES)
        if track.promised is not None and track.promised > track.cutoff:
            cutoff = f"at most cutoff, {written(track.cutoff, TIMES)}"
            yield ConfigurationFault((*where, "promised"), written(track.promised, TIMES), cutoff)
        if track.repeat == "tagged" and track.window <= connect:
            # The last moment to send again is the window's end less the time that a connection may take.
            yield ConfigurationFault(
                (*where, "window"), window, f"over rules.connect_time, {written(connect, TIMES)}"
            )
        if track.repeat != "tagged" and track.window:
            yield ConfigurationFault((*where, "window"), window, "none: the track is not tagged")
    if plan.limits.disk < 4 * plan.limits.body:
        yield ConfigurationFault(
            ("limits", "disk"), written(plan.limits.disk, SIZES), "four of limits.body or more"
        )


def endpoints(plan: Configuration) -> Iterator[ConfigurationFault]:
    seen: dict[str, int] = {}
    for number, destination in plan.destinations.items():
        where = ("destinations", str(number))
        if destination.kind and destination.kind not in plan.kinds:
            yield ConfigurationFault(
                (*where, "kind"), repr(destination.kind), "one of " + ", ".join(plan.kinds)
            )
        for at, endpoint in enumerate(listed(destination)):
            id_ = named(number, endpoint)
            if id_ in seen:
                yield ConfigurationFault(
                    (*where, "endpoints", at), f"{id_!r}, under {seen[id_]} too", "each id once"
                )
            if not id_.isprintable() or len(id_) > 200:
                yield ConfigurationFault(
                    (*where, "endpoints", at, "id"), ascii(id_)[:48], "200 printable characters"
                )
            seen[id_] = number


def heard_of(plan: Configuration) -> Iterator[ConfigurationFault]:
    if plan.peers is not None and set(plan.peers.senders) <= {plan.peers.listen}:
        yield ConfigurationFault(
            ("peers", "senders"), "no other sender", "the address of one at least beside its own"
        )
    if (
        plan.rules.rates
        and plan.platform is None
        and not any(
            one.rate or any(endpoint.rate for endpoint in listed(one)) for one in plan.destinations.values()
        )
    ):
        yield ConfigurationFault(
            ("rules", "rates"), "true, and no destination has a rate", "a rate, or false"
        )


def told_to(plan: Configuration) -> Iterator[ConfigurationFault]:
    notices = plan.notices
    if notices.address and notices.file:
        yield ConfigurationFault(("notices", "file"), repr(notices.file), "no file beside notices.address")
    if "\0" in notices.file:
        yield ConfigurationFault(("notices", "file"), ascii(notices.file), "the path of a file")
    if notices.address and receiver(notices.address) is None:
        yield ConfigurationFault(("notices", "address"), ascii(notices.address)[:48], "http://HOST:PORT/PATH")


def receiver(url: str) -> tuple[str, str] | None:
    """Address and path of whoever takes notices; None where the text names none.

    >>> receiver("http://127.0.0.1:9100/ends"), receiver("https://127.0.0.1/"), receiver("http://h:1/a b")
    (('127.0.0.1:9100', '/ends'), None, None)
    """
    try:
        parts = urlsplit(url)
        where = address(parts.netloc)
    except ValueError:
        return None
    path = parts.path or "/"
    plain = url.isascii() and url.isprintable() and " " not in url
    return (where, path) if plain and parts.scheme == "http" and not (parts.query or parts.fragment) else None


def listed(destination: Destination) -> list[Endpoint]:
    """Its endpoints, each as a table."""
    return [one if isinstance(one, Endpoint) else Endpoint(one) for one in destination.endpoints]


def named(number: int, endpoint: Endpoint) -> str:
    """An endpoint's id: an address that another destination lists too is another endpoint."""
    return endpoint.id or f"{number}@{endpoint.address}"


def flat(plan: Configuration) -> dict[str, tuple[Any, bool]]:
    """Every key that is told or has a default, by its path, with its value and whether SIGHUP takes it."""
    return dict(below(plan, "", False))


def below(value: Any, path: str, now: bool) -> Iterator[tuple[str, tuple[Any, bool]]]:
    if isinstance(value, dict):
        for name, row in value.items():
            yield from below(row, f"{path}.{name}", now)
    elif isinstance(value, msgspec.Struct) and not isinstance(value, Secret):
        rows: dict[str, tuple[Any, Key]] = keys(type(value))
        for name, (_, key) in rows.items():
            yield from below(getattr(value, name), f"{path}.{name}" if path else name, now or key.now)
    else:
        yield path, (value, now)


def changes(old: Configuration, new: Configuration) -> tuple[list[str], list[str]]:
    """The paths that differ: those that the running sender takes, and those that wait for its next start.

    A list of destinations cannot take the place of a platform while the sender runs, nor the other way round,
    nor a file of notices that of an address.
    """
    before, after = flat(old), flat(new)
    differ = [path for path in {**before, **after} if before.get(path) != after.get(path)]
    other_source = (old.platform is None) != (new.platform is None)
    other_teller = bool(old.notices.address) != bool(new.notices.address)

    def taken(path: str) -> bool:
        fixed = (other_source and path.startswith(("platform", "destinations"))) or (
            other_teller and path.startswith("notices")
        )
        return not fixed and all(rows[path][1] for rows in (before, after) if path in rows)

    return [path for path in differ if taken(path)], [path for path in differ if not taken(path)]


def display(value: Any) -> str:
    """A value as a file has it."""
    if isinstance(value, Duration):
        return f'"{written(value, TIMES)}"'
    if isinstance(value, Size):
        return f'"{written(value, SIZES)}"'
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:g}"
    return f'"{value}"' if isinstance(value, str) else str(value)
