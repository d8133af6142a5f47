"""One proxy: `python -m cloverwell`, told what it needs by the environment and its configuration file."""

import gc
import os
import signal
import sys
from collections.abc import Callable

from twisted.internet.error import CannotListenError
from twisted.logger import globalLogBeginner

from cloverwell.config import Config, ConfigError, read_config
from cloverwell.descriptors import raise_descriptors
from cloverwell.front.port import adopt, listen
from cloverwell.handover.messages import place
from cloverwell.handover.successor import ask
from cloverwell.log import Log
from cloverwell.log_stream import say_last
from cloverwell.monotonic_reactor import install_reactor
from cloverwell.proxy import Proxy
from cloverwell.timer_wheel import monotonic_ms
from cloverwell.unix_time import read_epoch_ms

# Net new objects, and younger collections, between those of each generation: about 3, 9 and 27 s under load.
COLLECT = (10_000, 3, 3)


def collect_garbage() -> None:
    """What stands now stands for ever, and is not walked again; all the rest is, each half minute or so.

    Every connection is a cycle by itself (transport and protocol), and one that grew old must not stay.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECT)


def handle_signals(service: Proxy, call: Callable[..., object]) -> None:
    """`call` hands a call over to the loop: a signal may come in the middle of anything."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: call(service.stop))
    signal.signal(signal.SIGHUP, lambda *_: call(service.reload, lambda: read_config(again=True)))


def main() -> int:
    try:
        config: Config = read_config()
    except ConfigError as error:
        say_last(f"cloverwell: {error}")
        return 2
    config.limits.sockets = min(config.limits.sockets, raise_descriptors(config.limits.sockets))
    log = Log(monotonic_ms)
    globalLogBeginner.beginLoggingTo([log.fault], redirectStandardIO=False)
    # Where processes are replaced beside each other: the same folder for both, as the platform has it.
    folder = os.environ.get("TMPDIR", "") if config.operator else ""
    left = ask(place(folder, config.listen), config.listen, log) if folder else None
    reactor = install_reactor()
    service = Proxy(reactor, config, log, monotonic_ms, read_epoch_ms, left)
    handle_signals(service, reactor.callFromThread)
    try:
        service.start(listen, adopt, folder)
    except CannotListenError as error:
        field = "operator" if (error.interface, error.port) == config.operator else "listen"
        say_last(f"cloverwell: {field}: {error}")
        return 2
    collect_garbage()
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
