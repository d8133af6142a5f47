"""Types of the fields of a scenario's file, with their ranges."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0)]
NotNegative = Annotated[float, Meta(ge=0.0)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
