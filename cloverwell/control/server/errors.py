"""Errors of a control node's process. Each builds its message from its fields."""

from __future__ import annotations

from pathlib import PurePath

from cloverwell.control.errors import ControlError
from cloverwell.control.storage import StorageError


class ControlServerError(ControlError):
    """Base class of the errors that only the control node's process raises."""


class NodeFileError(ControlServerError):
    """The control node's configuration file is invalid. `field` is at fault, "FILE" the file as a whole."""

    def __init__(self, field: str, reason: str) -> None:
        """Sets the name of the field and what is wrong with it."""
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


class DamagedRecordError(ControlServerError):
    """The record that begins at byte `start` is damaged in a way that a crash can't explain."""

    def __init__(self, start: int) -> None:
        """Sets the offset of the record in the file."""
        super().__init__(f"the record at byte {start} is damaged")
        self.start = start


class FileStorageError(ControlServerError, StorageError):
    """The file or folder at `path` can't be read or written, or is damaged. The node must not run then."""

    def __init__(self, path: PurePath, reason: str) -> None:
        """Sets the path and what is wrong with it."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason
