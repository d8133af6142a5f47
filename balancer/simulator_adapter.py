"""The adapter of the simulator's wire: hosts many balancers that share nothing and decides nothing.

One JSON line in, one JSON line out; the words of the wire end here.
"""

import gc
import sys
from collections.abc import Callable
from typing import Any

import msgspec

from balancer import api
from balancer.balancer import Balancer
from balancer.settings import read_settings

STATUS = {
    "Ok": api.Status.OK,
    "Miss": api.Status.MISS,
    "QueueFull": api.Status.FULL,
    "Failed": api.Status.ERROR,
    "TimedOut": api.Status.TIMEOUT,
    "ConnectError": api.Status.CONNECT_FAILED,
    "ResetByPeer": api.Status.RESET,
    "Canceled": api.Status.CANCELLED,
    "Ignored": api.Status.ABANDONED,
}


class WireError(Exception):
    """The simulator sent what the wire's page does not allow."""


def read_entry(raw: dict[str, Any]) -> api.ServerEntry:
    """Reads an entry of a server list."""
    return api.ServerEntry(
        name=raw["host"],
        state=api.ServerState(raw.get("stage-state", 0)),
        weight=raw.get("share", 1.0),
        started_ms=raw.get("born", 0.0),
        machine_type=raw.get("machine", 0),
        zone=raw.get("campus", 0),
        cell=raw.get("cell", 0),
    )


def read_status(raw: dict[str, Any]) -> api.Status:
    """Reads how an attempt or a probe ended."""
    status = STATUS.get(raw["rc"])
    if status is None:
        raise WireError(f"rc: unknown value {raw['rc']!r}")
    return status


def read_request(raw: dict[str, Any]) -> api.Request:
    """Reads a request that has arrived."""
    return api.Request(
        raw["ref"],
        raw.get("kind", 0),
        raw["time-left"],
        raw.get("route-key"),
        raw.get("tenant", 0),
        bool(raw.get("update")),
    )


def read_attempt_ended(raw: dict[str, Any]) -> api.AttemptEnded:
    """Reads the end of an attempt."""
    return api.AttemptEnded(
        raw["ref"],
        raw["host"],
        raw.get("round-no", 0),
        read_status(raw),
        raw.get("rtt", 0.0),
        bool(raw.get("finished")),
    )


READERS: dict[str, Callable[[dict[str, Any]], api.Event]] = {
    "new-request": read_request,
    "closed-attempt": read_attempt_ended,
    "health-result": lambda raw: api.ProbeEnded(raw["host"], read_status(raw), raw.get("rtt", 0.0)),
    "hangup": lambda raw: api.ClientGone(raw["ref"]),
    "tick-due": lambda raw: api.TimerDue(raw["ref"]),
    "flowing": lambda raw: api.StreamStarted(raw["ref"], raw["host"], raw.get("round-no", 0)),
}
WRITERS: dict[type[Any], Callable[[Any], dict[str, Any]]] = {
    api.Send: lambda a: {"try": {"ref": a.request_id, "limit": a.timeout_ms, "host": a.server}},
    api.Cancel: lambda a: {"cancel": {"ref": a.request_id, "round-no": a.attempt}},
    api.Probe: lambda a: {"poll": {"host": a.server}},
    api.CloseConnections: lambda a: {"let-go": {"host": a.server}},
    api.Reject: lambda a: {"turn-away": {"ref": a.request_id, "not-before-for": a.retry_after_ms}},
    api.Fail: lambda a: {"fail": {"ref": a.request_id}},
    api.SetTimer: lambda a: {"defer": {"delay": a.delay_ms, "ref": a.token}},
    api.Subscribe: lambda _: {"watch": {"on": True}},
    api.Log: lambda a: {"say-log": {"body-text": a.text}},
}


class Host:
    """All instances of one process, and the numbered server lists that belong to the process."""

    def __init__(self) -> None:
        """No balancer has begun and no list is declared."""
        self.balancers: dict[str, Balancer] = {}
        self.slots: dict[int, tuple[api.ServerEntry, ...]] = {}

    def reply(self, line: str) -> str:
        """The response line for a line of input."""
        batch = msgspec.json.decode(line)
        now_ms = batch["wall"]
        parts = []
        for part in batch["parts"]:
            output = self.run(now_ms, part["balancer"], part.get("inbox") or [])
            if output:
                parts.append({"balancer": part["balancer"], "output": output})
        return msgspec.json.encode({"parts": parts}).decode()

    def run(self, now_ms: float, name: str, inbox: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """The actions of one balancer for the messages in its inbox."""
        output: list[dict[str, Any]] = []
        for message in inbox:
            ((kind, raw),) = message.items()
            reader = READERS.get(kind)
            if reader is not None:
                event: api.Event = reader(raw)
            elif kind == "fleet":
                event = self.read_list(raw)
            else:
                self.control(name, kind, raw)
                continue
            balancer = self.balancers.get(name)
            if balancer is None:
                raise WireError(f"{kind}: {name} has not begun")
            output.extend([WRITERS[type(action)](action) for action in balancer.handle(now_ms, event)])
        return output

    def control(self, name: str, kind: str, raw: dict[str, Any]) -> None:
        """What concerns the process rather than a balancer's decisions; unknown messages are skipped."""
        if kind == "begin":
            self.balancers[name] = Balancer(read_settings(raw["options"]), raw["random-seed"])
        elif kind == "halt":
            self.balancers.pop(name, None)
        elif kind == "manifest":
            self.slots[raw["slot"]] = tuple(read_entry(item) for item in raw.get("elements") or ())

    def read_list(self, raw: dict[str, Any]) -> api.EndpointListChanged:
        """Reads an update of the endpoint list, whose entries an earlier message has declared."""
        kind = api.ListKind(raw["form"])
        if kind is api.ListKind.FAILED:
            return api.EndpointListChanged(kind, raw.get("generation", 0))
        slot = raw.get("slot", 0)
        if slot not in self.slots:
            raise WireError(f"fleet.slot: no list {slot} was declared")
        return api.EndpointListChanged(kind, raw.get("generation", 0), self.slots[slot])


def main() -> int:
    """Serves standard input until it ends; returns the exit status."""
    # One process hosts hundreds of instances: a collector that walks all they remember costs them their CPU.
    gc.set_threshold(200_000, 50, 1000)
    host = Host()
    for line in sys.stdin:
        if not line.strip():
            continue
        try:
            answer = host.reply(line)
        except KeyError as error:
            print(f"simhost: malformed input: field {error} is missing", file=sys.stderr)
            return 1
        except (WireError, msgspec.MsgspecError, ValueError, TypeError, AttributeError) as error:
            print(f"simhost: malformed input: {error}".replace("\n", " "), file=sys.stderr)
            return 1
        sys.stdout.write(answer + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
