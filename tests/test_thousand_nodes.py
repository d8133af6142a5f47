"""Lists of 1,024 nodes, settings of 1,024 proxies: nothing is truncated, and memory grows with the list."""

import io
import json
import tracemalloc

import msgspec
import pytest
from twisted.internet.protocol import Factory, Protocol

from balancer.preference_set import preference_order
from balancer.settings import read_settings
from cloverwell.config import Config, Limits
from cloverwell.connections.metrics import ConnectionEvent, ConnectionMetrics
from cloverwell.handover import messages
from cloverwell.log import Log
from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from cloverwell.proxy import Proxy
from lab.cache_nodes import CacheNode
from lab.net import Net
from lab.proxy_testbed import SETTINGS
from lab.scenario import Scenario

NODES = 1024
PROXIES = 1024
ORIGIN = Endpoint("origin", "127.0.2.1:80", flavor="origin")
LISTEN = ("127.0.0.1", 11211)
DISCOVERY = ("127.0.3.1", 8500)
LONG_NAME = "cache-node-" + "x" * 889  # A list must be accepted even if its names are long.


def address(number):
    return f"10.{number // 250}.1.{number % 250 + 1}", 11211


def endpoint(number, name="cache-node"):
    host, port = address(number)
    up_since_ms = 500_000_000 + number  # Long ago, so the node is warm.
    return Endpoint(f"{name}-{number}", f"{host}:{port}", "east", "large", 7, up_since_ms=up_since_ms)


def start_proxy(net, known, settings=SETTINGS):
    """Starts a proxy of a fleet of 1,024, which may use 32 MB and 256 descriptors."""
    fleet_settings = read_settings(settings | {"peers-total": PROXIES})
    limits = Limits(sockets=256, memory_mb=32.0)
    config = Config("p", LISTEN, DISCOVERY, 1, limits, EndpointList(41, True, known), fleet_settings)
    proxy = Proxy(net, config, Log(net.now_ms, io.StringIO()), net.now_ms, lambda: -1.0e9)
    proxy.start()
    return proxy


class Discovery(Protocol):
    """Answers the first poll with the body, and no other poll."""

    body = b""

    def dataReceived(self, data):
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(Discovery.body)}\r\n\r\n".encode()
        if Discovery.body:
            self.transport.write(head + Discovery.body)
            Discovery.body = b""


def listen_as_discovery(net, body):
    Discovery.body = body
    net.listenTCP(DISCOVERY[1], Factory.forProtocol(Discovery), interface=DISCOVERY[0])


def indented_list(members):
    listing = {
        "revision": 42,
        "complete": True,
        "members": [msgspec.to_builtins(member) for member in members],
    }
    return json.dumps(listing, indent=8).encode()


class Client(Protocol):
    def __init__(self):
        self.received = b""

    def dataReceived(self, data):
        self.received += data


def send_read(net, number, deadline_ms=900):
    factory, clients = Factory.forProtocol(Client), []
    factory.buildProtocol = lambda addr: clients.append(Client()) or clients[0]
    factory.clientConnectionFailed = lambda connector, reason: None
    net.connectTCP(*LISTEN, factory)
    net.run_for(0.01)
    clients[0].transport.write(f"mg k{number} v O{number} Pc=page,t=acme,d={deadline_ms}\r\n".encode())
    net.run_for(0.2)
    return clients[0].received


@pytest.mark.parametrize("name", ["cache-node", LONG_NAME])
def test_all_of_1024_nodes_are_applied_though_their_names_are_long_and_the_list_is_indented(name):
    net = Net()
    proxy = start_proxy(net, [ORIGIN])
    body = indented_list([*(endpoint(number, name) for number in range(NODES)), ORIGIN])
    listen_as_discovery(net, body)
    proxy.endpoint_discovery.request_poll()
    net.run_for(6.0)
    assert len(proxy.endpoint_discovery.current_list().members) == NODES + 1, proxy._log._stream.getvalue()[
        :500
    ]
    assert len(proxy.pools.node_names()) == NODES + 1


def test_each_of_1024_nodes_owns_some_keys():
    net = Net()
    nodes = [CacheNode(net, address(number), seed=number) for number in range(NODES)]
    proxy = start_proxy(net, [*map(endpoint, range(NODES)), ORIGIN])
    balancer = proxy.dispatcher._facade._balancer
    rings, slow_start = balancer._rings, balancer._slow_start
    owners = {
        next(preference_order(net.now_ms(), place << 47, 1, rings, slow_start)).entry.name
        for place in range(1 << 17)
    }
    assert len(nodes) == NODES
    assert len(owners) == NODES
    assert all(send_read(net, number).startswith(b"VA ") for number in range(40))


def test_metrics_are_counted_by_name_for_1024_nodes():
    metrics = ConnectionMetrics()
    for number in range(NODES):
        metrics.add(ConnectionEvent.OPENED, f"cache-node-{number}")
    assert len(metrics.counts_by_name(ConnectionEvent.OPENED)) == NODES


def test_a_handover_message_can_hold_a_list_of_1024_nodes():
    members = [endpoint(number, LONG_NAME) for number in range(NODES)]
    line = messages.encode(
        messages.HandoverState(messages.PROTOCOL_VERSION, 256, EndpointList(42, True, members))
    )
    assert len(line) < messages.MAX_STATE_BYTES
    assert len(messages.decode(line, messages.HandoverState).table.members) == NODES


def test_a_scenario_of_the_simulator_can_have_1024_proxies_and_nodes():
    world = msgspec.convert({"proxies": PROXIES, "nodes": {"count": NODES}}, Scenario)
    assert world.proxies == PROXIES


def memory_bytes(node_count):
    """Returns the memory in bytes that a proxy allocates for a list of that many nodes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    net = Net()
    proxy = start_proxy(net, [*map(endpoint, range(node_count)), ORIGIN])
    net.run_for(1.0)
    size_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(proxy.pools.node_names()) == node_count + 1
    return size_bytes


def test_memory_grows_with_the_list_and_stays_far_below_32_mb():
    small_bytes, large_bytes = memory_bytes(200), memory_bytes(NODES)
    bytes_per_node = (large_bytes - small_bytes) / (NODES - 200)
    assert bytes_per_node < 20_000, (small_bytes, large_bytes)
    assert large_bytes < 16 * 1024 * 1024, (small_bytes, large_bytes)


def test_unused_pools_are_not_swept(monkeypatch):
    net = Net()
    proxy = start_proxy(net, [*map(endpoint, range(NODES)), ORIGIN])
    net.run_for(0.5)  # Each pool is swept once after the list that names its node.
    swept = []
    monkeypatch.setattr(
        type(proxy.pools.pool_of("origin")), "sweep", lambda pool, now: swept.append(pool.node)
    )
    net.run_for(60.0)
    assert not swept
