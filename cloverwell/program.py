"""The proxy as a program, configured by the environment and a file.

Exit codes: 0 after a graceful shutdown; 2, with one line that names the field, if the configuration can't be
used or the program can't listen at an address.
"""

from __future__ import annotations

import gc
import os
import signal
from collections.abc import Callable
from typing import cast

from twisted.internet.error import CannotListenError
from twisted.logger import ILogObserver, globalLogBeginner

from cloverwell.assembly import ProxyReactor
from cloverwell.config import Config, ConfigError, read_config
from cloverwell.descriptors import raise_descriptor_limit
from cloverwell.front.port import adopt, listen
from cloverwell.handover.messages import handover_socket_path
from cloverwell.handover.successor import request_handover
from cloverwell.log import Log
from cloverwell.log_stream import write_last_line
from cloverwell.monotonic_reactor import install_reactor
from cloverwell.process_memory import tune_allocator
from cloverwell.proxy import Proxy
from cloverwell.timer_wheel import monotonic_ms
from cloverwell.unix_time import read_epoch_ms

EXIT_BAD_INPUT = 2
# The number of net new objects that starts a collection of the youngest generation, and the numbers of
# collections of one generation that start one of the next older generation. Under load the three generations
# are collected about every 3, 9 and 27 s.
COLLECTION_THRESHOLDS = (10_000, 3, 3)


def tune_garbage_collector() -> None:
    """Excludes the objects that exist now from garbage collection, and collects newer ones rarely.

    Collection can't be switched off: closed connections are freed without it, but Twisted's failures and what
    ends by an exception may be reference cycles.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)


def install_signal_handlers(proxy: Proxy, call_in_reactor: Callable[..., object]) -> None:
    """Has SIGTERM and SIGINT begin a graceful shutdown, and SIGHUP read the configuration file again.

    `call_in_reactor` has the event loop make a call later, since a signal may interrupt any code.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: call_in_reactor(proxy.stop))
    signal.signal(
        signal.SIGHUP, lambda *_: call_in_reactor(proxy.reload, lambda: read_config(reloading=True))
    )


def ignore_signals() -> None:
    """Ignores signals that arrive while the interpreter exits, after all requests have been answered.

    At its exit Python resets handled signals, but not ignored ones, to the default, which kills the process.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


def main() -> int:
    """Serves until a graceful shutdown has ended; returns the exit code."""
    try:
        config = read_config()
    except ConfigError as error:
        return _fail(str(error))
    config.limits.sockets = min(config.limits.sockets, raise_descriptor_limit(config.limits.sockets))
    log = Log(monotonic_ms)
    globalLogBeginner.beginLoggingTo([cast(ILogObserver, log.fault)], redirectStandardIO=False)
    handover_folder = _handover_folder(config)
    predecessor = (
        request_handover(handover_socket_path(handover_folder, config.listen), config.listen, log)
        if handover_folder
        else None
    )
    tune_allocator()
    reactor = install_reactor()
    # Twisted's reactors declare their interfaces to zope, which a type checker without a plugin can't read.
    proxy = Proxy(cast(ProxyReactor, reactor), config, log, monotonic_ms, read_epoch_ms, predecessor)
    install_signal_handlers(proxy, reactor.callFromThread)
    try:
        proxy.start(listen, adopt, handover_folder)
    except CannotListenError as error:
        field = "operator" if (error.interface, error.port) == config.operator else "listen"
        return _fail(f"{field}: {error}")
    tune_garbage_collector()
    proxy.measure_memory()
    reactor.run(installSignalHandlers=False)
    ignore_signals()
    return 0


def _handover_folder(config: Config) -> str:
    """Returns the folder of the handover's socket, the same for predecessor and successor.

    It is "" without an operators' port, since a process is then not replaced while it still serves.
    """
    return os.environ.get("TMPDIR", "") if config.operator else ""


def _fail(text: str) -> int:
    write_last_line(f"cloverwell: {text}")
    return EXIT_BAD_INPUT
