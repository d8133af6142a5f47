"""The control log's transport: framing, the connections of proxies and nodes, and the operator's client."""
