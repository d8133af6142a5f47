"""One endpoint as a row of the endpoint list, in the form in which discovery sends it as JSON."""

from __future__ import annotations

from typing import TypedDict

IN_SERVICE = "in_service"
TERMINATING = "terminating"
TERMINATED = "terminated"


class MemberRow(TypedDict):
    """The keys are those of discovery's wire form."""

    id: str
    host_port: str
    locality: str
    flavor: str
    cell: int
    phase: str
    size: float
    up_since_ms: int
