"""A toy neighbourhood to try the proxy with: discovery, two cache boxes and the origin, on 127.0.0.1.

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
DISCOVERY, ORIGIN, BOXES = 8500, 8080, {"box-1": 11311, "box-2": 11312}


class Box(LineReceiver):
    """A cache box: `mg` is answered from its store, or with a miss."""

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


class BoxFactory(Factory):
    protocol = Box
    noisy = False

    def __init__(self, name):
        self.name = name
        self.store = {}


class Origin(Resource):
    isLeaf = True

    def __init__(self, boxes):
        super().__init__()
        self.boxes = boxes
        self.store = {}
        self.receipts = 0

    def render_GET(self, request):
        key = unquote(request.path.decode())[1:]
        value = self.store.setdefault(key, f"made for {key}".encode())
        for box in self.boxes:  # a real origin stores only where the request missed
            box.store[key] = value
        print(f"origin: {key} fetched")
        return value

    def render_PUT(self, request):
        key = unquote(request.path.decode())[1:]
        self.store[key] = request.content.read()
        for box in self.boxes:
            box.store.pop(key, None)
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
    boxes = [{"id": name, "host_port": f"{HOST}:{port}", "flavor": "large"} for name, port in BOXES.items()]
    return [*boxes, {"id": "origin", "host_port": f"{HOST}:{ORIGIN}", "flavor": "origin"}]


def main():
    boxes = [BoxFactory(name) for name in BOXES]
    for box in boxes:
        reactor.listenTCP(BOXES[box.name], box, interface=HOST)
    reactor.listenTCP(ORIGIN, Site(Origin(boxes)), interface=HOST)
    reactor.listenTCP(DISCOVERY, Site(Discovery()), interface=HOST)
    print("toy servers are up")
    reactor.run()


if __name__ == "__main__":
    main()
