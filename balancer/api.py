"""The interface of the balancer in one namespace: its settings, events and actions."""

from balancer.actions import Action, Cancel, Close, Fail, Log, Probe, Reject, Send, SetTimer, Subscribe
from balancer.endpoints import ServerEntry, ServerState
from balancer.events import (
    ANSWERS,
    IN_DOUBT,
    NEVER_RAN,
    AttemptEnded,
    ClientGone,
    EndpointListChanged,
    Event,
    ListKind,
    Probed,
    Request,
    Status,
    StreamBegun,
    TimerDue,
)
from balancer.settings_types import DedupScope, Idempotency, RequestClass, Settings, Tenant

__all__ = [
    "ANSWERS",
    "IN_DOUBT",
    "NEVER_RAN",
    "Action",
    "AttemptEnded",
    "Cancel",
    "ClientGone",
    "Close",
    "DedupScope",
    "EndpointListChanged",
    "Event",
    "Fail",
    "Idempotency",
    "ListKind",
    "Log",
    "Probe",
    "Probed",
    "Reject",
    "Request",
    "RequestClass",
    "Send",
    "ServerEntry",
    "ServerState",
    "SetTimer",
    "Settings",
    "Status",
    "StreamBegun",
    "Subscribe",
    "Tenant",
    "TimerDue",
]
