"""Connects balancers to a simulator: reads events from standard input, writes actions to standard output.

Each line of input is a JSON object, which one line of output answers. The process hosts many balancers that
share no state. The names of the simulator's message format are used in this module alone.
"""

import gc
import sys
from collections.abc import Callable
from typing import Any

import msgspec

from balancer import api
from balancer.balancer import Balancer
from balancer.settings import read_settings

STATUS_BY_NAME = {
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
    """Raised for a message that the simulator's format does not allow."""


def read_entry(raw: dict[str, Any]) -> api.ServerEntry:
    """Reads one entry of an endpoint list."""
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
    """Reads the status with which an attempt or a probe ended."""
    status = STATUS_BY_NAME.get(raw["rc"])
    if status is None:
        raise WireError(f"rc: unknown value {raw['rc']!r}")
    return status


def read_request(raw: dict[str, Any]) -> api.Request:
    """Reads the arrival of a request."""
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
    api.Send: lambda action: {
        "try": {"ref": action.request_id, "limit": action.timeout_ms, "host": action.server}
    },
    api.Cancel: lambda action: {"cancel": {"ref": action.request_id, "round-no": action.attempt}},
    api.Probe: lambda action: {"poll": {"host": action.server}},
    api.CloseConnections: lambda action: {"let-go": {"host": action.server}},
    api.Reject: lambda action: {
        "turn-away": {"ref": action.request_id, "not-before-for": action.retry_after_ms}
    },
    api.Fail: lambda action: {"fail": {"ref": action.request_id}},
    api.SetTimer: lambda action: {"defer": {"delay": action.delay_ms, "ref": action.token}},
    api.Subscribe: lambda _: {"watch": {"on": True}},
    api.Log: lambda action: {"say-log": {"body-text": action.text}},
}


class BalancerHost:
    """The balancers of one process by name, and the endpoint lists that were declared to the process."""

    def __init__(self) -> None:
        """Starts without balancers and lists."""
        self.balancers: dict[str, Balancer] = {}
        self.lists_by_slot: dict[int, tuple[api.ServerEntry, ...]] = {}

    def handle_line(self, line: str) -> str:
        """Returns the line that answers a line of input."""
        batch = msgspec.json.decode(line)
        now_ms = batch["wall"]
        parts = []
        for part in batch["parts"]:
            output = self.handle_inbox(now_ms, part["balancer"], part.get("inbox") or [])
            if output:
                parts.append({"balancer": part["balancer"], "output": output})
        return msgspec.json.encode({"parts": parts}).decode()

    def handle_inbox(self, now_ms: float, name: str, inbox: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Returns the actions of one balancer for the messages in its inbox."""
        output: list[dict[str, Any]] = []
        for message in inbox:
            ((kind, raw),) = message.items()
            reader = READERS.get(kind)
            if reader is not None:
                event: api.Event = reader(raw)
            elif kind == "fleet":
                event = self.read_list_update(raw)
            else:
                self.handle_control(name, kind, raw)
                continue
            balancer = self.balancers.get(name)
            if balancer is None:
                raise WireError(f"{kind}: no balancer {name} is running")
            output.extend([WRITERS[type(action)](action) for action in balancer.handle(now_ms, event)])
        return output

    def handle_control(self, name: str, kind: str, raw: dict[str, Any]) -> None:
        """Starts or stops a balancer, or declares an endpoint list; unknown kinds of messages are skipped."""
        if kind == "begin":
            self.balancers[name] = Balancer(read_settings(raw["options"]), raw["random-seed"])
        elif kind == "halt":
            self.balancers.pop(name, None)
        elif kind == "manifest":
            self.lists_by_slot[raw["slot"]] = tuple(read_entry(item) for item in raw.get("elements") or ())

    def read_list_update(self, raw: dict[str, Any]) -> api.EndpointListChanged:
        """Reads an update of the endpoint list; its entries were declared by an earlier message."""
        kind = api.ListKind(raw["form"])
        if kind is api.ListKind.FAILED:
            return api.EndpointListChanged(kind, raw.get("generation", 0))
        slot = raw.get("slot", 0)
        if slot not in self.lists_by_slot:
            raise WireError(f"fleet.slot: no list {slot} was declared")
        return api.EndpointListChanged(kind, raw.get("generation", 0), self.lists_by_slot[slot])


def main() -> int:
    """Answers the lines of standard input until it ends; returns the exit code."""
    # The process hosts hundreds of balancers. With the default thresholds, the garbage collector would spend
    # too much processor time on the many objects that they keep.
    gc.set_threshold(200_000, 50, 1000)
    host = BalancerHost()
    for line in sys.stdin:
        if not line.strip():
            continue
        try:
            answer = host.handle_line(line)
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
