"""The errors of bytes that can't be decoded."""

from __future__ import annotations


class CodecError(Exception):
    """The base class of the errors in this package."""


class MalformedMessageError(CodecError):
    """The received bytes can't be cut into messages any more."""
