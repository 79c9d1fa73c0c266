"""Reads batches of the bench's wire, calls the instances' senders, writes replies from their answers."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

import orjson

from ashpath.bench_adapter.wire_names import OUTCOMES, endpoint_record
from ashpath.core.interface import EndpointRecord, LoadReport
from ashpath.core.platform_settings import load_report_fields
from ashpath.core.policy_settings import policy_settings
from ashpath.core.time_units import microseconds, milliseconds
from ashpath.policy.delivery_policy import DeliveryPolicy

Row = dict[str, Any]


class BadInput(Exception):
    """What came in is not the wire's."""


class PolicyInstance:
    """One instance: its sender, and the answers the sender gave in this batch."""

    def __init__(self, seed: int, facts: Row) -> None:
        self.output: list[Row] = []
        self.broken = False
        self.report_fields = load_report_fields(facts)
        self.policy = DeliveryPolicy(policy_settings(seed, facts), self)

    def start_attempt(self, envelope: int, endpoint: str, timeout: int) -> None:
        shot = {"rid": envelope, "endpoint": endpoint, "allow-for": milliseconds(timeout)}
        self.output.append({"CallOut": shot})

    def reject(self, envelope: int, come_back: int) -> None:
        self.output.append({"TurnAway": {"rid": envelope, "retry-in": milliseconds(come_back)}})

    def fail(self, envelope: int) -> None:
        self.output.append({"Fail": {"rid": envelope}})

    def cancel_attempt(self, envelope: int, shot: int) -> None:
        self.output.append({"Withdraw": {"rid": envelope, "go": shot}})

    def close_idle_connections(self, endpoint: str) -> None:
        self.output.append({"Release": {"endpoint": endpoint}})

    def schedule_timer(self, at: int, token: str) -> None:
        self.output.append({"Timer": {"due-at": milliseconds(at), "ref": token}})

    def poll_endpoints(self) -> None:
        self.output.append({"Observe": {"active": True}})

    def publish(self, note: bytes) -> None:
        self.output.append({"Notify": {"neighbour-id": -1, "contents": note.hex()}})

    def mode_changed(self, text: str, destination: int, endpoint: str, out: bool, rate: float) -> None:
        self.output.append({"WriteLog": {"what": text}})

    def dispatch(self, name: str, body: Row, sheets: dict[int, list[EndpointRecord]]) -> None:
        sender = self.policy
        if name == "JobIn":
            key, left = body.get("key"), microseconds(body["ttl"])
            sender.submit(body["rid"], body["addressee-no"], body["priority"], key, left)
        elif name == "Returned":
            wait = microseconds(body.get("remark-ms")) if body["outcome"] == "QueueFull" else 0
            stats, told = body.get("stats"), None
            if (
                stats and self.report_fields and stats[self.report_fields[1]]
            ):  # a rate of 0 stands for no limit
                told = LoadReport(*(stats[i] for i in self.report_fields))
            sender.attempt_finished(
                body["rid"], OUTCOMES[body["outcome"]], wait, bool(body.get("complete")), told
            )
        elif name == "Wake":
            sender.timer_fired(body["ref"])
        elif name == "Gone":
            sender.client_disconnected(body["rid"])
        elif name == "BackendsChanged":
            if body["kind"] == "failed":
                sender.endpoint_poll_failed()
            else:
                sender.update_endpoints(sheets[body["sheet"]], whole=body["kind"] != "delta")
        elif name == "Memo":
            sender.receive_gossip(bytes.fromhex(body["contents"]))
        elif name not in ("Established", "Sampled"):
            raise BadInput(f"event of unknown name {name!r}")


class BenchAdapter:
    """All instances of one process; they share nothing but the numbered lists that the wire hands to all."""

    def __init__(self) -> None:
        self.instances: dict[int, PolicyInstance] = {}
        self.sheets: dict[int, list[EndpointRecord]] = {}

    def reply(self, line: bytes) -> bytes:
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise BadInput(f"a line is not JSON: {error}") from None
        if not isinstance(batch, dict) or not isinstance(batch.get("wall"), int | float):
            raise BadInput("a batch has no clock ('wall')")
        now = microseconds(batch["wall"])
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
                self.sheets[body["sheet"]] = [endpoint_record(row) for row in body["rows-in"]]
                continue
            if name == "PowerOff":
                self.instances.pop(number, None)
                instance = None
                continue
            if name == "Hello":
                instance = self.instances[number] = PolicyInstance(body["init-seed"], body.get("facts") or {})
                self.guarded(instance, instance.policy.begin_batch, now)
                continue
            if instance is None:
                instance = self.instances.get(number)
                if instance is None:
                    raise BadInput(f"instance {number} got {name!r} but was never started")
                instance.output = []
                self.guarded(instance, instance.policy.begin_batch, now)
            self.guarded(instance, instance.dispatch, name, body, self.sheets)
        if instance is None:
            return []
        self.guarded(instance, instance.policy.end_batch)
        return instance.output

    def guarded(self, instance: PolicyInstance, call: Any, *arguments: Any) -> None:
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
    host = BenchAdapter()
    for line in source:
        if not line.strip():
            continue
        try:
            sink.write(host.reply(line))
        except BadInput as error:
            print(f"ashpath.bench_adapter: {error}", file=sys.stderr)
            return 2
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            print(f"ashpath.bench_adapter: malformed batch: {type(error).__name__} {error}", file=sys.stderr)
            return 2
        sink.flush()
    return 0
