"""Records what the proxy reads on its clients' connections, and how it closes them."""

from cloverwell.front.client_connection import ClientConnection


class Record:
    """Records what requests the proxy has read on each connection, and when it was accepted and closed."""

    def __init__(self, rig, monkeypatch):
        self.read_ids = {}  # by the client's address: the ids of the requests that the proxy has read
        self.closed_ms = {}
        self.close_reasons = {}
        self.accepted_ms = {}
        real_request, real_lost = ClientConnection.request_received, ClientConnection.connectionLost
        real_made = ClientConnection.connectionMade

        def made(connection):
            self.accepted_ms[connection.peer] = rig.now()
            real_made(connection)

        def request_received(connection, fields, write, value):
            self.read_ids.setdefault(connection.peer, []).append(fields.id)
            real_request(connection, fields, write, value)

        def lost(connection, *reason):
            self.closed_ms.setdefault(connection.peer, rig.now())
            self.close_reasons.setdefault(connection.peer, connection.close_reason)
            real_lost(connection, *reason)

        monkeypatch.setattr(ClientConnection, "connectionMade", made)
        monkeypatch.setattr(ClientConnection, "request_received", request_received)
        monkeypatch.setattr(ClientConnection, "connectionLost", lost)
