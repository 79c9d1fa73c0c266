"""Reads batches of the bench's wire, calls the instances' senders, writes replies from their answers."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

import orjson

from ashpath.decide import Sender
from ashpath.door import Listing, Told
from ashpath.drill.convert import ENDINGS, listing
from ashpath.terms import micros, millis, terms, told_fields

Row = dict[str, Any]


class BadInput(Exception):
    """What came in is not the wire's."""


class Instance:
    """One instance: its sender, and the answers the sender gave in this batch."""

    def __init__(self, seed: int, facts: Row) -> None:
        self.output: list[Row] = []
        self.broken = False
        self.told = told_fields(facts)
        self.sender = Sender(terms(seed, facts), self)

    def shoot(self, envelope: int, endpoint: str, timeout: int) -> None:
        shot = {"rid": envelope, "endpoint": endpoint, "allow-for": millis(timeout)}
        self.output.append({"CallOut": shot})

    def bounce(self, envelope: int, come_back: int) -> None:
        self.output.append({"TurnAway": {"rid": envelope, "retry-in": millis(come_back)}})

    def abort(self, envelope: int) -> None:
        self.output.append({"Fail": {"rid": envelope}})

    def withdraw(self, envelope: int, shot: int) -> None:
        self.output.append({"Withdraw": {"rid": envelope, "go": shot}})

    def release(self, endpoint: str) -> None:
        self.output.append({"Release": {"endpoint": endpoint}})

    def wake(self, at: int, token: str) -> None:
        self.output.append({"Timer": {"due-at": millis(at), "ref": token}})

    def ask(self) -> None:
        self.output.append({"Observe": {"active": True}})

    def tell(self, note: bytes) -> None:
        self.output.append({"Notify": {"neighbour-id": -1, "contents": note.hex()}})

    def mode(self, text: str, destination: int, endpoint: str, out: bool, rate: float) -> None:
        self.output.append({"WriteLog": {"what": text}})

    def hear(self, name: str, body: Row, sheets: dict[int, list[Listing]]) -> None:
        sender = self.sender
        if name == "JobIn":
            key, left = body.get("key"), micros(body["ttl"])
            sender.take(body["rid"], body["addressee-no"], body["priority"], key, left)
        elif name == "Returned":
            wait = micros(body.get("remark-ms")) if body["outcome"] == "QueueFull" else 0
            stats, told = body.get("stats"), None
            if stats and self.told and stats[self.told[1]]:  # a rate of 0 stands for no limit
                told = Told(*(stats[i] for i in self.told))
            sender.returned(body["rid"], ENDINGS[body["outcome"]], wait, bool(body.get("complete")), told)
        elif name == "Wake":
            sender.woken(body["ref"])
        elif name == "Gone":
            sender.gone(body["rid"])
        elif name == "BackendsChanged":
            if body["kind"] == "failed":
                sender.unlisted()
            else:
                sender.listed(sheets[body["sheet"]], whole=body["kind"] != "delta")
        elif name == "Memo":
            sender.heard(bytes.fromhex(body["contents"]))
        elif name not in ("Established", "Sampled"):
            raise BadInput(f"event of unknown name {name!r}")


class Host:
    """All instances of one process; they share nothing but the numbered lists that the wire hands to all."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.sheets: dict[int, list[Listing]] = {}

    def reply(self, line: bytes) -> bytes:
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise BadInput(f"a line is not JSON: {error}") from None
        if not isinstance(batch, dict) or not isinstance(batch.get("wall"), int | float):
            raise BadInput("a batch has no clock ('wall')")
        now = micros(batch["wall"])
        replies = []
        for group in batch.get("senders") or ():
            number = group["sender-id"]
            output = self.play(number, now, group.get("items") or [])
            if output:
                replies.append({"sender-id": number, "output": output})
        return orjson.dumps({"senders": replies}, option=orjson.OPT_APPEND_NEWLINE)

    def play(self, number: int, now: int, items: list[Row]) -> list[Row]:
        instance = None
        for item in items:
            ((name, body),) = item.items()
            if name == "Register":
                self.sheets[body["sheet"]] = [listing(row) for row in body["rows-in"]]
                continue
            if name == "PowerOff":
                self.instances.pop(number, None)
                instance = None
                continue
            if name == "Hello":
                instance = self.instances[number] = Instance(body["init-seed"], body.get("facts") or {})
                self.guarded(instance, instance.sender.open_turn, now)
                continue
            if instance is None:
                instance = self.instances.get(number)
                if instance is None:
                    raise BadInput(f"instance {number} got {name!r} but was never started")
                instance.output = []
                self.guarded(instance, instance.sender.open_turn, now)
            self.guarded(instance, instance.hear, name, body, self.sheets)
        if instance is None:
            return []
        self.guarded(instance, instance.sender.close_turn)
        return instance.output

    def guarded(self, instance: Instance, call: Any, *arguments: Any) -> None:
        """An exception inside the module is the wire's fault action; what is not the wire's is bad input."""
        if instance.broken:
            return
        try:
            call(*arguments)
        except BadInput:
            raise
        except Exception as error:
            instance.broken = True
            trace = error.__traceback__
            while trace and trace.tb_next:
                trace = trace.tb_next
            if trace and trace.tb_frame.f_globals.get("__name__") == __name__:
                raise BadInput(f"malformed event: {type(error).__name__} {error}") from None
            where = f"{trace.tb_frame.f_code.co_name}:{trace.tb_lineno}" if trace else "?"
            instance.output.append({"BailOut": {"what": f"{type(error).__name__}: {error} in {where}"}})


def run(source: BinaryIO, sink: BinaryIO) -> int:
    """Serves batches until the input ends."""
    host = Host()
    for line in source:
        if not line.strip():
            continue
        try:
            sink.write(host.reply(line))
        except BadInput as error:
            print(f"ashpath.drill: {error}", file=sys.stderr)
            return 2
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            print(f"ashpath.drill: malformed batch: {type(error).__name__} {error}", file=sys.stderr)
            return 2
        sink.flush()
    return 0
