"""The main function of a control node's process."""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path
from random import SystemRandom
from typing import NoReturn, cast

from twisted.internet.error import CannotListenError
from twisted.logger import ILogObserver, globalLogBeginner

from cloverwell.control.server.errors import NodeFileError
from cloverwell.control.server.file_storage import FileStorage
from cloverwell.control.server.node_server import NodeServer
from cloverwell.control.server.port import MAX_CONNECTIONS
from cloverwell.control.server.settings import read_node_file
from cloverwell.control.storage import StorageError
from cloverwell.descriptors import raise_descriptor_limit
from cloverwell.log import Log
from cloverwell.monotonic_reactor import install_reactor
from cloverwell.timer_wheel import monotonic_ms

EXIT_FAILED = 1
SPARE_DESCRIPTORS = 64  # for standard streams, the reactor, the storage and the links to other nodes


def serve(path: Path, refuse: Callable[[str], NoReturn]) -> int:
    """Serves the control node that the file at `path` describes, until SIGTERM or SIGINT.

    `refuse` is called with one line if the input is invalid, and ends the program. Returns the exit code.
    """
    try:
        settings = read_node_file(path)
        storage = FileStorage(settings.data)
    except NodeFileError as error:
        refuse(str(error))
    except StorageError as error:
        refuse(f"data: {error}")
    log = Log(monotonic_ms)
    # Twisted accepts any function of one event as an observer, which a type checker can't see from the
    # zope interface.
    globalLogBeginner.beginLoggingTo([cast(ILogObserver, log.fault)], redirectStandardIO=False)
    raise_descriptor_limit(MAX_CONNECTIONS + SPARE_DESCRIPTORS)
    if storage.dropped_bytes:
        log.warn("storage", f"a torn record of {storage.dropped_bytes} bytes was dropped")
    reactor = install_reactor()
    server = NodeServer(reactor, settings, storage, log, monotonic_ms, SystemRandom())
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: reactor.callFromThread(server.stop))
    try:
        server.start()
    except CannotListenError as error:
        refuse(f"listen: {error}")
    reactor.run(installSignalHandlers=False)
    return EXIT_FAILED if server.failed else 0
