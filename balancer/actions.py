"""The actions that the balancer returns, which its caller carries out. All times are in milliseconds."""

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Send an attempt of the request to the server."""

    request_id: str
    server: str
    timeout_ms: float


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt of the request that is in flight."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class Probe:
    """Check the health of the server with a call that belongs to no request."""

    server: str


@dataclass(slots=True)
class CloseConnections:
    """Close this balancer's idle connections to the server."""

    server: str


@dataclass(slots=True)
class Reject:
    """Reject the request, which the client may safely retry: no attempt has run, or a repeat does no harm."""

    request_id: str
    retry_after_ms: float = 0.0
    reason: str = ""  # counted as `refused.REASON`


@dataclass(slots=True)
class Fail:
    """Fail the request: an attempt of it may have run or may still be running."""

    request_id: str
    reason: str = ""  # counted as `failed.REASON`


@dataclass(slots=True)
class SetTimer:
    """Report the event `TimerDue` with this token after the delay."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class Subscribe:
    """Fetch the endpoint list and follow its changes; report each as an event `EndpointListChanged`."""


@dataclass(slots=True)
class Log:
    """Write a line to the decision log."""

    text: str


Action = Send | Cancel | Probe | CloseConnections | Reject | Fail | SetTimer | Subscribe | Log
