"""The exceptions that are raised for bytes that can't be decoded."""

from __future__ import annotations


class CodecError(Exception):
    """The base class of the exceptions in this package."""


class MalformedMessageError(CodecError):
    """The received bytes are malformed, so that the bytes after them can't be decoded either."""
