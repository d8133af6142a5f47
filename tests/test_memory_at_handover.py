"""The two processes of an upgrade count as one proxy: together they stay within the told memory."""

import contextlib
import socket
import threading
import time

import pytest

from lab.memory.run import compile_program, resident_mb
from lab.processes import ProxyFixture

MEMORY_MB = 80
CLIENTS = 300
VALUE_BYTES = 65_536
SENT_BYTES = 60_000
LOAD_S = 4.0
SAMPLE_INTERVAL_S = 0.02


class HalfWriters:
    """Clients that send most of a large write and stop, and connect again when they are turned away."""

    def __init__(self, address):
        self.address = address
        self.going = True
        self.threads = [threading.Thread(target=self._run) for _ in range(CLIENTS)]
        for thread in self.threads:
            thread.start()

    def _run(self):
        head = f"ms k {VALUE_BYTES} Ox Pc=adjust,t=acme,d=2000,k=a\r\n".encode()
        while self.going:
            with contextlib.suppress(OSError), socket.create_connection(self.address, 5.0) as conn:
                conn.settimeout(LOAD_S)
                conn.sendall(head + b"x" * SENT_BYTES)
                conn.recv(100)
            time.sleep(0.1)

    def stop(self):
        self.going = False
        for thread in self.threads:
            thread.join()


@pytest.fixture
def proxies(tmp_path):
    compile_program()
    fixture = ProxyFixture(tmp_path, sockets=1024, memory_mb=MEMORY_MB)
    yield fixture
    fixture.close()


def highest_sum_mb(processes, for_s):
    highest, until_s = 0.0, time.monotonic() + for_s
    while time.monotonic() < until_s:
        highest = max(highest, sum(resident_mb(process.popen.pid) for process in processes))
        time.sleep(SAMPLE_INTERVAL_S)
    return highest


def test_both_processes_of_an_upgrade_stay_within_the_limit_under_a_crowd(proxies):
    # The fault: each process sized itself by the whole limit.
    old = proxies.start().ready()
    writers = HalfWriters(proxies.listen)
    try:
        alone_mb = highest_sum_mb([old], LOAD_S)
        new = proxies.start().ready()
        time.sleep(0.5)  # the old one gives back what it held for its own
        together_mb = highest_sum_mb([old, new], LOAD_S)
    finally:
        writers.stop()
    assert alone_mb <= MEMORY_MB
    assert together_mb <= MEMORY_MB
