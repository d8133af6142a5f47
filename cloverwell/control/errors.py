"""The base class of the errors that the control log raises.

Each error is defined beside what raises it, carries the values that its message is made of, and makes that
message in one place.
"""

from __future__ import annotations


class ControlError(Exception):
    """Base class of all errors of the control log."""
