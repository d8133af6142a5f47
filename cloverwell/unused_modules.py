"""Keeps modules out of memory that Twisted imports and a proxy never uses.

A process may be told as little memory as the pages allow, and each of these modules brings many others:
`http.cookiejar` brings `urllib.request`, `email` and `ssl`, and `_hashlib` the library of OpenSSL, in whose
place `hashlib` then takes the interpreter's own algorithms.
"""

import inspect
import sys
from types import ModuleType


class _UnusedEventLoop:
    """Stands for `asyncio.AbstractEventLoop`, of which a proxy has no instance."""


class _UnusedFuture:
    """Stands for `asyncio.Future`, of which a proxy has no instance."""


# The names that Twisted imports from each module. A module without names is only imported.
PLACEHOLDERS: dict[str, dict[str, object]] = {
    "asyncio": {
        "AbstractEventLoop": _UnusedEventLoop,
        "Future": _UnusedFuture,
        "iscoroutine": inspect.iscoroutine,
    },
    "http.cookiejar": {},
}
UNAVAILABLE = ("ssl", "_ssl", "_hashlib")  # Their importers do without them after an `ImportError`.


def exclude_unused_modules() -> None:
    """Puts placeholders in the places of these modules; called before anything imports Twisted.

    A module that has been imported already stays.
    """
    for name, attributes in PLACEHOLDERS.items():
        placeholder = ModuleType(name)
        vars(placeholder).update(attributes)
        sys.modules.setdefault(name, placeholder)
    for name in UNAVAILABLE:
        # The import system takes None for a module that can't be imported.
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
