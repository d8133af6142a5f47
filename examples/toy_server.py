"""A toy neighbourhood to try the proxy with: discovery, two cache nodes and the origin, on 127.0.0.1.

It keeps what is written in memory and answers a fresh key with a made-up value; it models no real fleet.
"""

import json
from urllib.parse import unquote

from twisted.internet import reactor
from twisted.internet.protocol import Factory
from twisted.internet.task import deferLater
from twisted.protocols.basic import LineReceiver
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

HOST = "127.0.0.1"
DISCOVERY, ORIGIN, NODES = 8500, 8080, {"node-1": 11311, "node-2": 11312}


class CacheNode(LineReceiver):
    """A cache node: `mg` is answered from its store, or with a miss."""

    def lineReceived(self, line):
        verb, key, *rest = line.decode().split()
        name = next(word for word in rest if word.startswith("O"))
        value = self.factory.store.get(key)
        if verb != "mg" or value is None:
            print(f"{self.factory.name}: {key} is not here")
            self.sendLine(f"EN {name}".encode())
        else:
            print(f"{self.factory.name}: {key} is here")
            self.sendLine(f"VA {len(value)} {name}".encode())
            self.sendLine(value)


class CacheNodeFactory(Factory):
    protocol = CacheNode
    noisy = False

    def __init__(self, name):
        self.name = name
        self.store = {}


class Origin(Resource):
    isLeaf = True

    def __init__(self, nodes):
        super().__init__()
        self.nodes = nodes
        self.store = {}
        self.receipts = 0

    def render_GET(self, request):
        key = unquote(request.path.decode())[1:]
        value = self.store.setdefault(key, f"made for {key}".encode())
        for node in self.nodes:  # a real origin stores only where the request missed
            node.store[key] = value
        print(f"origin: {key} fetched")
        return value

    def render_PUT(self, request):
        key = unquote(request.path.decode())[1:]
        self.store[key] = request.content.read()
        for node in self.nodes:
            node.store.pop(key, None)
        self.receipts += 1
        print(f"origin: {key} written")
        return f"receipt-{self.receipts}".encode()


class Discovery(Resource):
    """A list that never changes: a watch waits its time out."""

    isLeaf = True

    def render_GET(self, request):
        query = {name.decode(): int(values[0]) for name, values in request.args.items()}
        after = query.get("after")
        listing = {"revision": 1, "complete": after is None, "members": [] if after else members()}
        body = json.dumps(listing).encode()

        def answer():
            request.write(body)
            request.finish()

        waiting = deferLater(reactor, query.get("wait_ms", 0) / 1000, answer)
        waiting.addErrback(lambda _: None)
        request.notifyFinish().addErrback(lambda _: waiting.cancel())
        request.setHeader("Content-Length", str(len(body)))
        return NOT_DONE_YET


def members():
    nodes = [{"id": name, "host_port": f"{HOST}:{port}", "flavor": "large"} for name, port in NODES.items()]
    return [*nodes, {"id": "origin", "host_port": f"{HOST}:{ORIGIN}", "flavor": "origin"}]


def main():
    nodes = [CacheNodeFactory(name) for name in NODES]
    for node in nodes:
        reactor.listenTCP(NODES[node.name], node, interface=HOST)
    reactor.listenTCP(ORIGIN, Site(Origin(nodes)), interface=HOST)
    reactor.listenTCP(DISCOVERY, Site(Discovery()), interface=HOST)
    print("toy servers are up")
    reactor.run()


if __name__ == "__main__":
    main()
