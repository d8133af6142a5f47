"""The receipts of writes, which are passed on to clients as flags."""

from __future__ import annotations

import re

_RECEIPT = re.compile(rb"[!-~]{1,250}")  # A flag is one word without spaces.


def is_receipt(data: bytes) -> bool:
    """Return whether the data can be sent as a flag, and would not be read as two of them."""
    return _RECEIPT.fullmatch(data) is not None
